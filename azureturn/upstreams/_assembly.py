"""Makes one whole answer out of a model engine's streamed events.

Callers that want a whole answer are served from a stream too, so that an engine's silence is
noticed and the answer resumed as for any other.
"""

import json
from typing import Any

from azureturn.errors import ErrorKind, UpstreamError
from azureturn.upstreams._events import json_of

#: Largest answer that is assembled, counted in bytes of its events' data.
ASSEMBLED_LIMIT_BYTES = 64 << 20
_DEPTH_LIMIT = 32

#: Strings that are told once and not in pieces.
_WHOLE_STRINGS = frozenset({"id", "role", "type", "name", "object", "model", "finish_reason"})


def streamed_body(document: dict[str, Any]) -> bytes:
    """Return a chat-completions body that asks for the same answer as a stream."""
    options = document.get("stream_options")
    told = {**options, "include_usage": True} if isinstance(options, dict) else None
    asked = {"stream": True, "stream_options": told or {"include_usage": True}}
    return json.dumps({**document, **asked}).encode()


class AnswerAssembler:
    """Merges the chunks of a streamed completion.

    >>> assembler = AnswerAssembler()
    >>> assembler.add(b'data: {"id": "a", "choices": [{"index": 0, "delta": {"content": "x"}}]}')
    >>> json.loads(assembler.body())["choices"]
    [{'index': 0, 'message': {'content': 'x'}}]
    """

    def __init__(self) -> None:
        self._answer: dict[str, Any] = {}
        self._taken_bytes = 0

    def add(self, block: bytes) -> None:
        """Take in a block of whole events."""
        self._taken_bytes += len(block)
        if self._taken_bytes > ASSEMBLED_LIMIT_BYTES:
            raise UpstreamError(ErrorKind.UPSTREAM_FAILED, "the answer is over the limit")
        for line in block.split(b"\n"):
            if not line.startswith(b"data:"):
                continue
            chunk = json_of(line[5:])
            if isinstance(chunk, dict):
                _merge(self._answer, chunk, depth=0)

    def body(self) -> bytes:
        """Return the whole answer as the engine would have given it unstreamed."""
        choices = self._answer.get("choices")
        if not isinstance(choices, list) or not choices:
            raise UpstreamError(ErrorKind.ANSWER_TRUNCATED, "the stream held no answer")
        whole = [_with_message(choice) for choice in choices]
        answer = {**self._answer, "choices": whole, "object": "chat.completion"}
        return json.dumps(answer).encode()


def _with_message(choice: Any) -> Any:
    if not isinstance(choice, dict):
        return choice
    return {("message" if name == "delta" else name): value for name, value in choice.items()}


def _merge(into: dict[str, Any], more: dict[str, Any], *, depth: int) -> None:
    if depth > _DEPTH_LIMIT:
        raise UpstreamError(ErrorKind.UPSTREAM_FAILED, "the answer is nested too deeply")
    for name, value in more.items():
        present = into.get(name)
        if isinstance(present, dict) and isinstance(value, dict):
            _merge(present, value, depth=depth + 1)
        elif isinstance(present, list) and isinstance(value, list):
            _merge_lists(present, value, depth=depth + 1)
        elif isinstance(present, str) and isinstance(value, str) and name not in _WHOLE_STRINGS:
            into[name] = present + value
        elif value is not None or present is None:
            into[name] = value


def _merge_lists(into: list[Any], more: list[Any], *, depth: int) -> None:
    """Merge list items that carry the same ``index``; append all others."""
    for item in more:
        index = item.get("index") if isinstance(item, dict) else None
        same = None
        if index is not None:
            same = next((one for one in into if _index_of(one) == index), None)
        if same is None:
            into.append(item)
        else:
            _merge(same, item, depth=depth)


def _index_of(item: Any) -> Any:
    return item.get("index") if isinstance(item, dict) else None
