"""Upstreams of the simulated site, and what happens to them and to the paths to them."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, auto

from azureturn.gateway.site import StatedLimits

#: Slots of an upstream, as the harness registers it.
SLOTS = 4
_MS_PER_S = 1_000


class Cut(Enum):
    """What happens to the connections of VMs that are cut off from the upstreams."""

    #: All connections hang, new ones too.
    HANG = auto()
    #: All connections are reset, and new ones refused.
    RESET = auto()
    #: Connections live on, and new ones are refused.
    REFUSE_NEW = auto()
    #: Connections open and requests arrive, but nothing comes back on any connection.
    SILENT = auto()


@dataclass(frozen=True)
class Arrival:
    """A request that reached an engine."""

    at_ms: int
    vm: int
    upstream: str
    request_id: str
    parts: tuple[str, ...]
    digest: str


@dataclass(frozen=True)
class EngineCrash:
    """The end of an engine, and the digests of the requests that it had then."""

    at_ms: int
    digests: frozenset[str]


@dataclass
class EngineAttempt:
    """A request at an engine, or on its way back from one."""

    vm: int
    request_id: str
    parts: tuple[str, ...]
    #: When the head of its response is sent.
    head_at_ms: int
    limits: StatedLimits = StatedLimits()
    is_over: bool = False


@dataclass
class Engine:
    """An upstream: an engine, or one of a plain service."""

    name: str
    is_up: bool = True
    #: Requests a second that its answers state as its limit; None for none.
    limit_per_s: float | None = None
    #: Requests that it has.
    attempts: list[EngineAttempt] = field(default_factory=list)
    #: Rejections in a second above which it falls over; None if it rejects nothing.
    brittle_limit: int | None = None
    #: Times of its rejections in the last second.
    rejected_at_ms: deque[int] = field(default_factory=deque)

    @property
    def stated_limits(self) -> StatedLimits:
        """Return what its answers state."""
        return StatedLimits(self.limit_per_s, self.brittle_limit)

    def rejects(self) -> bool:
        """Return whether a brittle engine has no room for another request."""
        return self.brittle_limit is not None and len(self.attempts) >= SLOTS

    def falls_after_rejection(self, now_ms: int) -> bool:
        """Record a rejection, and return whether it is one too many."""
        self.rejected_at_ms.append(now_ms)
        while self.rejected_at_ms[0] <= now_ms - _MS_PER_S:
            self.rejected_at_ms.popleft()
        return len(self.rejected_at_ms) > (self.brittle_limit or 0)
