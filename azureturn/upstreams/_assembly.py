"""Assembles a complete chat-completions answer from a model engine's event stream.

Unstreamed answers are also requested from the engine as a stream, so that a stalled engine is
detected and the answer can be resumed.
"""

import json
from typing import Any

from azureturn.errors import ErrorKind, UpstreamError
from azureturn.upstreams._events import parse_json_or_none

#: Maximum size of the events from which one answer is assembled.
ASSEMBLED_LIMIT_BYTES = 64 << 20
_DEPTH_LIMIT = 32

#: String fields that are sent complete in one chunk; all others are concatenated over chunks.
_UNSPLIT_STRINGS = frozenset({"id", "role", "type", "name", "object", "model", "finish_reason"})


def streaming_request_body(document: dict[str, Any]) -> bytes:
    """Return the chat-completions body that requests the same answer as a stream with usage."""
    options = document.get("stream_options")
    usage_options = {**options, "include_usage": True} if isinstance(options, dict) else None
    overrides = {"stream": True, "stream_options": usage_options or {"include_usage": True}}
    return json.dumps({**document, **overrides}).encode()


class AnswerAssembler:
    """Merges the chunks of a streamed completion.

    >>> assembler = AnswerAssembler()
    >>> assembler.add(b'data: {"id": "a", "choices": [{"index": 0, "delta": {"content": "x"}}]}')
    >>> json.loads(assembler.body())["choices"]
    [{'index': 0, 'message': {'content': 'x'}}]
    """

    def __init__(self) -> None:
        self._answer: dict[str, Any] = {}
        self._received_bytes = 0

    def add(self, block: bytes) -> None:
        """Add a block of complete events."""
        self._received_bytes += len(block)
        if self._received_bytes > ASSEMBLED_LIMIT_BYTES:
            raise UpstreamError(ErrorKind.UPSTREAM_FAILED, "the answer exceeds the limit")
        for line in block.split(b"\n"):
            if not line.startswith(b"data:"):
                continue
            chunk = parse_json_or_none(line[5:])
            if isinstance(chunk, dict):
                _merge(self._answer, chunk, depth=0)

    def body(self) -> bytes:
        """Return the JSON body that the engine would have sent unstreamed."""
        choices = self._answer.get("choices")
        if not isinstance(choices, list) or not choices:
            raise UpstreamError(ErrorKind.ANSWER_TRUNCATED, "the stream contained no choices")
        choices_with_message = [_with_message(choice) for choice in choices]
        answer = {**self._answer, "choices": choices_with_message, "object": "chat.completion"}
        return json.dumps(answer).encode()


def _with_message(choice: Any) -> Any:
    if not isinstance(choice, dict):
        return choice
    return {("message" if name == "delta" else name): value for name, value in choice.items()}


def _merge(target: dict[str, Any], update: dict[str, Any], *, depth: int) -> None:
    if depth > _DEPTH_LIMIT:
        raise UpstreamError(ErrorKind.UPSTREAM_FAILED, "the answer exceeds the nesting limit")
    for name, value in update.items():
        existing = target.get(name)
        if isinstance(existing, dict) and isinstance(value, dict):
            _merge(existing, value, depth=depth + 1)
        elif isinstance(existing, list) and isinstance(value, list):
            _merge_lists(existing, value, depth=depth + 1)
        elif isinstance(existing, str) and isinstance(value, str) and name not in _UNSPLIT_STRINGS:
            target[name] = existing + value
        elif value is not None or existing is None:
            target[name] = value


def _merge_lists(target: list[Any], update: list[Any], *, depth: int) -> None:
    """Merge list items with the same ``index``; append all others."""
    for item in update:
        index = item.get("index") if isinstance(item, dict) else None
        match = None
        if index is not None:
            match = next((existing for existing in target if _index_of(existing) == index), None)
        if match is None:
            target.append(item)
        else:
            _merge(match, item, depth=depth)


def _index_of(item: Any) -> Any:
    return item.get("index") if isinstance(item, dict) else None
