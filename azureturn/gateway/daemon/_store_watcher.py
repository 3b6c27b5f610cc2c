"""Watches the store and keeps this VM's view of it up to date.

A view is this VM's copy of the documents in the store, at one revision of the store.
"""

import json
import random
import threading
from base64 import b64decode, b64encode
from collections.abc import Callable, Iterable
from dataclasses import replace
from enum import Enum, auto

from azureturn.errors import PlatformError
from azureturn.gateway.daemon._threads import run_forever
from azureturn.gateway.decisions import (
    FollowerCall,
    StoreAnswered,
    StoreLost,
    StoreReached,
    ViewChanged,
    watch_delay_ms,
)
from azureturn.gateway.site import (
    DocumentCodec,
    SiteView,
    StoredDocument,
    ViewDifference,
    era_of,
)
from azureturn.observability import EventLog, LogEvent
from azureturn.serving import CoreRuntime, now_ms
from azureturn.store import HistoryLostError, StoreChange, WatchedStore
from azureturn.tasks import TaskLoop, sleep

_INITIAL_BACKOFF_MS = 100
_MAX_BACKOFF_MS = 1_000
#: How often a VM that learns of changes from peers checks whether it has to call the store.
_FOLLOWER_CHECK_MS = 250
_MS_PER_S = 1_000


class ViewHolder:
    """Holds the current view; updates it from the store or peers and informs the controllers."""

    def __init__(self, runtime: CoreRuntime, documents: DocumentCodec, log: EventLog) -> None:
        self._runtime = runtime
        self._documents = documents
        self._log = log
        self._lock = threading.Lock()
        self._view = SiteView()
        #: Revision up to which changes of the store itself were applied last.
        self.watched_revision = 0
        #: The view that was encoded last, and its encoding.
        self._encoded: tuple[SiteView | None, bytes] = (None, b"")

    @property
    def view(self) -> SiteView:
        """Return the current view."""
        return self._view

    def report_store_reached(self, outage_ms: int) -> None:
        """Inform the controllers that the store answers; ``outage_ms`` is 0 if no call failed."""
        self._runtime.submit(StoreReached(outage_ms))
        if outage_ms:
            self._log.info(
                LogEvent.KEY_VALUE_REGAINED, revision=self._view.revision, outage_ms=outage_ms
            )

    def report_store_lost(self) -> None:
        """Inform the controllers that a call to the store failed."""
        self._runtime.submit(StoreLost())

    def report_store_answered(self, asked_at_ms: int) -> None:
        """Inform the controllers that the view has all changes as of then."""
        self._runtime.submit(StoreAnswered(asked_at_ms))

    def apply_snapshot(self, entries: Iterable[StoreChange], revision: int, source: str) -> bool:
        """Replace the view by all entries of the store; return whether ``revision`` was newer."""
        written = self._decode_entries(entries)
        return self._replace_view(lambda view: view.replaced_by(written, revision), source)

    def apply_changes(
        self, changes: Iterable[StoreChange], *, base_revision: int, revision: int
    ) -> bool:
        """Apply the changes made after ``base_revision``, up to ``revision``.

        The view may be of a later revision than the first, by changes of peers. Return False if
        the changes cannot be applied to it, so that the store must be read as a whole.
        """
        changes = list(changes)
        latest_changes = {change.key: change for change in changes}
        # A VM that has seen only the removal needs the entry, even if it reads as before.
        removed_keys = {change.key for change in changes if change.value is None}
        written = [
            (
                replace(document, changed_revision=document.revision)
                if document.key in removed_keys
                else document
            )
            for document in self._decode_entries(latest_changes.values())
        ]
        decoded_keys = {document.key for document in written}

        def update(view: SiteView) -> SiteView:
            if view.revision < base_revision or view.era != era_of(base_revision):
                return view
            removals = {
                key: change.revision
                for key, change in latest_changes.items()
                if key not in decoded_keys
                and (change.value is None or key in view.stored_documents)
            }
            return view.with_changes(written=written, removals=removals, revision=revision)

        if self._replace_view(update, "watch"):
            self.watched_revision = revision
            return True
        return revision == base_revision or self._view.revision > base_revision

    def apply_difference(self, difference: ViewDifference) -> bool:
        """Apply a peer's changes if they begin at the current view's revision."""

        def update(view: SiteView) -> SiteView:
            is_next = view.revision == difference.base_revision
            is_same_era = view.era == era_of(difference.revision)
            return view.with_difference(difference) if is_next and is_same_era else view

        return self._replace_view(update, "peer")

    def encode(self) -> bytes:
        """Return the view encoded for a peer; the result is kept for the peers that ask next."""
        view, (encoded_view, encoded) = self._view, self._encoded
        if encoded_view is not view:
            rows = [
                [document.key, document.revision, b64encode(document.value).decode()]
                for document in view.stored_documents.values()
            ]
            encoded = json.dumps(rows).encode()
            self._encoded = (view, encoded)
        return encoded

    def apply_peer_view(self, revision: int, data: bytes) -> bool:
        """Replace the view by a peer's encoded view; return whether the peer's was newer."""
        rows = [
            StoreChange(key, entry_revision, b64decode(value))
            for key, entry_revision, value in json.loads(data)
        ]
        return self._apply_peer_rows(rows, revision)

    def _apply_peer_rows(self, rows: list[StoreChange], revision: int) -> bool:
        return self.apply_snapshot(rows, revision, "peer")

    def encode_changes(self, base_revision: int) -> tuple[ViewDifference, bytes] | None:
        """Return the changes after a revision, and their encoding; None if not all are known."""
        difference = self._view.changes_since(base_revision)
        if difference is None:
            return None
        written = [
            [document.key, document.revision, b64encode(document.value).decode()]
            for document in difference.written
        ]
        removed = [[key, revision, None] for key, revision in difference.removals.items()]
        return difference, json.dumps(written + removed).encode()

    def apply_peer_changes(
        self, data: bytes, *, base_revision: int, revision: int, changed_revision: int
    ) -> bool:
        """Apply a peer's encoded changes; return whether they were applied."""
        changes = [
            StoreChange(key, at, None if value is None else b64decode(value))
            for key, at, value in json.loads(data)
        ]
        removals = {change.key: change.revision for change in changes if change.value is None}
        written = self._decode_entries(changes)
        return self.apply_difference(
            ViewDifference(base_revision, revision, changed_revision, written, removals)
        )

    def _decode_entries(self, entries: Iterable[StoreChange]) -> list[StoredDocument]:
        stored_documents: list[StoredDocument] = []
        for entry in entries:
            if entry.value is None:
                continue
            try:
                content = self._documents.decode(entry.key, entry.value)
            except ValueError as error:
                self._log.error(LogEvent.DOCUMENT_REFUSED, key=entry.key, error=str(error))
                continue
            if content is not None:
                stored_documents.append(
                    StoredDocument(entry.key, entry.revision, entry.value, content)
                )
        return stored_documents

    def _replace_view(self, update: Callable[[SiteView], SiteView], source: str) -> bool:
        with self._lock:
            old_view = self._view
            view = _latest(old_view, update(old_view))
            if view is old_view:
                return False
            self._view = view
            self._runtime.submit(ViewChanged(view))
        if old_view.revision and view.era > old_view.era:
            self._log_restore(old_view, view, source)
        self._log_change(old_view, view, source)
        return True

    def _log_restore(self, old_view: SiteView, view: SiteView, source: str) -> None:
        old_documents, documents = old_view.stored_documents, view.stored_documents
        self._log.info(
            LogEvent.STORE_RESTORED,
            era=view.era,
            old_era=old_view.era,
            documents=len(documents),
            missing=len(old_documents.keys() - documents.keys()),
            source=source,
        )

    def _log_change(self, old_view: SiteView, new_view: SiteView, source: str) -> None:
        old, new = old_view.configuration, new_view.configuration
        if new is not None and (old is None or old.version != new.version):
            self._log.info(LogEvent.CONFIGURATION_IN_FORCE, revision=new.version, source=source)
        for zone in sorted(old_view.evacuated_zones ^ new_view.evacuated_zones):
            self._log.info(
                LogEvent.ZONE_EVACUATION,
                zone=zone,
                outcome=_evacuation_outcome(zone, old_view, new_view),
                revision=new_view.revision,
                source=source,
            )
        for name, upstream in new_view.upstreams.items():
            old_upstream = old_view.upstreams.get(name)
            if (
                old_upstream is None
                or old_upstream.is_leaving != upstream.is_leaving
                or old_upstream.run != upstream.run
            ):
                self._log.info(
                    LogEvent.UPSTREAM_CHANGED,
                    upstream=name,
                    state="leaving" if upstream.is_leaving else "ready",
                    version=upstream.version,
                    revision=new_view.revision,
                    source=source,
                )
        for name in old_view.upstreams:
            if name not in new_view.upstreams:
                self._log.info(
                    LogEvent.UPSTREAM_CHANGED,
                    upstream=name,
                    state="gone",
                    revision=new_view.revision,
                    source=source,
                )


def _evacuation_outcome(zone: str, old_view: SiteView, new_view: SiteView) -> str:
    """Return what a change of the view means for a zone that either view has out of service."""
    if zone in new_view.evacuated_zones:
        return "evacuated"
    # Nobody has removed an order that a restored store lacks.
    return "kept" if new_view.era > old_view.era else "returned"


def _latest(old_view: SiteView, view: SiteView) -> SiteView:
    """Return the view of the higher revision, with the configuration of the higher version."""
    if view.revision > old_view.revision:
        return view.with_newer_configuration(old_view)
    return old_view.with_newer_configuration(view)


class _Contact(Enum):
    """Whether the store answers this VM."""

    UNKNOWN = auto()
    REACHED = auto()
    LOST = auto()


class StoreWatcher:
    """A task that reads the whole store once and then watches it for changes.

    ``follower_call`` returns the next call if this VM learns of changes from peers, else None.
    """

    def __init__(
        self,
        store: WatchedStore,
        view_holder: ViewHolder,
        documents: DocumentCodec,
        log: EventLog,
        *,
        wait_ms: Callable[[], int],
        vm_count: Callable[[], int],
        follower_call: Callable[[], FollowerCall | None] = lambda: None,
        count_call: Callable[[], None] = lambda: None,
        loop: TaskLoop | None = None,
    ) -> None:
        self._store = store
        self._follower_call = follower_call
        self._count_call = count_call
        #: Revision up to which the store itself has told this VM everything.
        self._told_revision = 0
        self._view_holder = view_holder
        self._prefix = documents.watched_prefix
        self._log = log
        self._wait_ms = wait_ms
        self._vm_count = vm_count
        self._loop = loop
        self._contact = _Contact.UNKNOWN
        self._answered_at_ms = now_ms()
        #: Calls that have failed since the last one that did not.
        self._failures = 0

    @property
    def answered_at_ms(self) -> int:
        """Return when the store last answered, so that the view was the latest one."""
        return self._answered_at_ms

    def start(self) -> None:
        """Start the task."""
        run_forever(self._watch_forever, "store-follower", self._log, loop=self._loop)

    def _watch_forever(self) -> None:
        backoff_ms = _INITIAL_BACKOFF_MS
        is_continuous = False
        while True:
            try:
                if not is_continuous:
                    self._read_all()
                is_continuous = self._watch_once()
                backoff_ms = _INITIAL_BACKOFF_MS
            except HistoryLostError as error:
                is_continuous = False
                self._log.error(LogEvent.STORE_HISTORY_LOST, error=error.message)
            except PlatformError as error:
                # A watch goes on from the same revision: the store still has the changes since.
                self._mark_store_unavailable(error)
                sleep(random.uniform(0.5, 1.0) * backoff_ms / _MS_PER_S)
                backoff_ms = min(_MAX_BACKOFF_MS, 2 * backoff_ms)

    def _read_all(self) -> None:
        asked_at_ms = now_ms()
        self._count_call()
        snapshot = self._store.read_all(self._prefix)
        self._mark_store_available()
        entries = [
            StoreChange(entry.key, entry.revision, entry.value) for entry in snapshot.entries
        ]
        self._view_holder.apply_snapshot(entries, snapshot.revision, "read")
        self._told_revision = snapshot.revision
        self._report_answer(asked_at_ms, snapshot.revision)

    def _watch_once(self) -> bool:
        """Make one watch call; return False if the store must be read as a whole.

        With many VMs the call is delayed, so that it returns several changes at once.
        """
        wait_ms = self._await_call()
        view = self._view_holder.view
        base_revision = self._told_revision
        if view.era != era_of(base_revision):
            base_revision = view.revision
        asked_at_ms = now_ms()
        self._count_call()
        changes = self._store.changes(self._prefix, after_revision=base_revision, wait_ms=wait_ms)
        self._mark_store_available()
        is_continuous = self._view_holder.apply_changes(
            changes.changes, base_revision=base_revision, revision=changes.revision
        )
        is_applied = self._view_holder.watched_revision == changes.revision
        if is_continuous and (is_applied or not changes.changes):
            # Otherwise a peer's view was as new, and the store tells the same changes again.
            self._told_revision = changes.revision
        self._report_answer(asked_at_ms, changes.revision)
        return is_continuous

    def _await_call(self) -> int:
        """Wait until the next call is due; return how long it waits for changes."""
        sleep(watch_delay_ms(self._vm_count()) / _MS_PER_S)
        while (call := self._follower_call()) is not None:
            left_ms = call.due_at_ms - now_ms()
            if left_ms <= 0:
                return call.wait_ms
            # Reports may change what is due, and whether this VM still is a follower.
            sleep(min(left_ms, _FOLLOWER_CHECK_MS) / _MS_PER_S)
        return self._wait_ms()

    def _report_answer(self, asked_at_ms: int, revision: int) -> None:
        view = self._view_holder.view
        if view.era == era_of(revision) and view.revision >= revision:
            self._view_holder.report_store_answered(asked_at_ms)

    def _mark_store_unavailable(self, error: PlatformError) -> None:
        self._failures += 1
        self._log.error(
            LogEvent.KEY_VALUE_UNAVAILABLE,
            failures=self._failures,
            silent_ms=now_ms() - self._answered_at_ms,
            revision=self._view_holder.view.revision,
            error=error.message,
        )
        if self._contact is not _Contact.LOST:
            self._contact = _Contact.LOST
            self._view_holder.report_store_lost()

    def _mark_store_available(self) -> None:
        previous_contact = self._contact
        silent_ms = now_ms() - self._answered_at_ms
        self._contact = _Contact.REACHED
        self._answered_at_ms = now_ms()
        self._failures = 0
        if previous_contact is _Contact.LOST:
            # 0 would stand for no outage at all.
            self._view_holder.report_store_reached(max(1, silent_ms))
        elif previous_contact is _Contact.UNKNOWN:
            self._view_holder.report_store_reached(0)
