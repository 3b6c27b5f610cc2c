"""Simulation of many cores that exchange heartbeats in memory.

It serves tests of membership and the benchmark ``slopes``.
"""

import random
import time
from dataclasses import dataclass, field

from azureturn.core import (
    AnswerHeartbeat,
    Configuration,
    Core,
    FetchConfiguration,
    HeartbeatFailed,
    HeartbeatReceived,
    PeersListed,
    PeerStarted,
    SendHeartbeat,
    Started,
)
from azureturn.core.membership import PeerIdentity
from azureturn.framework import Event, Tick
from azureturn.settings import (
    PlatformSettings,
    Settings,
    SharedSettings,
    UpstreamKind,
    UpstreamSettings,
    VmSettings,
)

TICK_MS = 50


def simulated_vm_settings(name: str, zone: str, upstreams: int) -> Settings:
    """Return the settings of one VM with a number of upstreams."""
    return Settings(
        vm=VmSettings(name, zone, "127.0.0.1", 1, 2),
        platform=PlatformSettings("http://127.0.0.1:1", "http://127.0.0.1:2"),
        shared=SharedSettings(
            site="model",
            tiers=(),
            organisations=(),
            routes=(),
            upstreams=tuple(
                UpstreamSettings(
                    f"engine-{number}",
                    UpstreamKind.MODEL_ENGINE,
                    zone,
                    "http://127.0.0.1:3",
                    ("model",),
                )
                for number in range(upstreams)
            ),
        ),
    )


@dataclass
class GossipVm:
    """One VM's core and the cost of its heartbeats."""

    name: str
    zone: str
    core: Core
    sent_bytes: int = 0
    received_bytes: int = 0
    exchanges_started: int = 0
    requested_revision: int = 0
    processor_s: float = 0.0

    def handle(self, event: Event, now_ms: int) -> tuple[object, ...]:
        """Pass an event to the core and add the time that it takes to ``processor_s``."""
        started_s = time.perf_counter()
        actions = self.core.handle(event, now_ms)
        self.processor_s += time.perf_counter() - started_s
        return actions


@dataclass
class GossipSimulation:
    """Simulates the cores of a fleet, network partitions between zones, and the clock."""

    vms: int
    zones: int
    upstreams: int = 4
    seed: int = 1
    #: Share of exchanges that are lost, half of them after the heartbeat was received.
    loss_share: float = 0.0
    now_ms: int = 0
    members: dict[str, GossipVm] = field(default_factory=dict)
    #: Zones that cannot reach any other.
    partitioned_zones: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        for number in range(self.vms):
            self.start(f"vm-{number}", f"zone-{number % self.zones}", incarnation=1)

    def start(self, name: str, zone: str, *, incarnation: int) -> None:
        """Start a VM, or restart it as a new process."""
        settings = simulated_vm_settings(name, zone, self.upstreams)
        core = Core.from_settings(settings, seed=self.random.getrandbits(32))
        vm = GossipVm(name, zone, core)
        core.handle(Started(Configuration(0, settings.shared)), self.now_ms)
        identity = PeerIdentity(name, zone, "127.0.0.1", 2, f"boot-{incarnation}", incarnation)
        core.handle(PeerStarted(identity), self.now_ms)
        self.members[name] = vm

    def announce_peers(self) -> None:
        """Send every core the list of all VMs, as the platform's VM list would."""
        listed_peers = tuple(
            (PeerIdentity(vm.name, vm.zone, "127.0.0.1", 2), False) for vm in self.members.values()
        )
        for vm in self.members.values():
            vm.core.handle(PeersListed(listed_peers), self.now_ms)

    def run(self, duration_ms: int) -> None:
        """Advance the clock in ticks; in each, all cores handle a tick in random order."""
        for _ in range(duration_ms // TICK_MS):
            self.now_ms += TICK_MS
            names = list(self.members)
            self.random.shuffle(names)
            for name in names:
                self.perform(self.members[name], self.members[name].handle(Tick(), self.now_ms))

    def perform(self, vm: GossipVm, actions: tuple[object, ...]) -> None:
        """Execute a core's actions."""
        for action in actions:
            if isinstance(action, SendHeartbeat):
                self._exchange(vm, action)
            elif isinstance(action, FetchConfiguration):
                vm.requested_revision = max(vm.requested_revision, action.revision)

    def _exchange(self, sender: GossipVm, action: SendHeartbeat) -> None:
        receiver = self.members[action.peer.vm]
        sender.exchanges_started += 1
        sender.sent_bytes += action.heartbeat.size_bytes
        is_lost = self.random.random() < self.loss_share
        if self._is_partitioned(sender, receiver) or (is_lost and self.random.random() < 0.5):
            sender.handle(HeartbeatFailed(receiver.name), self.now_ms)
            return
        receiver.received_bytes += action.heartbeat.size_bytes
        request_event = HeartbeatReceived(action.heartbeat, answer_wanted=True)
        answers = receiver.handle(request_event, self.now_ms)
        for answer in answers:
            if isinstance(answer, AnswerHeartbeat):
                receiver.sent_bytes += answer.heartbeat.size_bytes
                if is_lost:
                    sender.handle(HeartbeatFailed(receiver.name), self.now_ms)
                    continue
                sender.received_bytes += answer.heartbeat.size_bytes
                answer_event = HeartbeatReceived(answer.heartbeat, answer_wanted=False)
                self.perform(sender, sender.handle(answer_event, self.now_ms))
        self.perform(
            receiver, tuple(answer for answer in answers if not isinstance(answer, AnswerHeartbeat))
        )

    def _is_partitioned(self, first: GossipVm, second: GossipVm) -> bool:
        return first.zone != second.zone and bool(
            {first.zone, second.zone} & self.partitioned_zones
        )
