"""One VM's view of the store: what it says as of one revision."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import cached_property
from typing import TypeVar

from azureturn.gateway.site._allotment_use import AllotmentRecord
from azureturn.gateway.site._configuration import SiteConfiguration
from azureturn.gateway.site._facts import (
    Fact,
    MoveOrder,
    MoveStatus,
    RegisteredUpstream,
    RegisteredVm,
)

_Kind = TypeVar("_Kind")


@dataclass(frozen=True)
class StoredFact:
    """A document, as it is stored and as it was understood."""

    key: str
    revision: int
    value: bytes
    fact: Fact


@dataclass(frozen=True)
class SiteView:
    """Everything that the store says, as of one revision of the store.

    Views are replaced whole. One with a lower revision never replaces one with a higher.
    """

    revision: int = 0
    facts: Mapping[str, StoredFact] = field(default_factory=dict)

    def with_changes(
        self, *, written: Iterable[StoredFact], removed: Iterable[str], revision: int
    ) -> "SiteView":
        """Return a copy that takes in changes of the store."""
        facts = dict(self.facts)
        for key in removed:
            facts.pop(key, None)
        for one in written:
            facts[one.key] = one
        return SiteView(revision, facts)

    @cached_property
    def configuration(self) -> SiteConfiguration | None:
        """Return the configuration, or None where the store holds none yet."""
        return next(iter(self._of(SiteConfiguration)), None)

    @cached_property
    def upstreams(self) -> Mapping[str, RegisteredUpstream]:
        """Return the upstreams by name."""
        return {one.name: one for one in self._of(RegisteredUpstream)}

    @cached_property
    def vms(self) -> Mapping[str, RegisteredVm]:
        """Return this system's VMs by name."""
        return {one.name: one for one in self._of(RegisteredVm)}

    @cached_property
    def orders(self) -> Mapping[str, MoveOrder]:
        """Return the orders to move, by service."""
        return {one.service: one for one in self._of(MoveOrder)}

    @cached_property
    def statuses(self) -> Mapping[str, MoveStatus]:
        """Return what is said of moves, by service."""
        return {one.service: one for one in self._of(MoveStatus)}

    @cached_property
    def allotment_record(self) -> AllotmentRecord | None:
        """Return what organisations had used, or None where that is not kept."""
        return next(iter(self._of(AllotmentRecord)), None)

    @cached_property
    def allotment_record_revision(self) -> int:
        """Return the revision of that record; 0 where there is none."""
        kept = (one for one in self.facts.values() if isinstance(one.fact, AllotmentRecord))
        return next((one.revision for one in kept), 0)

    def revision_of(self, kind: type[Fact], service: str) -> int:
        """Return the revision of a service's order or status; 0 where there is none."""
        for one in self.facts.values():
            if isinstance(one.fact, kind) and getattr(one.fact, "service", "") == service:
                return one.revision
        return 0

    def _of(self, kind: type[_Kind]) -> list[_Kind]:
        return [one.fact for one in self.facts.values() if isinstance(one.fact, kind)]
