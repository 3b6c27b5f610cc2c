"""A store that comes back from a copy: answers and writes of an earlier era."""

import io
import json
from collections.abc import Sequence

import pytest

from azureturn.errors import CompareFailedError, KeyValueUnavailableError
from azureturn.gateway.daemon._restorable_store import RestorableStore
from azureturn.gateway.site import join_revision
from azureturn.observability import EventLog
from azureturn.store import (
    HistoryLostError,
    KeyCondition,
    KeyValueEntry,
    StoreChange,
    StoreChanges,
    StoreSnapshot,
    StoreWrite,
)


class _Store:
    """A store whose next answers name a given era."""

    def __init__(self) -> None:
        self.era: int | None = 1
        self.revision = 500
        self.writes: list[int] = []
        self.watched_after: list[int] = []

    def read(self, key: str) -> KeyValueEntry | None:
        return KeyValueEntry(key, b"", self.revision)

    def read_all(self, prefix: str) -> StoreSnapshot:
        entries = (KeyValueEntry("a", b"", self.revision),)
        return StoreSnapshot(entries, self.revision, self.era)

    def changes(self, prefix: str, *, after_revision: int, wait_ms: int) -> StoreChanges:
        self.watched_after.append(after_revision)
        return StoreChanges((StoreChange("a", self.revision, b""),), self.revision, self.era)

    def transact(
        self,
        key: str,
        value: bytes,
        *,
        conditions: Sequence[KeyCondition],
        removed: Sequence[str] = (),
    ) -> StoreWrite:
        if not key.startswith("guards/"):
            self.writes.append(conditions[0].revision)
        return StoreWrite(self.revision, self.era)

    def compare_and_swap(self, key: str, value: bytes, *, expected_revision: int) -> int:
        condition = KeyCondition(key, expected_revision)
        return self.transact(key, value, conditions=[condition]).revision


@pytest.fixture
def log_text() -> io.StringIO:
    return io.StringIO()


@pytest.fixture
def sites(log_text: io.StringIO) -> tuple[_Store, RestorableStore]:
    store = _Store()
    restorable = RestorableStore(
        store, EventLog.to_stream(log_text, vm="vm-1"), guard_prefix="guards/"
    )
    assert restorable.read_all("").revision == join_revision(1, 500)
    return store, restorable


def test_changes_of_a_new_era_do_not_continue_what_was_read_before(
    sites: tuple[_Store, RestorableStore],
) -> None:
    store, restorable = sites
    store.era, store.revision = 2, 510
    with pytest.raises(HistoryLostError):
        restorable.changes("", after_revision=join_revision(1, 500), wait_ms=1)
    assert store.watched_after == [500]
    snapshot = restorable.read_all("")
    assert (snapshot.revision, snapshot.entries[0].revision) == (join_revision(2, 510),) * 2
    with pytest.raises(HistoryLostError):
        restorable.changes("", after_revision=join_revision(1, 500), wait_ms=1)
    assert store.watched_after == [500]


def test_a_write_decided_on_in_an_earlier_era_is_not_sent(
    sites: tuple[_Store, RestorableStore],
) -> None:
    store, restorable = sites
    restorable.compare_and_swap("a", b"", expected_revision=join_revision(1, 500))
    store.era, store.revision = 2, 490
    restorable.read_all("")
    with pytest.raises(CompareFailedError):
        restorable.compare_and_swap("a", b"", expected_revision=join_revision(1, 490))
    written = restorable.compare_and_swap("a", b"", expected_revision=join_revision(2, 490))
    assert store.writes == [500, 490]
    assert written == join_revision(2, 490)


def test_an_answer_of_an_earlier_era_is_refused(sites: tuple[_Store, RestorableStore]) -> None:
    store, restorable = sites
    # A peer has read the new era before this VM.
    store.era = 1
    with pytest.raises(KeyValueUnavailableError):
        restorable.changes("", after_revision=join_revision(2, 10), wait_ms=1)
    with pytest.raises(KeyValueUnavailableError):
        restorable.read_all("")
    store.era = 2
    assert restorable.read_all("").revision == join_revision(2, 500)


def test_an_era_that_is_missing_is_logged_and_changes_nothing(
    sites: tuple[_Store, RestorableStore], log_text: io.StringIO
) -> None:
    store, restorable = sites
    store.era = None
    assert restorable.read_all("").revision == join_revision(1, 500)
    restorable._log.close()
    lines = [json.loads(line) for line in log_text.getvalue().splitlines()]
    assert [line["event"] for line in lines] == ["store_era_invalid"]


def test_revisions_of_a_store_that_names_no_era_stay_as_they_are() -> None:
    store = _Store()
    store.era = None
    restorable = RestorableStore(
        store, EventLog.to_stream(io.StringIO(), vm="vm-1"), guard_prefix="guards/"
    )
    assert restorable.read_all("").revision == 500
