"""An answer assembled from a stream equals the answer that the engine would send unstreamed."""

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azureturn.errors import UpstreamError
from azureturn.upstreams import AnswerAssembler, streaming_request_body

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from(["index", "choices", "delta", "id", "x"]), inner, max_size=4),
    max_leaves=12,
)


def assemble(*chunks: Any) -> Any:
    assembler = AnswerAssembler()
    for chunk in chunks:
        assembler.add(b"data: " + json.dumps(chunk).encode() + b"\n\n")
    return json.loads(assembler.body())


def chunk(delta: dict[str, Any], **more: Any) -> dict[str, Any]:
    return {"id": "a", "choices": [{"index": 0, "delta": delta, **more}]}


def call(index: int, **function: str) -> dict[str, Any]:
    return {"index": index, "id": f"call-{index}", "function": function}


MESSAGES = {
    "text": (
        [chunk({"role": "assistant"}), chunk({"content": "a"}), chunk({"content": "b"})],
        {"role": "assistant", "content": "ab"},
    ),
    "repeated role": (
        [chunk({"role": "assistant"}), chunk({"role": "assistant", "content": ""})],
        {"role": "assistant", "content": ""},
    ),
    "null content": ([chunk({"content": "a"}), chunk({"content": None})], {"content": "a"}),
    "two tool calls": (
        [
            chunk({"tool_calls": [call(0, name="f", arguments="{")]}),
            chunk({"tool_calls": [call(1, name="g", arguments="[")]}),
            chunk({"tool_calls": [call(0, arguments="}")]}),
        ],
        {"tool_calls": [call(0, name="f", arguments="{}"), call(1, name="g", arguments="[")]},
    ),
}


@pytest.mark.parametrize("case", MESSAGES)
def test_merged_message(case: str) -> None:
    chunks, message = MESSAGES[case]
    assert assemble(*chunks)["choices"][0]["message"] == message


def test_choices_and_usage() -> None:
    second = {"id": "a", "choices": [{"index": 1, "delta": {"content": "z"}}]}
    last = {"id": "a", "choices": [], "usage": {"completion_tokens": 2}}
    stop = chunk({}, finish_reason="stop")
    answer = assemble(chunk({"content": "y"}), second, stop, last)
    assert [choice["message"]["content"] for choice in answer["choices"]] == ["y", "z"]
    assert answer["choices"][0]["finish_reason"] == "stop"
    assert answer["usage"] == {"completion_tokens": 2}
    assert answer["object"] == "chat.completion"


def test_request_body_asks_for_a_stream_with_usage() -> None:
    request_body = json.loads(streaming_request_body({"model": "m", "stream_options": {"x": 1}}))
    assert request_body == {
        "model": "m",
        "stream": True,
        "stream_options": {"x": 1, "include_usage": True},
    }


@given(chunks=st.lists(JSON, max_size=6))
def test_any_json_is_assembled_or_rejected(chunks: list[Any]) -> None:
    try:
        assemble(*chunks)
    except UpstreamError:
        return


@given(data=st.binary(max_size=300))
def test_any_bytes_are_assembled_or_rejected(data: bytes) -> None:
    assembler = AnswerAssembler()
    try:
        assembler.add(b"data: " + data)
        assembler.body()
    except UpstreamError:
        return
