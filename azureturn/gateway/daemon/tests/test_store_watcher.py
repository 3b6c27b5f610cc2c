"""Tests of how the watcher goes on after errors of the store."""

from io import StringIO

import pytest

from azureturn.errors import ErrorKind, KeyValueUnavailableError
from azureturn.gateway.daemon import _store_watcher
from azureturn.gateway.daemon._store_watcher import StoreWatcher, ViewHolder
from azureturn.gateway.decisions.tests.gateway_core_harness import GatewayCoreHarness, view
from azureturn.observability import EventLog
from azureturn.serving import CoreRuntime
from azureturn.store import HistoryLostError, StoreChanges, StoreSnapshot


class _StopError(Exception):
    """Ends the watcher's loop in a test."""


class _Codec:
    watched_prefix = ""


class _Store:
    """A store whose watch calls have the results that the test lists."""

    def __init__(self, watch_results: list[Exception | None]) -> None:
        self._watch_results = watch_results
        self.calls: list[str] = []
        self._revision = 5

    def read_all(self, prefix: str) -> StoreSnapshot:
        self.calls.append("read")
        return StoreSnapshot((), self._revision)

    def changes(self, prefix: str, *, after_revision: int, wait_ms: int) -> StoreChanges:
        self.calls.append(f"watch {after_revision}")
        if not self._watch_results:
            raise _StopError
        error = self._watch_results.pop(0)
        if error is not None:
            raise error
        self._revision += 1
        return StoreChanges((), self._revision)


def _error(error_type: type[Exception]) -> Exception:
    return error_type(ErrorKind.KEY_VALUE_UNAVAILABLE, "read timed out")


@pytest.mark.parametrize(
    ("watch_results", "expected_calls"),
    [
        ([None, None], ["read", "watch 5", "watch 6", "watch 7"]),
        (
            [None, _error(KeyValueUnavailableError), None],
            ["read", "watch 5", "watch 6", "watch 6", "watch 7"],
        ),
        ([None, _error(HistoryLostError)], ["read", "watch 5", "watch 6", "read", "watch 6"]),
    ],
    ids=["sound", "one call fails", "history lost"],
)
def test_the_store_is_read_as_a_whole_only_if_a_watch_cannot_go_on(
    monkeypatch: pytest.MonkeyPatch,
    watch_results: list[Exception | None],
    expected_calls: list[str],
) -> None:
    monkeypatch.setattr(_store_watcher, "_INITIAL_BACKOFF_MS", 0)
    harness = GatewayCoreHarness(view())
    runtime = CoreRuntime(harness.core, tick_interval_ms=50, report_error=lambda _error: None)
    log = EventLog.to_stream(StringIO(), vm="vm-1")
    holder = ViewHolder(runtime, _Codec(), log)  # type: ignore[arg-type]
    store = _Store(list(watch_results))
    watcher = StoreWatcher(
        store,  # type: ignore[arg-type]
        holder,
        _Codec(),  # type: ignore[arg-type]
        log,
        wait_ms=lambda: 100,
        vm_count=lambda: 0,
    )
    with pytest.raises(_StopError):
        watcher._watch_forever()
    assert store.calls == expected_calls
