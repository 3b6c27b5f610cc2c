"""A site in virtual time: the real watchers, views and decisions of many VMs, and one store.

Upstreams renew their entries all the time, as those of large sites do.
"""

import heapq
import json
import random
from collections.abc import Callable
from io import StringIO
from itertools import count
from types import SimpleNamespace
from typing import Any

import pytest
from greenlet import getcurrent, greenlet

from azureturn.errors import ErrorKind, KeyValueUnavailableError, PeerUnavailableError
from azureturn.framework import Core, Event, Tick
from azureturn.gateway.daemon import _store_watcher
from azureturn.gateway.daemon._peer_calls import GatewayPeerHandler, ViewFetcher
from azureturn.gateway.daemon._restorable_store import RestorableStore
from azureturn.gateway.daemon._store_watcher import StoreWatcher, ViewHolder
from azureturn.gateway.decisions import (
    GATEWAY_CONTROLLERS,
    FetchView,
    GatewayStarted,
    PeerReportReceived,
    SendReport,
    StoreCallLimits,
    ViewChanged,
    next_follower_call,
)
from azureturn.gateway.decisions.tests.gateway_core_harness import BOUNDS, upstream
from azureturn.gateway.settings import GatewaySettings, GatewayVm
from azureturn.gateway.site import AllotmentRecord, DocumentContent, RegisteredVm
from azureturn.observability import EventLog
from azureturn.store import (
    HistoryLostError,
    KeyValueEntry,
    StoreChange,
    StoreChanges,
    StoreSnapshot,
)

_UPSTREAMS = 30
_RENEWAL_MS = 1_200
_TICK_MS = 50
_LATENCY_MS = 20
_TIMEOUT_MS = 700
_STARTED_AT_MS = 100_000
_LOG = EventLog.to_stream(StringIO(), vm="vm")


class _Codec:
    watched_prefix = ""
    era_guard_prefix = "eras/"

    def decode(self, key: str, value: bytes) -> DocumentContent | None:
        kind, _, name = key.partition("/")
        document = json.loads(value)
        if kind == "vms":
            return RegisteredVm(name, document["host"], 7)
        if kind == "record":
            return AllotmentRecord(document["at"], ())
        return upstream(name, is_leaving=document["leaving"]) if kind == "servers" else None


class SimulatedStore:
    """Counts its calls; a VM in ``lost_by`` gets no answers, one in ``rejects`` refusals."""

    def __init__(self, site: "SimulatedSite") -> None:
        self._site = site
        self.calls = 0
        self.era = 1
        self.revision = 1
        self.items: dict[str, KeyValueEntry] = {}
        self.history: list[StoreChange] = []
        self.lost_by: set[str] = set()
        self.rejects: set[str] = set()
        self.latency_ms = _LATENCY_MS

    def put(self, key: str, **document: object) -> None:
        self.revision += 1
        value = json.dumps(document).encode()
        self.items[key] = KeyValueEntry(key, value, self.revision)
        self.history.append(StoreChange(key, self.revision, value))

    def remove(self, key: str) -> None:
        self.revision += 1
        del self.items[key]
        self.history.append(StoreChange(key, self.revision, None))

    def lose_history(self) -> None:
        self.history = [StoreChange("", self.revision, None)]

    def restore(self, copy: dict[str, KeyValueEntry], revision: int) -> None:
        self.items, self.revision, self.era = dict(copy), revision, self.era + 1
        self.history = []

    def called_by(self, vm: str, timeout_ms: int) -> None:
        self.calls += 1
        if vm in self.rejects or vm in self.lost_by:
            self._site.sleep((5 if vm in self.rejects else timeout_ms) / 1_000)
            raise KeyValueUnavailableError(ErrorKind.KEY_VALUE_UNAVAILABLE, "no answer")
        self._site.sleep(self.latency_ms / 2_000)


class _StoreOfVm:
    """The store as one VM calls it."""

    def __init__(self, site: "SimulatedSite", vm: str) -> None:
        self._site, self._vm = site, vm

    def read_all(self, prefix: str) -> StoreSnapshot:
        store = self._site.store
        store.called_by(self._vm, _TIMEOUT_MS)
        snapshot = StoreSnapshot(tuple(store.items.values()), store.revision, store.era)
        self._site.sleep(store.latency_ms / 2_000)
        return snapshot

    def changes(self, prefix: str, *, after_revision: int, wait_ms: int) -> StoreChanges:
        store, ends_at_ms = self._site.store, self._site.now_ms + wait_ms
        store.called_by(self._vm, wait_ms + _TIMEOUT_MS)
        if after_revision > store.revision:
            raise HistoryLostError(ErrorKind.KEY_VALUE_UNAVAILABLE, "restored")
        while store.revision <= after_revision and self._site.now_ms < ends_at_ms:
            self._site.sleep(0.01)
        if store.history and after_revision + 1 < store.history[0].revision:
            raise HistoryLostError(ErrorKind.KEY_VALUE_UNAVAILABLE, "dropped")
        changes = tuple(row for row in store.history if row.revision > after_revision and row.key)
        answer = StoreChanges(changes, store.revision, store.era)
        self._site.sleep(store.latency_ms / 2_000)
        return answer


class SimulatedVm:
    """One VM: the core, of which only the controllers that concern the store, and its tasks."""

    def __init__(self, site: "SimulatedSite", name: str, zone: str, host: str) -> None:
        self.site, self.name, self.zone, self.host = site, name, zone, host
        self.frozen_until_ms = 0.0
        self.is_up = True
        #: When the VM knew that upstream "u-0" leaves.
        self.knew_at_ms: int | None = None
        vm = GatewayVm(name, zone, host, host, 1, host, 2, 3, 4)
        self.settings = GatewaySettings(vm, BOUNDS)
        names = ("views", "moves", "reports", "store_calls")
        controllers = {name: GATEWAY_CONTROLLERS[name] for name in names}
        self.core = Core.from_controllers(controllers, self.settings, seed=len(site.vms))
        self.holder = ViewHolder(SimpleNamespace(submit=self.submit), _Codec(), _LOG)  # type: ignore[arg-type]
        store = RestorableStore(_StoreOfVm(site, name), _LOG, guard_prefix="eras/")  # type: ignore[arg-type]
        self.watcher = StoreWatcher(
            store,
            self.holder,
            _Codec(),  # type: ignore[arg-type]
            _LOG,
            wait_ms=lambda: self.settings.watch_wait_ms,
            vm_count=lambda: len(self.holder.view.vms),
            follower_call=lambda: next_follower_call(
                self.core.board, StoreCallLimits.from_bounds(BOUNDS), vm, site.now_ms
            ),
        )
        self.handler = GatewayPeerHandler(self.holder)
        client = SimpleNamespace(fetch_configuration=self._call_peer)
        self.fetcher = ViewFetcher(client, self.holder, _LOG, peer_port=1, loop=None)  # type: ignore[arg-type]

    def start(self) -> None:
        self.submit(GatewayStarted(self.name, 0))
        self.site.spawn(self, self.watcher._watch_forever)
        self._tick()

    def submit(self, event: Event) -> None:
        if isinstance(event, ViewChanged) and self.knew_at_ms is None:
            entry = event.view.upstreams.get("u-0")
            if event.view.revision and (entry is None or entry.is_leaving):
                self.knew_at_ms = self.site.now_ms
        for action in self.core.handle(event, self.site.now_ms):
            if isinstance(action, SendReport):
                self.site.send(self, action)
            elif isinstance(action, FetchView):
                self.site.spawn(self, lambda action=action: self._fetch(action))

    def _tick(self) -> None:
        self.submit(Tick())
        self.site.at(self.site.now_ms + _TICK_MS, self._tick, self)

    def _fetch(self, action: FetchView) -> None:
        try:
            done = action.takes_changes and self.fetcher._fetch(
                action, self.holder.view, only_changes=True
            )
            if action.takes_whole and not done:
                self.fetcher._fetch(action, self.holder.view, only_changes=False)
                self.site.whole_views += 1
        except PeerUnavailableError:
            pass

    def _call_peer(self, address: Any, query: Any) -> Any:
        peer = self.site.vms_by_host[address.host]
        self.site.sleep(0.01)
        if self.site.is_cut(self, peer) or peer.frozen_until_ms > self.site.now_ms:
            self.site.sleep(1.0)
            raise PeerUnavailableError(ErrorKind.INTERNAL, "no answer")
        answer = peer.handler.fetch_configuration(query)
        self.site.sleep(0.01)
        return answer


class SimulatedSite:
    """All VMs, their links and the store; ``run_until`` lets time pass."""

    def __init__(self, vm_count: int, monkeypatch: pytest.MonkeyPatch, seed: int = 1) -> None:
        self.now_ms = _STARTED_AT_MS
        self.random = random.Random(seed)
        self._queue: list[tuple[float, int, Callable[[], object], SimulatedVm | None]] = []
        self._number = count()
        self._hub = getcurrent()
        self.whole_views = 0
        #: Pairs of zones between which nothing arrives.
        self.cut_zones: set[frozenset[str]] = set()
        monkeypatch.setattr(_store_watcher, "sleep", self.sleep)
        monkeypatch.setattr(_store_watcher, "now_ms", lambda: self.now_ms)
        self.store = SimulatedStore(self)
        self.vms: list[SimulatedVm] = []
        for number in range(vm_count):
            zone, host = "abcd"[number % 4], f"10.0.{number // 200}.{number % 200}"
            self.vms.append(SimulatedVm(self, f"edge-{zone}-{number:03}", zone, host))
            self.store.put(f"vms/{self.vms[-1].name}", host=host)
        self.vms_by_host = {vm.host: vm for vm in self.vms}
        for number in range(_UPSTREAMS):
            self._renew(f"servers/u-{number}", number * _RENEWAL_MS // _UPSTREAMS)
        self._write_record()
        for vm in self.vms:
            self.at(self.now_ms + self.random.uniform(0, 300), vm.start)

    def _renew(self, key: str, delay_ms: int) -> None:
        document = json.loads(self.store.items[key].value) if key in self.store.items else {}
        if delay_ms == _RENEWAL_MS and not document:
            return  # It was removed.
        leaving, sequence = document.get("leaving", False), document.get("sequence", 0) + 1
        self.store.put(key, leaving=leaving, sequence=sequence)
        later_ms = self.now_ms + (delay_ms or _RENEWAL_MS)
        self.at(later_ms, lambda: self._renew(key, _RENEWAL_MS))

    def _write_record(self) -> None:
        self.store.put("record/x", at=int(self.now_ms))
        self.at(self.now_ms + 1_000, self._write_record)

    def at(self, at_ms: float, function: Callable[[], object], vm: Any = None) -> None:
        heapq.heappush(self._queue, (at_ms, next(self._number), function, vm))

    def spawn(self, vm: SimulatedVm, function: Callable[[], object]) -> None:
        task = greenlet(function, parent=self._hub)
        task.vm = vm
        self.at(self.now_ms, task.switch, vm)

    def sleep(self, seconds: float) -> None:
        task = getcurrent()
        self.at(self.now_ms + seconds * 1_000, task.switch, task.vm)  # type: ignore[attr-defined]
        self._hub.switch()

    def is_cut(self, vm: SimulatedVm, peer: SimulatedVm) -> bool:
        return not (vm.is_up and peer.is_up) or frozenset((vm.zone, peer.zone)) in self.cut_zones

    def send(self, vm: SimulatedVm, action: SendReport) -> None:
        event = PeerReportReceived(action.report)
        for host in action.hosts:
            peer = self.vms_by_host[host]
            if not self.is_cut(vm, peer):
                delay_ms = self.random.uniform(2, 60)
                self.at(self.now_ms + delay_ms, lambda peer=peer: peer.submit(event), peer)

    def run_until(self, at_ms: int) -> None:
        """Let time pass; what concerns a frozen VM happens when it goes on."""
        while self._queue and self._queue[0][0] <= at_ms:
            due_ms, _, function, vm = heapq.heappop(self._queue)
            self.now_ms = max(self.now_ms, int(due_ms))
            if vm is not None and not vm.is_up:
                continue
            if vm is not None and vm.frozen_until_ms > self.now_ms:
                # What arrived meanwhile is read before any task of the VM goes on.
                is_task = isinstance(getattr(function, "__self__", None), greenlet)
                self.at(vm.frozen_until_ms + is_task, function, vm)
                continue
            function()
        self.now_ms = at_ms

    def run_for(self, duration_ms: int) -> None:
        self.run_until(self.now_ms + duration_ms)
