"""What each organisation may still use, counted over all VMs.

Every VM holds a bucket filled at the organisation's whole rate and takes from it what it lets pass
and what its peers say that they let pass. For a peer that is not heard, an equal share of the rate
is taken instead, so that VMs which do not hear each other together pass no more than the rate.
"""

from dataclasses import dataclass, field

from azureturn.core import Table
from azureturn.core import changed_row as changed
from azureturn.gateway.site import Allotment

_MS_PER_S = 1_000.0


@dataclass(frozen=True)
class AllotmentState:
    """One organisation's bucket as this VM sees it."""

    #: What may still pass; below zero after a large request or late news from peers.
    level: float = 0.0
    filled_at_ms: int = 0
    #: What this VM has let pass since its boot.
    own_units: int = 0

    def with_time(
        self, allotment: Allotment, *, heard_share: float, now_ms: int
    ) -> "AllotmentState":
        """Return a copy filled up to now; ``heard_share`` is that of VMs that are heard."""
        passed_ms = max(0, now_ms - self.filled_at_ms) if self.filled_at_ms else 0
        gained = allotment.rate_per_s * heard_share * passed_ms / _MS_PER_S
        limit = allotment.burst * heard_share
        return changed(self, level=min(limit, self.level + gained), filled_at_ms=now_ms)

    def with_passed(self, units: int) -> "AllotmentState":
        """Return a copy from which one request more has been taken."""
        return changed(self, level=self.level - units, own_units=self.own_units + units)

    def with_given_back(self, units: int) -> "AllotmentState":
        """Return a copy to which a request that was not sent has been given back."""
        return changed(self, level=self.level + units, own_units=self.own_units - units)

    def with_peers_passed(self, units: float) -> "AllotmentState":
        """Return a copy from which a peer's requests have been taken."""
        return changed(self, level=self.level - units)


@dataclass
class PeerSpending:
    """What one peer's boot has said of each organisation."""

    boot: int
    units: dict[str, int] = field(default_factory=dict)

    def news(self, organisation: str, units: int) -> int:
        """Return what is new in a peer's count, and remember the count."""
        before = self.units.get(organisation, 0)
        self.units[organisation] = units
        return units - before


class AllotmentTable(Table[str, AllotmentState]):
    """Buckets by organisation, and what peers have said."""

    def __init__(self) -> None:
        super().__init__()
        self.peers: dict[str, PeerSpending] = {}

    def of(self, organisation: str) -> AllotmentState:
        """Return an organisation's bucket; a new one starts empty."""
        return self.get(organisation) or AllotmentState()

    def spending_of(self, vm: str, boot: int) -> PeerSpending:
        """Return what a peer's boot has said."""
        spending = self.peers.get(vm)
        if spending is None or spending.boot != boot:
            spending = self.peers[vm] = PeerSpending(boot)
        return spending
