"""The splitter returns complete events, each once, and reports an end only at the terminator."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azureturn.errors import ErrorKind, UpstreamError
from azureturn.upstreams import EventSplitter, Usage, check_answer_id
from azureturn.upstreams._events import EVENT_LIMIT_BYTES

REQUEST_ID = "vm-1-" + "0" * 20
OTHER_REQUEST_ID = "vm-1-" + "1" * 20


def event(
    number: int | None, *, answer_id: str = f"chatcmpl-{REQUEST_ID}", **more: object
) -> bytes:
    data = json.dumps({"id": answer_id, "choices": [], **more})
    head = "" if number is None else f"id: {number}\n"
    return f"{head}data: {data}\n\n".encode()


DONE = b"data: [DONE]\n\n"
STREAM = event(1) + event(2) + event(3) + event(None, usage={"completion_tokens": 3}) + DONE


@given(positions=st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_output_is_independent_of_how_the_stream_is_split(positions: list[int]) -> None:
    splitter = EventSplitter(REQUEST_ID)
    bounds = [0, *sorted(positions), len(STREAM)]
    blocks = [splitter.feed(STREAM[a:b]) for a, b in zip(bounds, bounds[1:], strict=False)]
    assert b"".join(blocks) == STREAM
    assert splitter.ended
    assert splitter.usage == Usage(output_tokens=3)


@given(position=st.integers(0, len(STREAM) - 1), line_end=st.sampled_from([b"\n", b"\r\n"]))
def test_stream_interrupted_anywhere_is_resumed_without_repetition(
    position: int, line_end: bytes
) -> None:
    splitter = EventSplitter(REQUEST_ID)
    returned = splitter.feed(STREAM.replace(b"\n", line_end)[:position])
    if splitter.ended:
        return
    assert splitter.resumable
    splitter.restart()
    last_event_id = int(splitter.last_event_id or "0")
    rest = b"".join(event(number) for number in range(last_event_id + 1, 4))
    rest += event(None, usage={"completion_tokens": 3}) + DONE
    assert returned + splitter.feed(rest.replace(b"\n", line_end)) == STREAM


INVALID_STREAMS = {
    "foreign answer id in the first event": (
        [event(1, answer_id=f"chatcmpl-{OTHER_REQUEST_ID}")],
        "mismatched",
    ),
    "foreign answer id in a later event": (
        [event(1), event(2, answer_id="chatcmpl-x")],
        "mismatched",
    ),
    "error event": ([event(1), b'data: {"error": {}}\n\n'], "upstream_failed"),
    "unterminated event": ([b"data: " + b"x" * EVENT_LIMIT_BYTES], "upstream_failed"),
    "endless events without id after one with id": (
        [event(1)] + [event(None)] * 30_000,
        "upstream_failed",
    ),
}


@pytest.mark.parametrize("case", INVALID_STREAMS)
def test_invalid_stream_is_rejected(case: str) -> None:
    pieces, kind = INVALID_STREAMS[case]
    splitter = EventSplitter(REQUEST_ID)
    with pytest.raises(UpstreamError) as caught:
        for piece in pieces:
            splitter.feed(piece)
    assert kind in caught.value.kind.value


def test_missing_events_after_a_resume_are_detected() -> None:
    splitter = EventSplitter(REQUEST_ID)
    splitter.feed(event(1) + event(2))
    splitter.restart()
    with pytest.raises(UpstreamError):
        splitter.feed(event(4))


def test_repeated_events_after_a_resume_are_dropped() -> None:
    splitter = EventSplitter(REQUEST_ID)
    splitter.feed(event(1) + event(2))
    splitter.restart()
    assert splitter.feed(event(1) + event(2) + event(3)) == event(3)


def test_stream_without_ids_is_not_resumable() -> None:
    splitter = EventSplitter(REQUEST_ID)
    assert splitter.resumable
    assert splitter.feed(event(None)) == event(None)
    assert not splitter.resumable


def test_data_after_the_terminator_is_dropped() -> None:
    assert EventSplitter(REQUEST_ID).feed(event(1) + DONE + event(2)) == event(1) + DONE


def test_answer_id_is_rejected_only_if_it_names_another_request() -> None:
    check_answer_id("chatcmpl-17", REQUEST_ID)
    check_answer_id(None, REQUEST_ID)
    check_answer_id(f"chatcmpl-{REQUEST_ID}", REQUEST_ID)
    with pytest.raises(UpstreamError) as caught:
        check_answer_id(f"chatcmpl-{OTHER_REQUEST_ID}", REQUEST_ID)
    assert caught.value.kind is ErrorKind.ANSWER_MISMATCHED


@given(pieces=st.lists(st.binary(max_size=200), max_size=20))
def test_any_bytes_are_split_or_rejected(pieces: list[bytes]) -> None:
    splitter = EventSplitter(REQUEST_ID)
    try:
        for piece in pieces:
            splitter.feed(piece)
    except UpstreamError:
        return
    assert splitter.usage.output_tokens <= splitter.event_count


_LINES = st.sampled_from(
    [b"data: [DONE]", b"data: {}", b"id: 1", b"id: x\xff", b"", b":", b"data:", b'data: {"id": 1}']
)


@given(lines=st.lists(_LINES, max_size=40))
def test_stream_has_ended_exactly_if_the_terminator_was_returned(lines: list[bytes]) -> None:
    splitter = EventSplitter(REQUEST_ID)
    returned = b""
    try:
        for line in lines:
            returned += splitter.feed(line + b"\n")
    except UpstreamError:
        return
    assert splitter.ended == (b"data: [DONE]" in returned.split(b"\n"))
