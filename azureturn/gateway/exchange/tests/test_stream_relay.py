"""Tests of the relay of a stream over several attempts."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azureturn.errors import UpstreamError
from azureturn.gateway.exchange._framing import BodyFraming
from azureturn.gateway.exchange._response_progress import ResponseProgress
from azureturn.gateway.exchange._stream_relay import StreamRelay

_EVENTS = 6
_LINE_ENDS = st.sampled_from([b"\n", b"\r\n"])


def _event(number: int, line_end: bytes = b"\n") -> bytes:
    return b"id: %d%sdata: text of %d%s%s" % (number, line_end, number, line_end, line_end)


class _Caller:
    """Receives what a relay writes."""

    def __init__(self, last_event_number: int | None = None) -> None:
        self.relay = StreamRelay(last_event_number)
        self.received = b""

    def attempt(self, *parts: bytes, framing: BodyFraming = BodyFraming.CONNECTION_CLOSE) -> bool:
        """Relay one attempt's body; return whether the stream is complete."""
        progress = ResponseProgress()
        progress.framing = framing
        self.relay.begin_attempt(progress, self._write)
        try:
            for part in parts:
                self.relay.feed(part)
            self.relay.finish()
        except UpstreamError:
            return False
        return True

    def _write(self, data: bytes) -> None:
        self.received += data


@pytest.mark.parametrize("framing", list(BodyFraming))
@pytest.mark.parametrize(
    ("body", "expected"),
    [
        (_event(1) + _event(2), True),
        (_event(1) + b"\n", True),
        (_event(1) + b": end of stream\n", True),
        (_event(1) + _event(2)[:-1], False),
        (_event(1) + b"i", False),
        (b"id: 1\n", False),
    ],
)
def test_a_stream_is_complete_unless_it_ends_inside_an_event(
    framing: BodyFraming, body: bytes, expected: bool
) -> None:
    assert _Caller().attempt(body, framing=framing) is expected


@pytest.mark.parametrize(
    ("framing", "expected"),
    [
        (BodyFraming.CONNECTION_CLOSE, False),
        (BodyFraming.CHUNKED, True),
        (BodyFraming.LENGTH, True),
    ],
)
def test_a_stream_without_events_is_complete_only_if_its_end_is_marked(
    framing: BodyFraming, expected: bool
) -> None:
    assert _Caller().attempt(framing=framing) is expected


def test_an_event_without_a_number_cannot_be_resumed_after() -> None:
    caller = _Caller()
    caller.attempt(_event(1), b"data: no number\n\n", b"id: 2")
    assert not caller.relay.is_resumable


@given(line_end=_LINE_ENDS, data=st.data())
def test_a_stream_broken_off_anywhere_and_resumed_reaches_the_caller_once_and_whole(
    line_end: bytes, data: st.DataObject
) -> None:
    events = [_event(number, line_end) for number in range(1, _EVENTS + 1)]
    caller = _Caller()
    for _ in range(data.draw(st.integers(0, 3))):
        rest = b"".join(events[caller.relay.last_event_number or 0 :])
        cut_at = data.draw(st.integers(0, len(rest)))
        split_at = data.draw(st.integers(0, cut_at))
        is_complete = caller.attempt(rest[:split_at], rest[split_at:cut_at])
        whole_events = caller.relay.last_event_number or 0
        assert caller.received == b"".join(events[:whole_events])
        if is_complete:
            # Between two events, a cut cannot be told from the end of an unframed stream.
            assert caller.received.endswith(rest[:cut_at])
    rest = b"".join(events[caller.relay.last_event_number or 0 :])
    if rest:
        assert caller.attempt(rest)
    assert caller.received == b"".join(events)
