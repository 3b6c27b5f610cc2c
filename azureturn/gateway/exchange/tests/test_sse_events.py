"""Tests of the splitting of a stream into server-sent events."""

import pytest

from azureturn.gateway.exchange._sse_events import MAX_EVENT_BYTES, SseEventSplitter


@pytest.mark.parametrize(
    ("parts", "numbers", "remainder"),
    [
        ([b"id: 1\ndata: a\n\n"], [1], b""),
        ([b"id: 1\nda", b"ta: a\n", b"\nid: 2\n"], [1], b"id: 2\n"),
        ([b"id:7\r\ndata: a\r\n\r\nid:8\r\n\r\n"], [7, 8], b""),
        ([b"id:7\rdata: a\r\rid:8\n\r\n"], [7, 8], b""),
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


@pytest.mark.parametrize(
    "data", [b"\x00\x01\n\n", b"id: 1\n<html>\n\n", b"two words\n\n", b"id: 1\n\n\xff\n\n"]
)
def test_data_that_is_no_event_stream_raises_an_error(data: bytes) -> None:
    with pytest.raises(ValueError, match="no event stream"):
        SseEventSplitter().feed(data)


@pytest.mark.parametrize(
    "data", [b": comment\n\n", b"retry\n\n", b"x-field: 1\ndata:a\n\n", b"\n\n"]
)
def test_comments_and_unknown_fields_are_events(data: bytes) -> None:
    assert [event.data for event in SseEventSplitter().feed(data)] == [data]


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"", False),
        (b"id: 1\ndata: a\n\n", False),
        (b"id: 1\ndata: a\n\nid: 2\nda", True),
        (b"id: 1\ndata: a\n", True),
        (b"id: 1\r\ndata: a\r\n\r", True),
        (b"data: a\n\n\r\n", False),
        (b"data: a\n\n: end of stream\n", False),
        (b"data: a\n\n: end of", True),
        (b"data: a\n\n: comment\ndata: b\n", True),
    ],
)
def test_data_ends_inside_an_event_unless_only_empty_lines_or_comments_are_left(
    data: bytes, expected: bool
) -> None:
    splitter = SseEventSplitter()
    splitter.feed(data)
    assert splitter.is_inside_event is expected
