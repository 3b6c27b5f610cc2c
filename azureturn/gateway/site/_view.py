"""A view: the copy of the store's documents on which a VM bases its decisions."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import cached_property
from typing import TypeVar

from azureturn.gateway.site._allotment_usage import AllotmentRecord
from azureturn.gateway.site._configuration import SiteConfiguration
from azureturn.gateway.site._document_types import (
    DocumentContent,
    EvacuationOrder,
    MoveOrder,
    MoveStatus,
    RegisteredUpstream,
    RegisteredVm,
)
from azureturn.gateway.site._quarantine import QuarantineRecord
from azureturn.gateway.site._revisions import era_of

_ContentType = TypeVar("_ContentType")


@dataclass(frozen=True)
class StoredDocument:
    """A document of the store, in encoded and decoded form."""

    key: str
    #: Revision of the store at the last write of the document.
    revision: int
    value: bytes
    content: DocumentContent


@dataclass(frozen=True)
class SiteView:
    """All documents in the store as of one revision.

    The revision of the store increases with every write, and with every return from a copy. A VM
    replaces its view as a whole, and never by one with a lower revision.
    """

    revision: int = 0
    #: Keyed by the document's key.
    stored_documents: Mapping[str, StoredDocument] = field(default_factory=dict)

    def with_changes(
        self, *, written: Iterable[StoredDocument], removed: Iterable[str], revision: int
    ) -> "SiteView":
        """Return the view after these changes of the store."""
        stored_documents = dict(self.stored_documents)
        for key in removed:
            stored_documents.pop(key, None)
        for stored in written:
            stored_documents[stored.key] = stored
        return SiteView(revision, stored_documents)

    @property
    def era(self) -> int:
        """Return how often the store had come back from a copy."""
        return era_of(self.revision)

    def with_newer_configuration(self, other: "SiteView") -> "SiteView":
        """Return the view with the configuration of ``other`` if that has a higher version.

        A store that has come back from a copy may hold an older one for a while.
        """
        newer, own = other.configuration, self.configuration
        if newer is None or (own is not None and own.version >= newer.version):
            return self
        kept = [
            stored
            for stored in other.stored_documents.values()
            if isinstance(stored.content, SiteConfiguration)
        ]
        return self.with_changes(written=kept, removed=(), revision=self.revision)

    @cached_property
    def configuration(self) -> SiteConfiguration | None:
        """Return the configuration, or None if the store holds none yet."""
        return next(iter(self._contents_of_type(SiteConfiguration)), None)

    @property
    def configuration_version(self) -> int:
        """Return the version of the configuration; 0 if there is none."""
        return 0 if self.configuration is None else self.configuration.version

    @cached_property
    def upstreams(self) -> Mapping[str, RegisteredUpstream]:
        """Return the upstreams by name."""
        return {upstream.name: upstream for upstream in self._contents_of_type(RegisteredUpstream)}

    @cached_property
    def upstream_revisions(self) -> Mapping[str, int]:
        """Return the revisions at which upstreams last wrote their registrations, by name."""
        return {
            stored.content.name: stored.revision
            for stored in self.stored_documents.values()
            if isinstance(stored.content, RegisteredUpstream)
        }

    @cached_property
    def vms(self) -> Mapping[str, RegisteredVm]:
        """Return the gateway's VMs by name."""
        return {vm.name: vm for vm in self._contents_of_type(RegisteredVm)}

    @cached_property
    def orders(self) -> Mapping[str, MoveOrder]:
        """Return the operators' move orders by service."""
        return {order.service: order for order in self._contents_of_type(MoveOrder)}

    @cached_property
    def evacuated_zones(self) -> frozenset[str]:
        """Return the availability zones that operators have taken out of service."""
        return frozenset(order.zone for order in self._contents_of_type(EvacuationOrder))

    @cached_property
    def statuses(self) -> Mapping[str, MoveStatus]:
        """Return the published move statuses by service."""
        return {status.service: status for status in self._contents_of_type(MoveStatus)}

    @cached_property
    def allotment_record(self) -> AllotmentRecord | None:
        """Return the allotment record, or None if the store holds none."""
        return next(iter(self._contents_of_type(AllotmentRecord)), None)

    @cached_property
    def allotment_record_revision(self) -> int:
        """Return the revision of the allotment record; 0 if there is none."""
        return self._revision_of_type(AllotmentRecord)

    @cached_property
    def quarantine_record(self) -> QuarantineRecord | None:
        """Return the record of quarantined traits, or None if the store holds none."""
        return next(iter(self._contents_of_type(QuarantineRecord)), None)

    @cached_property
    def quarantine_record_revision(self) -> int:
        """Return the revision of the record of quarantined traits; 0 if there is none."""
        return self._revision_of_type(QuarantineRecord)

    def status_path(self, service_name: str) -> str:
        """Return the path of the status page of a service's upstreams; empty if unknown."""
        service = None if self.configuration is None else self.configuration.service(service_name)
        return "" if service is None else service.status_path

    def revision_of(self, kind: type[DocumentContent], service: str) -> int:
        """Return the revision of a service's move order or status; 0 if there is none."""
        for stored in self.stored_documents.values():
            if (
                isinstance(stored.content, kind)
                and getattr(stored.content, "service", "") == service
            ):
                return stored.revision
        return 0

    def _revision_of_type(self, kind: type[DocumentContent]) -> int:
        """Return the revision of the only document of this type; 0 if there is none."""
        revisions = (
            stored.revision
            for stored in self.stored_documents.values()
            if isinstance(stored.content, kind)
        )
        return next(revisions, 0)

    def _contents_of_type(self, kind: type[_ContentType]) -> list[_ContentType]:
        return [
            stored.content
            for stored in self.stored_documents.values()
            if isinstance(stored.content, kind)
        ]
