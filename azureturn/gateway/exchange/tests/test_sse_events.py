"""Tests of the splitting of a stream into server-sent events."""

import pytest

from azureturn.gateway.exchange._sse_events import MAX_EVENT_BYTES, SseEventSplitter


@pytest.mark.parametrize(
    ("parts", "numbers", "remainder"),
    [
        ([b"id: 1\ndata: a\n\n"], [1], b""),
        ([b"id: 1\nda", b"ta: a\n", b"\nid: 2\n"], [1], b"id: 2\n"),
        ([b"id:7\r\ndata: a\r\n\r\nid:8\r\n\r\n"], [7, 8], b""),
        ([b"versions: 3\nid: 4\ndata: x\n\n"], [4], b""),
        ([b"data: no number\n\n"], [None], b""),
        ([b"id: x\n\n"], [None], b""),
        ([b"i", b"d", b": ", b"5", b"\n", b"\n"], [5], b""),
        ([b""], [], b""),
    ],
)
def test_events_end_with_an_empty_line(
    parts: list[bytes], numbers: list[int | None], remainder: bytes
) -> None:
    splitter = SseEventSplitter()
    events = [event for part in parts for event in splitter.feed(part)]
    assert [event.number for event in events] == numbers
    assert splitter.remainder == remainder
    assert b"".join(event.data for event in events) + remainder == b"".join(parts)


def test_an_event_larger_than_the_limit_raises_an_error() -> None:
    splitter = SseEventSplitter()
    splitter.feed(b"x" * MAX_EVENT_BYTES)
    with pytest.raises(ValueError, match="limit"):
        splitter.feed(b"x")
