"""Discrete-event simulation of several VMs' production move logic, for the benchmark of moves."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import count
from pathlib import Path

from azureturn.core import (
    CONTROLLERS,
    AnswerHeartbeat,
    AnswerProgressed,
    Configuration,
    Core,
    HeartbeatReceived,
    PeersListed,
    PeerStarted,
    Placed,
    Request,
    RequestAnswered,
    RequestEnded,
    RequestFailed,
    RequestTable,
    SendHeartbeat,
    Started,
)
from azureturn.core.membership import PeerIdentity
from azureturn.core.moves import (
    EPOCH_MS,
    OPEN_EPOCHS,
    Counts,
    Defect,
    EvidenceKey,
    EvidenceSource,
    Judge,
    MoveEvidence,
    MoveRecord,
    MovesRead,
    MoveState,
    MoveTable,
    MoveWritten,
    ObserveVersions,
    OrderEnded,
    SendOrder,
    TrackedRequestTable,
    VersionsObserved,
    WriteMove,
    defects_of,
)
from azureturn.errors import ErrorKind, RunState
from azureturn.framework import Action, Blackboard, Event, Tick
from azureturn.json_files import read_merged
from azureturn.settings import MoveSettings, Settings, UpstreamKind, check_settings
from benchmarks.move_outcomes import SITES, Fault, Outcome, RouteWorkload, draw_fault, draw_outcome
from benchmarks.move_platform import EnginesModel, ServiceModel

VMS = 8
ZONES = 4
TICK_MS = 100
READ_INTERVAL_MS = 1_000
NETWORK_DELAY_MS = 3
WRITE_TIMEOUT_MS = 1_000
DEADLINE_MS = 900_000
BAKING_MS = 300_000
#: The run continues this long after the baking phase, to observe delayed effects.
TAIL_MS = 20_000
GRACE_MS = 2_000
#: A burst or a late fault begins before this time, so that the move is still in progress.
LATEST_CHANGE_MS = 600_000
#: 2 GB of weights from a store that delivers 200 MB/s, and 5 s to load them.
MOVE_SETTINGS = MoveSettings(2_000_000_000, 200_000_000.0, 5_000)
#: Time of day at the start of a run.
UNIX_START_MS = 1_000_000_000_000
MOVE_ID = "0123456789ab"
_EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
_CONTROLLERS = ("configuration", "membership", "moves", "mover", "move_gossip")
_BURST_FACTOR = 2.0
_BURST_MS = 60_000


@dataclass
class MoveResult:
    """Measurements of one run, which is one move."""

    scenario: str
    site: str
    policy: str
    seed: int
    is_bad: bool
    state: str = ""
    reason: str = ""
    detail: str = ""
    #: Seconds from the start until the new version got all requests; 0: never.
    moved_s: float = 0.0
    moved_in_time: bool = False
    #: Seconds from the start until the version was detectable as bad, that is, until a test with
    #: all samples in one place rejected it; 0: never.
    shown_s: float = 0.0
    #: Seconds from the start until the record's state was ``taken_back``; 0: never.
    taken_back_s: float = 0.0
    requests: int = 0
    new_requests: int = 0
    #: Requests until the move was taken back, or else until the deadline.
    requests_in_move: int = 0
    new_requests_in_move: int = 0
    #: Requests to the new version more than 2 s after it was detectable as bad.
    new_requests_late: int = 0
    #: Requests to the new version from a VM whose share for it exceeded the highest share in any
    #: record written so far.
    over_share: int = 0
    #: VMs that reported the move as frozen 500 ms after the deadline, that is, VMs that could not
    #: reach the key-value service.
    frozen_vms: int = 0


@dataclass
class SimulatedVm:
    """A VM's identity and core."""

    identity: PeerIdentity
    core: Core


@dataclass
class MoveSimulation:
    """Simulation of one move; ``run`` returns its measurements."""

    scenario: str
    site_name: str
    policy: str
    seed: int
    now_ms: int = 0
    #: Scheduled tasks: time in ms, sequence number and task.
    queue: list[tuple[int, int, Callable[[], None]]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.site = SITES[self.site_name]
        self.random = random.Random(f"{self.scenario} {self.site_name} {self.seed}")
        self.end_ms = DEADLINE_MS + BAKING_MS + TAIL_MS
        self.fault = draw_fault(self.scenario, self.site, self.random, latest_ms=LATEST_CHANGE_MS)
        self.burst_from_ms = self.random.randrange(LATEST_CHANGE_MS)
        self.service = ServiceModel(random.Random(self.seed))
        self._plan_outage()
        self.settings = self._settings()
        engines = [
            upstream.name
            for upstream in self.settings.shared.upstreams
            if upstream.kind is UpstreamKind.MODEL_ENGINE and self.site.model in upstream.targets
        ]
        fetch_ms = round(
            MOVE_SETTINGS.weight_bytes / MOVE_SETTINGS.weight_store_bytes_per_s * 1_000
        )
        self.engines = EnginesModel(tuple(engines), fetch_ms, MOVE_SETTINGS.load_time_ms)
        self.result = MoveResult(
            self.scenario, self.site_name, self.policy, self.seed, self.fault.is_bad
        )
        #: Requests in progress, by whether the new version serves them.
        self.in_progress = {False: 0, True: 0}
        self.highest_share = 0.0
        self.ledger = MoveEvidence(MOVE_ID)
        self.judge: Judge | None = None
        self._sequence = count()
        self._request_number = count()
        self.vms = [self._vm(number) for number in range(VMS)]

    def run(self) -> MoveResult:
        """Run the simulation to the end and return its measurements."""
        self._start_move()
        peers_listed = PeersListed(tuple((vm.identity, False) for vm in self.vms))
        for number, vm in enumerate(self.vms):
            self._handle(vm, peers_listed)
            self._repeat(TICK_MS, number * TICK_MS // VMS, partial(self._handle, vm, Tick()))
            first_ms = number * READ_INTERVAL_MS // VMS
            self._repeat(READ_INTERVAL_MS, first_ms, partial(self._read, vm))
        self.schedule_at(0, self._arrive)
        self.schedule_at(DEADLINE_MS + 500, self._count_frozen)
        while self.queue and self.queue[0][0] <= self.end_ms:
            self.now_ms, _, task = heapq.heappop(self.queue)
            task()
        return self._finish()

    def schedule_at(self, when_ms: int, task: Callable[[], None]) -> None:
        """Schedule a task at a time."""
        heapq.heappush(self.queue, (when_ms, next(self._sequence), task))

    def _repeat(self, interval_ms: int, first_ms: int, task: Callable[[], None]) -> None:
        def run() -> None:
            task()
            self.schedule_at(self.now_ms + interval_ms, run)

        self.schedule_at(first_ms, run)

    def _plan_outage(self) -> None:
        if self.scenario.startswith("platform_down"):
            self.service.outage_from_ms = self.random.randrange(60_000, 700_000)
            length_ms = self.random.randrange(60_000, 300_000)
            self.service.outage_to_ms = self.service.outage_from_ms + length_ms

    def _settings(self) -> Settings:
        document = read_merged(_EXAMPLES / "base.json", [_EXAMPLES / f"{self.site_name}.json"])
        settings = check_settings(document)
        policy = replace(settings.shared.policy, ramp=self.policy, moves=MOVE_SETTINGS)
        return replace(settings, shared=replace(settings.shared, policy=policy))

    def _vm(self, number: int) -> SimulatedVm:
        name, zone = f"vm-{number}", f"zone-{number % ZONES}"
        vm = replace(self.settings.vm, name=name, availability_zone=zone)
        settings = replace(self.settings, vm=vm)
        board = Blackboard()
        controllers = [CONTROLLERS[key].from_settings(settings, board) for key in _CONTROLLERS]
        identity = PeerIdentity(name, zone, "127.0.0.1", 1, f"boot-{number}", 1)
        core = Core(board, controllers, seed=self.seed * VMS + number)
        simulated_vm = SimulatedVm(identity, core)
        self._handle(simulated_vm, Started(Configuration(0, settings.shared), identity.boot_id))
        self._handle(simulated_vm, PeerStarted(identity))
        return simulated_vm

    def _start_move(self) -> None:
        record = MoveRecord(
            MOVE_ID,
            self.site.model,
            "v1",
            "v2",
            UNIX_START_MS,
            UNIX_START_MS + DEADLINE_MS,
            baking_ms=BAKING_MS,
        )
        self.service.write(record, 0, self.now_ms)

    def _handle(self, vm: SimulatedVm, event: Event) -> None:
        for action in vm.core.handle(event, self.now_ms):
            self._perform(vm, action)

    def _perform(self, vm: SimulatedVm, action: Action) -> None:
        if isinstance(action, SendHeartbeat):
            self.schedule_at(self.now_ms + NETWORK_DELAY_MS, lambda: self._exchange(vm, action))
        elif isinstance(action, WriteMove):
            self.schedule_at(self.now_ms + NETWORK_DELAY_MS, lambda: self._write(vm, action))
        elif isinstance(action, ObserveVersions):
            versions = frozenset(self.engines.versions[action.upstream])
            event = VersionsObserved(action.upstream, versions)
            self.schedule_at(self.now_ms + NETWORK_DELAY_MS, lambda: self._handle(vm, event))
        elif isinstance(action, SendOrder):
            self._send_order(vm, action)

    def _exchange(self, sender: SimulatedVm, action: SendHeartbeat) -> None:
        receiver = next(vm for vm in self.vms if vm.identity.vm == action.peer.vm)
        event = HeartbeatReceived(action.heartbeat, answer_wanted=True)
        for answer in receiver.core.handle(event, self.now_ms):
            if isinstance(answer, AnswerHeartbeat):
                reply = HeartbeatReceived(answer.heartbeat, answer_wanted=False)
                self.schedule_at(
                    self.now_ms + NETWORK_DELAY_MS, partial(self._handle, sender, reply)
                )
            else:
                self._perform(receiver, answer)

    def _read(self, vm: SimulatedVm) -> None:
        if not self.service.is_down(self.now_ms):
            event = MovesRead(self.service.read(), UNIX_START_MS + self.now_ms)
            self.schedule_at(self.now_ms + NETWORK_DELAY_MS, lambda: self._handle(vm, event))

    def _write(self, vm: SimulatedVm, action: WriteMove) -> None:
        result, revision = self.service.write(action.record, action.expected_revision, self.now_ms)
        is_unanswered = result.value == "unknown"
        event = MoveWritten(action.record, result, revision)
        answered_ms = self.now_ms + (WRITE_TIMEOUT_MS if is_unanswered else NETWORK_DELAY_MS)
        self.schedule_at(answered_ms, lambda: self._handle(vm, event))
        stored_record = self.service.records[self.site.model].record
        self.highest_share = max(self.highest_share, stored_record.share)
        if stored_record.ended:
            # The move has ended: continue for a while, only to observe the remaining requests.
            ends_ms = max(self.now_ms, self.service.outage_to_ms) + TAIL_MS
            self.end_ms = min(self.end_ms, ends_ms)

    def _send_order(self, vm: SimulatedVm, action: SendOrder) -> None:
        sent_ms = self.now_ms
        ends_ms = self.engines.order_end_ms(action.kind, sent_ms)

        def end() -> None:
            self.engines.execute(action.upstream, action.kind, action.version)
            took_ms = self.now_ms - sent_ms
            self._handle(vm, OrderEnded(action.upstream, action.kind, True, took_ms))

        self.schedule_at(ends_ms, end)

    def _load(self) -> float:
        is_burst = self.burst_from_ms <= self.now_ms < self.burst_from_ms + _BURST_MS
        return _BURST_FACTOR if is_burst else 1.0

    def _arrive(self) -> None:
        load = self._load()
        gap_ms = self.random.expovariate(self.site.requests_per_s * load) * 1_000
        self.schedule_at(self.now_ms + max(1, round(gap_ms)), self._arrive)
        vm = self.random.choice(self.vms)
        route = self.random.choices(
            self.site.routes, [workload.request_share for workload in self.site.routes]
        )[0]
        request = self._dispatch(vm, route)
        is_new = request.version == "v2"
        self._count_request(vm, is_new)
        new_version_share = self.in_progress[True] / max(1, sum(self.in_progress.values()))
        affects = is_new and self.fault.affects(route.name, self.now_ms, new_version_share)
        outcome = draw_outcome(route, self.fault if affects else None, load, self.random)
        self.in_progress[is_new] += 1
        first_ms = self.now_ms + max(1, round(outcome.first_token_ms))
        self.schedule_at(first_ms, lambda: self._first_token(vm, request, outcome))

    def _dispatch(self, vm: SimulatedVm, route: RouteWorkload) -> Request:
        request_id = f"r{next(self._request_number)}"
        request = Request(
            request_id,
            "organisation",
            route.name,
            0,
            self.site.model,
            UpstreamKind.MODEL_ENGINE,
            self.now_ms,
            self.now_ms + 3_600_000,
            upstream="engine",
        )
        requests = vm.core.board.table(RequestTable)
        requests.put(request_id, request)
        self._handle(vm, Placed(request_id))
        placed_request = requests.remove(request_id)
        assert placed_request is not None
        return placed_request

    def _count_request(self, vm: SimulatedVm, is_new: bool) -> None:
        result = self.result
        result.requests += 1
        result.new_requests += is_new
        if not result.taken_back_s and self.now_ms <= DEADLINE_MS:
            result.requests_in_move += 1
            result.new_requests_in_move += is_new
        if not is_new:
            return
        shown_ms = result.shown_s * 1_000
        result.new_requests_late += bool(shown_ms and self.now_ms > shown_ms + GRACE_MS)
        moves = vm.core.board.table(MoveTable)
        move = moves.get(self.site.model)
        assert move is not None
        result.over_share += moves.share(move.record) > self.highest_share

    def _first_token(self, vm: SimulatedVm, request: Request, outcome: Outcome) -> None:
        if outcome.failed:
            self._end(vm, request, outcome)
            return
        self._handle(vm, AnswerProgressed(request.request_id, 1))
        remaining_ms = outcome.per_token_ms * outcome.output_tokens
        self.schedule_at(self.now_ms + round(remaining_ms), lambda: self._end(vm, request, outcome))

    def _end(self, vm: SimulatedVm, request: Request, outcome: Outcome) -> None:
        self.in_progress[request.version == "v2"] -= 1
        tracked = vm.core.board.table(TrackedRequestTable).get(request.request_id)
        if tracked is not None:
            took_ms = self.now_ms - tracked.dispatched_at_ms
            per_token_ms = took_ms / outcome.output_tokens
            first_ms = tracked.first_token_ms
            epoch = self.now_ms // EPOCH_MS
            key = EvidenceKey(epoch, tracked.stage, tracked.route, tracked.is_new)
            self._judge_centrally(key, outcome.failed, first_ms, per_token_ms)
        if outcome.failed:
            failure_event = RequestFailed(
                request.request_id, ErrorKind.UPSTREAM_FAILED, RunState.UNKNOWN
            )
            self._handle(vm, failure_event)
        else:
            answer_event = RequestAnswered(request.request_id, output_tokens=outcome.output_tokens)
            self._handle(vm, answer_event)
        self._handle(vm, RequestEnded(request))

    def _judge_centrally(
        self, key: EvidenceKey, failed: bool, first_ms: float | None, per_token_ms: float
    ) -> None:
        """Add a sample to the evidence of one judge, which sees all samples without delay."""
        record = self.service.records[self.site.model].record
        self.judge = self.judge or Judge(record)
        if failed:
            defects = [0] * len(Defect)
            defects[Defect.FAILED] = 1
            defect_counts = tuple(defects)
        else:
            defect_counts = defects_of(record, key.route, first_ms, per_token_ms)
        if key.epoch - OPEN_EPOCHS > self.ledger.open_from:
            self.judge.close_before(key.epoch - OPEN_EPOCHS, self.ledger)
            self.ledger.close_before(key.epoch - OPEN_EPOCHS)
        updates_before = self.ledger.defect_updates
        self.ledger.add(EvidenceSource("all", ""), key, Counts(1, 0, defect_counts))
        if self.result.shown_s or self.ledger.defect_updates == updates_before:
            return
        if self.judge.verdict(self.ledger).condemned:
            self.result.shown_s = self.now_ms / 1_000

    def _count_frozen(self) -> None:
        for vm in self.vms:
            moves = vm.core.board.table(MoveTable)
            move = moves.get(self.site.model)
            if move is not None:
                state, _ = moves.state_to_report(move, self.now_ms)
                self.result.frozen_vms += state is MoveState.FROZEN

    def _finish(self) -> MoveResult:
        record = self.service.records[self.site.model].record
        result = self.result
        result.state = record.state.value
        result.reason = record.reason.value
        result.detail = record.detail
        for written_at_ms, written_record in self.service.history:
            if written_record.state is MoveState.TAKEN_BACK and not result.taken_back_s:
                result.taken_back_s = written_at_ms / 1_000
        if record.moved_unix_ms:
            result.moved_s = (record.moved_unix_ms - UNIX_START_MS) / 1_000
            result.moved_in_time = record.moved_unix_ms <= record.deadline_unix_ms
        return result


__all__ = ["Fault", "MoveSimulation", "MoveResult"]
