"""Status reports that VMs exchange several times a second."""

from dataclasses import dataclass, field
from typing import NamedTuple

from azureturn.framework import changed_row as changed
from azureturn.gateway.decisions._availability import AvailabilityReport
from azureturn.gateway.decisions._cold_upstreams import ColdReport
from azureturn.gateway.decisions._crashes import CrashReport
from azureturn.gateway.decisions._prefix_cache import SentPrompt
from azureturn.gateway.decisions._request_limits import LimitReport
from azureturn.gateway.decisions._route_evidence import RouteEvidence, RouteKey
from azureturn.gateway.decisions._speeds import SpeedReport
from azureturn.gateway.decisions._version_counts import VersionCount
from azureturn.gateway.site import AllotmentUsage, QuarantinedTraits


class OutstandingWork(NamedTuple):
    """Requests of one VM at one upstream, and the prompt tokens still to be prefilled for them.

    A report contains one for each upstream: tuples are created and compared in a third of the time.
    """

    requests: int
    pending_tokens: int


@dataclass(frozen=True)
class QueueReport:
    """The most urgent tier with queued requests in a peer's queue for one service."""

    tier_rank: int
    #: Number of queued requests of that tier.
    requests: int
    #: Time until the first of them misses its objective; negative if it has missed it.
    deadline_in_ms: int


@dataclass(frozen=True)
class MoveReport:
    """Progress of a move, as reported by a peer."""

    version: str
    #: Time since the start of the move.
    elapsed_ms: int
    #: Whether the peer judged the new version to be worse than the old one.
    condemned: bool
    #: Revision of the order in the store; 0 if the peer does not say.
    order_revision: int = 0


@dataclass(frozen=True)
class StoreState:
    """What a VM knows of the store, and as of when."""

    #: Revision of the last change in the VM's view.
    changed_revision: int
    view_digest: int
    #: How long before the report the last answered call to the store began; None if long ago.
    store_answered_ago_ms: int | None = None
    #: When the report was made, by the sender's clock; None if there is no such call.
    sent_at_ms: int | None = None


@dataclass(frozen=True)
class PeerReport:
    """Status report of one VM, which it sends to its peers."""

    vm: str
    host: str
    #: Boot id: a random number that the process drew when it started.
    boot: int
    #: Number of this report among those of the process.
    sequence: int
    #: Whether a planned stop of the VM has begun.
    leaving: bool
    #: Store revision of the VM's view.
    view_revision: int
    #: Outstanding work of the VM, by upstream.
    work: dict[str, OutstandingWork]
    #: Usage at the VM in the last window, by organisation.
    spent: dict[str, AllotmentUsage]
    #: Prompts sent since the previous report.
    prompts: tuple[SentPrompt, ...]
    #: Answer counts by service and version.
    versions: dict[tuple[str, str], VersionCount]
    #: Moves in progress, by service.
    moves: dict[str, MoveReport]
    #: Hosts of other VMs, by VM name.
    peers: dict[str, str]
    #: Whether the VM is short of CPU time and therefore reports itself as not ready.
    strained: bool = False
    availability_zone: str = ""
    #: Queued requests, by service.
    waiting: dict[str, QueueReport] = field(default_factory=dict)
    #: Recent ends of upstreams that broke off answers to this VM.
    crashes: tuple[CrashReport, ...] = ()
    #: Traits of answered requests, of those that are suspected of ending upstreams, with the time
    #: since then.
    cleared_traits_ms: dict[str, int] = field(default_factory=dict)
    quarantined: tuple[QuarantinedTraits, ...] = ()
    #: Names of the upstreams that the VM cannot connect to.
    unreachable: frozenset[str] = frozenset()
    #: Limits of requests that upstreams stated recently, and ends of such limits.
    limits: tuple[LimitReport, ...] = ()
    #: What upstreams have said of their availability.
    availability: tuple[AvailabilityReport, ...] = ()
    #: For how long the store has answered the VM without a failure; None while it does not, or if
    #: the VM does not say.
    store_contact_ms: int | None = None
    #: Version of the configuration in force at the VM; 0 if it has none.
    configuration_version: int = 0
    #: Upstreams that are cold, as far as the VM does not know it from peers only.
    cold: tuple[ColdReport, ...] = ()
    #: How long answers of upstreams took that ended since the previous report.
    speeds: tuple[SpeedReport, ...] = ()
    #: What the VM knows of the store; None if it watches the store by itself, as on small sites.
    store: StoreState | None = None
    #: Answers of both versions on the routes on which the new version of a move may be worse.
    routes: dict[RouteKey, RouteEvidence] = field(default_factory=dict)

    def with_sequence(self, sequence: int) -> "PeerReport":
        """Return a copy with another number."""
        return changed(self, sequence=sequence)

    def with_strained(self, strained: bool) -> "PeerReport":
        """Return a copy with the given value of ``strained``."""
        return changed(self, strained=strained)

    def without_peers(self) -> "PeerReport":
        """Return a copy without the hosts of other VMs."""
        return changed(self, peers={})

    def without_prompts(self) -> "PeerReport":
        """Return a copy without the prompts that were sent."""
        return changed(self, prompts=())

    def without_speeds(self) -> "PeerReport":
        """Return a copy without the measured times."""
        return changed(self, speeds=())

    def is_not_older_than(self, other: "PeerReport") -> bool:
        """Return whether ``other`` is from the same process and was not sent later."""
        return self.boot == other.boot and self.sequence >= other.sequence
