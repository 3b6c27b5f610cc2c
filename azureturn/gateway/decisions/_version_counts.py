"""Answers of one version of a service: their number, failures, and times."""

from dataclasses import dataclass


@dataclass(frozen=True)
class StreamPace:
    """How fast streams continue after their first event."""

    #: Streams from which it was measured.
    streams: int = 0
    #: Number of intervals between two events of a stream.
    intervals: int = 0
    #: Sum of these intervals.
    streamed_ms: int = 0

    @property
    def ms_per_event(self) -> float:
        """Return the mean interval between two events; 0 if there is none."""
        return self.streamed_ms / max(1, self.intervals)

    def plus(self, other: "StreamPace") -> "StreamPace":
        """Return the pace of both groups of streams together."""
        return StreamPace(
            self.streams + other.streams,
            self.intervals + other.intervals,
            self.streamed_ms + other.streamed_ms,
        )


@dataclass(frozen=True)
class VersionCount:
    """Answers of one version of a service that are compared, as counted by one VM."""

    answers: int = 0
    #: VMs of earlier builds compare versions by it.
    failures: int = 0
    #: Sum of the times to the first event of a stream, or to a plain answer.
    time_ms: int = 0
    pace: StreamPace = StreamPace()

    def plus(self, other: "VersionCount") -> "VersionCount":
        """Return the counts of both together."""
        return VersionCount(
            self.answers + other.answers,
            self.failures + other.failures,
            self.time_ms + other.time_ms,
            self.pace.plus(other.pace),
        )
