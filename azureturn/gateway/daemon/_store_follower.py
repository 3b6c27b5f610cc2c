"""Follows the store, and keeps this VM's view in step with it."""

import json
import random
import threading
import time
from base64 import b64decode, b64encode
from collections.abc import Callable, Iterable

from azureturn.errors import PlatformError
from azureturn.gateway.daemon._threads import run_forever
from azureturn.gateway.decisions import StoreRegained, ViewChanged
from azureturn.gateway.site import SiteDocuments, SiteView, StoredFact
from azureturn.observability import EventLog, LogEvent
from azureturn.serving import CoreRuntime
from azureturn.store import HistoryLostError, StoreChange, WatchedStore

_FIRST_PAUSE_MS = 100
_LONGEST_PAUSE_MS = 1_000
_MS_PER_S = 1_000
#: Time between two calls that ask for changes, for each VM of the site: every change wakes all.
_GATHERING_MS = 5
_LONGEST_GATHERING_MS = 400


class ViewKeeper:
    """Makes views of what the store and peers tell, and gives them to the decisions."""

    def __init__(self, runtime: CoreRuntime, documents: SiteDocuments, log: EventLog) -> None:
        self._runtime = runtime
        self._documents = documents
        self._log = log
        self._lock = threading.Lock()
        self._view = SiteView()

    @property
    def view(self) -> SiteView:
        """Return the view in force."""
        return self._view

    def note_regained(self) -> None:
        """Tell the decisions that the store answers again."""
        self._runtime.submit(StoreRegained())
        self._log.info(LogEvent.KEY_VALUE_REGAINED, revision=self._view.revision)

    def accept_all(self, entries: Iterable[StoreChange], revision: int, source: str) -> bool:
        """Take in everything that there is; return whether it was newer."""
        written = self._facts(entries)
        view = SiteView().with_changes(written=written, removed=(), revision=revision)
        return self._accept(view, source)

    def accept_changes(self, changes: Iterable[StoreChange], *, after: int, revision: int) -> bool:
        """Take in what changed after a revision; return False where the view is another."""
        with self._lock:
            if self._view.revision != after:
                return self._view.revision > after
            latest = {change.key: change for change in changes}
            written = self._facts(latest.values())
            kept = {one.key for one in written}
            removed = [key for key in latest if key not in kept]
            view = self._view.with_changes(written=written, removed=removed, revision=revision)
        return self._accept(view, "watch") or revision == after

    def encode(self) -> bytes:
        """Return the view for a peer."""
        rows = [
            [one.key, one.revision, b64encode(one.value).decode()]
            for one in self._view.facts.values()
        ]
        return json.dumps(rows).encode()

    def accept_from_peer(self, revision: int, data: bytes) -> bool:
        """Take in a peer's view; return whether it was newer."""
        rows = [StoreChange(key, at, b64decode(value)) for key, at, value in json.loads(data)]
        return self._accept_rows(rows, revision)

    def _accept_rows(self, rows: list[StoreChange], revision: int) -> bool:
        return self.accept_all(rows, revision, "peer")

    def _facts(self, entries: Iterable[StoreChange]) -> list[StoredFact]:
        found: list[StoredFact] = []
        for entry in entries:
            if entry.value is None:
                continue
            try:
                fact = self._documents.decode(entry.key, entry.value)
            except ValueError as error:
                self._log.error(LogEvent.DOCUMENT_REFUSED, key=entry.key, error=str(error))
                continue
            if fact is not None:
                found.append(StoredFact(entry.key, entry.revision, entry.value, fact))
        return found

    def _accept(self, view: SiteView, source: str) -> bool:
        with self._lock:
            before = self._view
            if view.revision <= before.revision:
                return False
            self._view = view
            self._runtime.submit(ViewChanged(view))
        self._log_change(before, view, source)
        return True

    def _log_change(self, before: SiteView, after: SiteView, source: str) -> None:
        old, new = before.configuration, after.configuration
        if new is not None and (old is None or old.version != new.version):
            self._log.info(LogEvent.CONFIGURATION_IN_FORCE, revision=new.version, source=source)
        for name, upstream in after.upstreams.items():
            known = before.upstreams.get(name)
            if (
                known is None
                or known.is_leaving != upstream.is_leaving
                or known.run != upstream.run
            ):
                self._log.info(
                    LogEvent.UPSTREAM_CHANGED,
                    upstream=name,
                    state="leaving" if upstream.is_leaving else "ready",
                    version=upstream.version,
                    revision=after.revision,
                    source=source,
                )
        for name in before.upstreams:
            if name not in after.upstreams:
                self._log.info(
                    LogEvent.UPSTREAM_CHANGED,
                    upstream=name,
                    state="gone",
                    revision=after.revision,
                    source=source,
                )


class StoreFollower:
    """A thread that reads everything once and then asks for changes, again and again."""

    def __init__(
        self,
        store: WatchedStore,
        keeper: ViewKeeper,
        documents: SiteDocuments,
        log: EventLog,
        *,
        wait_ms: int,
        vms: Callable[[], int],
    ) -> None:
        self._store = store
        self._keeper = keeper
        self._prefix = documents.watched_prefix
        self._log = log
        self._wait_ms = wait_ms
        self._vms = vms
        self._is_lost = False

    def start(self) -> None:
        """Begin to follow."""
        run_forever(self._follow_forever, "store-follower", self._log)

    def _follow_forever(self) -> None:
        pause_ms = _FIRST_PAUSE_MS
        while True:
            try:
                self._read_all()
                while True:
                    if not self._ask():
                        self._read_all()
                    pause_ms = _FIRST_PAUSE_MS
            except HistoryLostError as error:
                self._log.error(LogEvent.STORE_HISTORY_LOST, error=error.message)
            except PlatformError as error:
                self._note_lost(error)
                time.sleep(random.uniform(0.5, 1.0) * pause_ms / _MS_PER_S)
                pause_ms = min(_LONGEST_PAUSE_MS, 2 * pause_ms)

    def _read_all(self) -> None:
        snapshot = self._store.read_all(self._prefix)
        self._note_regained()
        entries = [StoreChange(one.key, one.revision, one.value) for one in snapshot.entries]
        self._keeper.accept_all(entries, snapshot.revision, "read")

    def _ask(self) -> bool:
        """Ask for changes once; with many VMs, changes that come together are read together."""
        time.sleep(min(_LONGEST_GATHERING_MS, _GATHERING_MS * self._vms()) / _MS_PER_S)
        after = self._keeper.view.revision
        found = self._store.changes(self._prefix, after_revision=after, wait_ms=self._wait_ms)
        self._note_regained()
        return self._keeper.accept_changes(found.changes, after=after, revision=found.revision)

    def _note_lost(self, error: PlatformError) -> None:
        if not self._is_lost:
            self._is_lost = True
            self._log.error(LogEvent.KEY_VALUE_UNAVAILABLE, error=error.message)

    def _note_regained(self) -> None:
        if self._is_lost:
            self._is_lost = False
            self._keeper.note_regained()
