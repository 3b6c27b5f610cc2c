"""Writes of several VMs to one key, while the store comes back from copies at any step."""

import io
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from azureturn.errors import CompareFailedError, ErrorKind, PlatformError
from azureturn.gateway.daemon._restorable_store import RestorableStore
from azureturn.observability import EventLog
from azureturn.store import (
    HistoryLostError,
    KeyCondition,
    KeyValueEntry,
    StoreChanges,
    StoreSnapshot,
    StoreWrite,
)

_KEY = "status"
_VMS = 2
#: One for all, since each log has a thread.
_LOG = EventLog.to_stream(io.StringIO(), vm="vm-1")


class _Store:
    """A store that gives revisions out again after it has come back from a copy."""

    def __init__(self) -> None:
        self.era = 1
        self.revision = 10
        self.items: dict[str, tuple[bytes, int]] = {_KEY: (b"0", 10)}
        self.copies = [(self.revision, dict(self.items))]

    def copy(self) -> None:
        self.copies.append((self.revision, dict(self.items)))

    def restore(self) -> None:
        self.revision, items = self.copies[-1]
        self.items = dict(items)
        self.era += 1

    def read(self, key: str) -> KeyValueEntry | None:
        raise NotImplementedError

    def changes(self, prefix: str, *, after_revision: int, wait_ms: int) -> StoreChanges:
        raise HistoryLostError(ErrorKind.KEY_VALUE_UNAVAILABLE, "")

    def compare_and_swap(self, key: str, value: bytes, *, expected_revision: int) -> int:
        raise NotImplementedError

    def read_all(self, prefix: str) -> StoreSnapshot:
        entries = [KeyValueEntry(key, *item) for key, item in self.items.items()]
        return StoreSnapshot(tuple(entries), self.revision, self.era)

    def transact(
        self,
        key: str,
        value: bytes,
        *,
        conditions: list[KeyCondition],
        removed: tuple[str, ...] = (),
    ) -> StoreWrite:
        for condition in conditions:
            if self.items.get(condition.key, (b"", 0))[1] != condition.revision:
                raise CompareFailedError(ErrorKind.CONFLICT, "")
        self.revision += 1
        for removed_key in removed:
            self.items.pop(removed_key, None)
        self.items[key] = (value, self.revision)
        return StoreWrite(self.revision, self.era)


class _Vm:
    """A VM that decides on a write from what it has read, and sends it later."""

    def __init__(self, store: _Store) -> None:
        self._store = store
        self._restorable = RestorableStore(store, _LOG, guard_prefix="guards/")  # type: ignore[arg-type]
        self.read()

    def read(self) -> None:
        snapshot = self._restorable.read_all("")
        (entry,) = (entry for entry in snapshot.entries if entry.key == _KEY)
        self.known, self.revision = entry.value, entry.revision

    def write(self, value: bytes) -> bool:
        try:
            self._restorable.compare_and_swap(_KEY, value, expected_revision=self.revision)
        except PlatformError:
            return False
        return True


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["read", "write", "read and write", "copy", "restore", "other write"]),
        st.integers(0, _VMS - 1),
    ),
    min_size=8,
    max_size=24,
)


@settings(deadline=None, max_examples=1_500)
@given(_STEPS, st.integers(0, 3))
def test_no_write_replaces_a_value_that_its_vm_has_not_read(
    steps: list[tuple[str, int]], seed: int
) -> None:
    """Every write that succeeds replaces just the value that was read before it was decided on."""
    store = _Store()
    vms = [_Vm(store) for _ in range(_VMS)]
    generator = random.Random(seed)
    for number, (step, index) in enumerate(steps):
        vm = vms[index]
        if step in ("read", "read and write"):
            vm.read()
        if step == "read":
            continue
        if step == "copy":
            store.copy()
        elif step == "restore":
            store.restore()
        elif step == "other write":
            # Operators and upstreams write as well, so that revisions are passed at random.
            for _ in range(generator.randint(1, 3)):
                store.transact("other", b"", conditions=[])
        else:
            replaced = store.items[_KEY][0]
            if vm.write(str(number + 1).encode()):
                assert replaced == vm.known


def test_a_write_in_flight_during_a_restore_does_not_meet_its_revision_on_another_change() -> None:
    store = _Store()
    writer, other = _Vm(store), _Vm(store)
    store.copy()
    other.write(b"lost")
    writer.read()
    store.restore()
    # The other VM learns of the new era; its write gets the revision of the one that was lost.
    for _ in range(3):
        other.read()
        assert other.write(b"decided in the new era")
        if store.items[_KEY][1] >= writer.revision % 2**40:
            break
    assert not writer.write(b"decided in the earlier era")
    assert store.items[_KEY][0] == b"decided in the new era"


@pytest.mark.parametrize("vm_count", [1, 3])
def test_an_era_needs_few_guards(vm_count: int) -> None:
    store = _Store()
    for _ in range(4):
        vms = [_Vm(store) for _ in range(vm_count)]
        for number, vm in enumerate(vms):
            vm.read()
            vm.write(b"%d" % number)
        store.copy()
        store.restore()
    _Vm(store).write(b"last")
    guards = [key for key in store.items if key.startswith("guards/")]
    assert len(guards) == 1
