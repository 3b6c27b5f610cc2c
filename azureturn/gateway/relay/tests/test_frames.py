"""Frames on a relayed connection: whole, split at any place, and broken off."""

import pytest

from azureturn.gateway.relay._frames import (
    END_FRAME,
    MAX_PART_BYTES,
    FramedBytes,
    UnframedBytes,
    encode_frame,
)

_PARTS = (b"a", b"HTTP/1.1 200 OK\r\n\r\n", b"\x00" * 300)
_FRAMES = b"".join(encode_frame(part) for part in _PARTS)


@pytest.mark.parametrize("step_bytes", [1, 2, 3, 5, 64, 10_000])
def test_parts_are_read_wherever_they_are_split(step_bytes: int) -> None:
    received = FramedBytes()
    data = _FRAMES + END_FRAME
    steps = [data[start : start + step_bytes] for start in range(0, len(data), step_bytes)]
    assert b"".join(received.feed(step) for step in steps) == b"".join(_PARTS)
    assert received.has_ended
    assert received.feed(b"") == b""


@pytest.mark.parametrize("cut_at", [1, 2, 4, 5, 9, len(_FRAMES) - 1, len(_FRAMES)])
def test_a_connection_that_ends_without_the_end_frame_was_aborted(cut_at: int) -> None:
    received = FramedBytes()
    received.feed(_FRAMES[:cut_at])
    with pytest.raises(ConnectionAbortedError):
        received.feed(b"")


def test_a_frame_beyond_the_limit_is_an_error() -> None:
    with pytest.raises(ConnectionAbortedError):
        FramedBytes().feed((MAX_PART_BYTES + 1).to_bytes(4, "big"))


def test_an_earlier_build_does_not_say_who_has_ended_a_connection() -> None:
    received = UnframedBytes()
    assert received.feed(b"part") == b"part"
    with pytest.raises(ConnectionAbortedError):
        received.feed(b"")
