"""A view: the copy of the store's documents on which a VM bases its decisions."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import cached_property
from typing import TypeVar

from azureturn.framework import changed_row
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
from azureturn.gateway.site._view_changes import StoredDocument, ViewDifference

#: Removed keys that a view remembers for peers that lack their removal.
_REMOVALS_LIMIT = 256
_ContentType = TypeVar("_ContentType")


@dataclass(frozen=True)
class SiteView:
    """All documents in the store as of one revision.

    The revision of the store increases with every write, and with every return from a copy. A VM
    replaces its view as a whole, and never by one with a lower revision.
    """

    revision: int = 0
    #: Keyed by the document's key.
    stored_documents: Mapping[str, StoredDocument] = field(default_factory=dict)
    #: Revision of the last change that every VM has to learn of; 0 if unknown. It is not higher
    #: than ``revision``.
    changed_revision: int = 0
    #: Keys that were removed after ``removals_since``, with the revisions of their removal.
    removals: Mapping[str, int] = field(default_factory=dict)
    removals_since: int = 0

    def with_changes(
        self,
        *,
        written: Iterable[StoredDocument],
        removed: Iterable[str] = (),
        removals: Mapping[str, int] | None = None,
        revision: int,
    ) -> "SiteView":
        """Return the view after these changes of the store.

        ``removals`` are removed keys with the revisions of their removal, ``removed`` those for
        which it is not known. Removals of keys that this view lacks are remembered as well, since
        a peer may have seen the entry.
        """
        old_documents = self.stored_documents
        changes = [
            document
            for stored in written
            if (document := stored.replacing(old := old_documents.get(stored.key))) is not old
        ]
        removed_at = {**dict.fromkeys(removed, revision), **(removals or {})}
        gone = removed_at.keys() & old_documents.keys()
        if not changes and not removed_at:
            # What was computed from the documents stays valid.
            return changed_row(self, revision=revision)
        stored_documents = {key: old for key, old in old_documents.items() if key not in gone}
        stored_documents.update((document.key, document) for document in changes)
        changed_at = [document.last_change for document in changes if document.is_passed_on]
        changed_revision = max([self.changed_revision, *changed_at, *removed_at.values()])
        view = SiteView(revision, stored_documents, changed_revision)
        return view._with_removals({**self.removals, **removed_at}, self.removals_since)

    def _with_removals(self, removals: Mapping[str, int], since: int) -> "SiteView":
        """Return the view with the latest of these removals, of keys that it does not contain."""
        rows = [(key, at) for key, at in removals.items() if key not in self.stored_documents]
        rows.sort(key=lambda row: row[1])
        forgotten, kept = rows[:-_REMOVALS_LIMIT], rows[-_REMOVALS_LIMIT:]
        since = max([since, *(at for _, at in forgotten)])
        return changed_row(self, removals=dict(kept), removals_since=since)

    def replaced_by(self, documents: Iterable[StoredDocument], revision: int) -> "SiteView":
        """Return the view with exactly these documents, which were read as a whole.

        A key that was written and removed since this view is not known to have been removed.
        """
        written = list(documents)
        keys = {stored.key for stored in written}
        removed = self.stored_documents.keys() - keys
        view = self.with_changes(written=written, removed=removed, revision=revision)
        return changed_row(view, removals={}, removals_since=revision)

    def changes_since(self, revision: int) -> ViewDifference | None:
        """Return the changes after an earlier revision; None if not all of them are known."""
        if not self.removals_since <= revision <= self.revision:
            return None
        if era_of(revision) != self.era:
            return None
        written = [
            stored
            for stored in self.stored_documents.values()
            if stored.last_change > revision and stored.is_passed_on
        ]
        removals = {key: at for key, at in self.removals.items() if at > revision}
        return ViewDifference(revision, self.revision, self.changed_revision, written, removals)

    def with_difference(self, difference: ViewDifference) -> "SiteView":
        """Return the view after a peer's changes since this view's revision."""
        view = self.with_changes(
            written=difference.written,
            removals=difference.removals,
            revision=difference.revision,
        )
        # The peer may have received the changes together with others.
        changed_revision = max(view.changed_revision, difference.changed_revision)
        return changed_row(view, changed_revision=changed_revision)

    @cached_property
    def digest(self) -> int:
        """Return a digest of what peers pass on; it is equal if two VMs know the same."""
        digest = 0
        for stored in self.stored_documents.values():
            if stored.is_passed_on:
                digest ^= stored.digest
        return digest

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
