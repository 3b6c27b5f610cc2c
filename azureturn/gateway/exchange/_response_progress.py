"""What has been received of one response: its framing, and the count and timing of its events."""

from azureturn.gateway.exchange._framing import BodyFraming
from azureturn.gateway.site import ResponseFacts, StatedAvailability, StatedLimits

#: Quantile of the intervals between events that shows the pace of an upstream which prefills no
#: other prompt meanwhile. Not the shortest, since events may be received together.
_PACE_QUANTILE = 0.25


class ResponseProgress:
    """Counts a stream's events and measures the pauses between them."""

    def __init__(self) -> None:
        #: How the end of the body is marked; None until the head has been received.
        self.framing: BodyFraming | None = None
        #: What the head of the response states.
        self.limits = StatedLimits()
        self.availability = StatedAvailability()
        self._head_at_ms = 0
        self.event_count = 0
        #: Size of the received part of an event that is not complete yet.
        self.partial_event_bytes = 0
        self.first_event_at_ms = 0
        self.longest_pause_ms = 0
        self._last_event_at_ms = 0
        #: Intervals between events that were received one after the other.
        self._intervals_ms: list[int] = []

    @property
    def streamed_ms(self) -> int:
        """Return the time from the first event to the last one so far."""
        return self._last_event_at_ms - self.first_event_at_ms

    @property
    def pace_ms(self) -> int:
        """Return the interval between events while nothing delays them; 0 if none was measured."""
        if not self._intervals_ms:
            return 0
        ascending = sorted(self._intervals_ms)
        return ascending[int(_PACE_QUANTILE * len(ascending))]

    def record_head(self, framing: BodyFraming, at_ms: int, facts: ResponseFacts) -> None:
        """Record that the head of the response was received at ``at_ms``."""
        self.framing = framing
        self.limits = facts.limits
        self.availability = facts.availability
        self._head_at_ms = at_ms

    def answering_ms(self, at_ms: int) -> int | None:
        """Return the time from the head of the response to ``at_ms``; None without a head."""
        return None if self.framing is None else at_ms - self._head_at_ms

    def record(self, event_count: int, at_ms: int) -> None:
        """Count events that arrived together at ``at_ms``."""
        if not self.event_count:
            self.first_event_at_ms = at_ms
        else:
            interval_ms = at_ms - self._last_event_at_ms
            self.longest_pause_ms = max(self.longest_pause_ms, interval_ms)
            # Events that are received together are counted as far apart as they were on average.
            self._intervals_ms.append(interval_ms // event_count)
        self.event_count += event_count
        self._last_event_at_ms = at_ms
