"""Tests of the relay of a streamed answer."""

from collections.abc import Iterator

import pytest

from azureturn.daemon._relay import StreamedBody, whole_events
from azureturn.errors import ErrorKind, UpstreamError


def _broken_off(*parts: bytes) -> Iterator[bytes]:
    yield from parts
    raise UpstreamError(ErrorKind.ANSWER_TRUNCATED)


def _relayed(parts: Iterator[bytes]) -> bytes:
    body = StreamedBody(whole_events(parts), "r1", close=lambda: None, on_end=lambda _error: None)
    return b"".join(body)


@pytest.mark.parametrize(
    "parts",
    [
        [b"data: a\n\ndata: b\n\n"],
        [b"data: a\n", b"\ndata: b\n\n"],
        [b"d", b"ata: a\n\n", b"data: b", b"\n\n"],
    ],
)
def test_whole_events_are_relayed_unchanged(parts: list[bytes]) -> None:
    assert _relayed(iter(parts)) == b"data: a\n\ndata: b\n\n"


@pytest.mark.parametrize(
    "parts",
    [_broken_off(b"data: a\n\ndata: {"), iter([b"data: a\n\ndata: {"])],
    ids=["connection broken", "body ended in order"],
)
def test_the_error_event_of_a_stream_broken_inside_an_event_is_an_event_of_its_own(
    parts: Iterator[bytes],
) -> None:
    first, error, rest = _relayed(parts).split(b"\n\n")
    assert first == b"data: a"
    assert error.startswith(b'data: {"error"')
    assert b"answer_truncated" in error
    assert not rest
