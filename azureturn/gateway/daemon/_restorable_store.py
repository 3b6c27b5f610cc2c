"""A store that may come back from a copy, seen as one whose revisions only increase."""

import secrets
import threading
from dataclasses import dataclass, replace

from azureturn.errors import CompareFailedError, ErrorKind, KeyValueUnavailableError
from azureturn.gateway.site import era_of, join_revision, revision_in_era
from azureturn.observability import EventLog, LogEvent
from azureturn.store import (
    HistoryLostError,
    KeyCondition,
    KeyValueEntry,
    StoreChanges,
    StoreSnapshot,
    TransactionalStore,
)

_GUARD_BYTES = 8
#: The store takes at most 32 entries in one write.
_MAX_REMOVED_GUARDS = 28


@dataclass(frozen=True)
class _EraGuard:
    """The guard of an era, as a condition of the era's writes."""

    era: int
    #: Key and revision as the store itself knows them.
    condition: KeyCondition


class RestorableStore:
    """Joins each revision with its era, and refuses what belongs to an earlier era.

    Changes of a new era are not taken as a continuation of what was read before: the caller has to
    read everything again. A conditional write that was decided on in an earlier era is not sent,
    as the store may have given its expected revision to another change.

    A write may also arrive after the store has come back. So each era has an entry of its own, the
    guard, and every write has the guard of its era as a further condition. A guard is written
    together with the removal of all earlier ones, before any other write of its era. Its key
    contains a random number, so that no guard is ever written twice.
    """

    def __init__(self, store: TransactionalStore, log: EventLog, *, guard_prefix: str) -> None:
        self._store = store
        self._log = log
        self._guard_prefix = guard_prefix
        #: The latest era that the store, or a peer, has named; 0 if none was.
        self._era = 0
        self._guard: _EraGuard | None = None
        #: Keys of the guards of earlier eras that the store still has.
        self._earlier_guards: tuple[str, ...] = ()
        self._lock = threading.Lock()

    def read(self, key: str) -> KeyValueEntry | None:
        """Return the entry at ``key``, whose revision is of the latest era that is known."""
        entry = self._store.read(key)
        return None if entry is None else _with_era(entry, self._era)

    def read_all(self, prefix: str) -> StoreSnapshot:
        """Return all entries below ``prefix``."""
        snapshot = self._store.read_all(prefix)
        era = self._observe(snapshot.era)
        self._find_guards(snapshot, era)
        entries = tuple(_with_era(entry, era) for entry in snapshot.entries)
        return StoreSnapshot(entries, join_revision(era, snapshot.revision), era)

    def changes(self, prefix: str, *, after_revision: int, wait_ms: int) -> StoreChanges:
        """Wait up to ``wait_ms`` for changes after a revision, and return them.

        Raises :class:`HistoryLostError` if the store has come back from a copy since then.
        """
        with self._lock:
            # A peer may have read the new era first.
            self._era = max(self._era, era_of(after_revision))
        if era_of(after_revision) < self._era:
            raise _new_era()
        changes = self._store.changes(
            prefix, after_revision=revision_in_era(after_revision), wait_ms=wait_ms
        )
        era = self._observe(changes.era)
        if era != era_of(after_revision):
            raise _new_era()
        written = tuple(
            replace(change, revision=join_revision(era, change.revision))
            for change in changes.changes
        )
        return StoreChanges(written, join_revision(era, changes.revision), era)

    def compare_and_swap(self, key: str, value: bytes, *, expected_revision: int) -> int:
        """Write ``value`` if the key is at ``expected_revision``, which is of the latest era."""
        era = self._era
        if expected_revision and era_of(expected_revision) != era:
            raise CompareFailedError(
                ErrorKind.CONFLICT, f"{key} was read before the store came back from a copy"
            )
        conditions = [KeyCondition(key, revision_in_era(expected_revision))]
        if era:
            conditions.append(self._guard_of(era))
        written = self._store.transact(key, value, conditions=conditions)
        return join_revision(era, written.revision)

    def _guard_of(self, era: int) -> KeyCondition:
        """Return the guard of an era; write one if the store has none yet."""
        guard = self._guard
        if guard is not None and guard.era == era:
            return guard.condition
        key = f"{self._guard_prefix}{era}-{secrets.token_hex(_GUARD_BYTES)}"
        written = self._store.transact(
            key,
            str(era).encode(),
            conditions=[KeyCondition(key, 0)],
            removed=self._earlier_guards[:_MAX_REMOVED_GUARDS],
        )
        if written.era != era:
            raise CompareFailedError(
                ErrorKind.CONFLICT, "the store has come back from a copy meanwhile"
            )
        guard = _EraGuard(era, KeyCondition(key, written.revision))
        self._guard = guard
        return guard.condition

    def _find_guards(self, snapshot: StoreSnapshot, era: int) -> None:
        """Take over the guard of this era from a snapshot, and those of earlier eras."""
        guards = sorted(
            (entry for entry in snapshot.entries if entry.key.startswith(self._guard_prefix)),
            key=lambda entry: entry.key,
        )
        own_prefix = f"{self._guard_prefix}{era}-"
        own = [entry for entry in guards if entry.key.startswith(own_prefix)]
        self._earlier_guards = tuple(entry.key for entry in guards if entry not in own)
        self._guard = _EraGuard(era, KeyCondition(own[0].key, own[0].revision)) if own else None

    def _observe(self, era: int | None) -> int:
        """Take note of the era that a response names, and return the era of the response.

        A response without a valid era is taken to be of the latest one. Raises
        :class:`KeyValueUnavailableError` for a response of an earlier era.
        """
        with self._lock:
            known = self._era
            if era is None:
                if known:
                    error = "a response names no valid era"
                    self._log.error(LogEvent.STORE_ERA_INVALID, era=known, error=error)
                return known
            if era < known:
                error = f"a response is of the earlier era {era}"
                self._log.error(LogEvent.STORE_ERA_INVALID, era=known, error=error)
                raise KeyValueUnavailableError(ErrorKind.KEY_VALUE_UNAVAILABLE, error)
            self._era = era
            return era


def _with_era(entry: KeyValueEntry, era: int) -> KeyValueEntry:
    return KeyValueEntry(entry.key, entry.value, join_revision(era, entry.revision))


def _new_era() -> HistoryLostError:
    return HistoryLostError(ErrorKind.KEY_VALUE_UNAVAILABLE, "the store has come back from a copy")
