"""Discrete-event simulation of one run: cores and engines in simulated time."""

import heapq
import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import replace

from azureturn.core import (
    AnswerOffer,
    AnswerProgressed,
    CallerDisconnected,
    CancelAtUpstream,
    Configuration,
    Core,
    Dispatch,
    LoadReport,
    LoadReported,
    OfferToPeers,
    PeerOfferDecided,
    PeerPrefixSent,
    PeerQueueReported,
    PeerWorkReported,
    PrefixTable,
    QueueTable,
    RequestAnswered,
    RequestArrived,
    RequestFailed,
    RequestOffered,
    RequestStage,
    Started,
    UpstreamTable,
)
from azureturn.errors import ErrorKind, RunState
from azureturn.framework import Action, AwaitPlacement, Event, Refuse, Tick
from benchmarks.policy._outcomes import Outcome, RunMeasures, TokenIntervals
from benchmarks.policy._policies import ComparedPolicy
from benchmarks.policy._scenarios import Scenario
from benchmarks.policy._settings import vm_settings, zone_of
from benchmarks.policy._workload import TARGET, Arrival, SiteLoad, Workload
from standins.engine_simulator import Admission, DecodedToken, EngineSimulator, EngineSpeed

TICK_MS = 50
REPORT_INTERVAL_MS = 500
HEARTBEAT_INTERVAL_MS = 500
#: Minimum interval between two progress events of a stream.
PROGRESS_INTERVAL_MS = 250
CONNECT_TIMEOUT_MS = 1_000
_NETWORK_DELAY_MS = 0.5
_TIERS = 3
#: Maximum number of prefixes in one heartbeat.
_PREFIXES_PER_HEARTBEAT = 16

_Callback = Callable[[], None]


def engine_speeds(site: SiteLoad, scenario: Scenario) -> list[EngineSpeed]:
    """Return the speed of each engine at the start of a run."""
    base_speed = EngineSpeed()
    speeds = []
    for number in range(site.engines):
        factor = scenario.speed_factors[number % len(scenario.speed_factors)]
        speeds.append(
            replace(
                base_speed,
                prefill_tokens_per_s=base_speed.prefill_tokens_per_s * factor,
                step_base_ms=base_speed.step_base_ms / factor,
                step_per_sequence_ms=base_speed.step_per_sequence_ms / factor,
            )
        )
    return speeds


class Simulation:
    """Simulates one run of a policy on a site in a scenario."""

    def __init__(self, site: SiteLoad, scenario: Scenario, policy: ComparedPolicy, *, seed: int):
        self._site = site
        self._scenario = scenario
        self._now_ms = 0.0
        self._scheduled: list[tuple[float, int, _Callback]] = []
        self._sequence = itertools.count()
        speeds = engine_speeds(site, scenario)
        self._engines = [EngineSimulator(speed) for speed in speeds]
        self._failed_engines: set[int] = set()
        self._planned_step_ends_ms: list[float | None] = [None] * site.engines
        self._reports: list[deque[LoadReport]] = [deque() for _ in speeds]
        self._arrivals = Workload(site, scenario, speeds, seed).arrivals()
        self._outcomes = {
            arrival.request.request_id: Outcome(arrival, arrival.vm) for arrival in self._arrivals
        }
        self._intervals = TokenIntervals()
        self._progress_sent_at_ms: dict[str, float] = {}
        self._ends_at_ms = max(arrival.request.deadline_ms for arrival in self._arrivals) + 1_000
        self._in_progress = 0
        hardware = [f"factor-{speed.step_base_ms}" for speed in speeds]
        self._cores = []
        for vm in range(site.vms):
            settings = vm_settings(site, policy.settings, vm=vm, hardware=hardware)
            core = Core.from_settings(settings, seed=seed * 1_000 + vm)
            core.handle(Started(Configuration(0, settings.shared)), 0)
            self._cores.append(core)

    def run(self) -> dict[str, float]:
        """Run until no event is left and return the measures by name."""
        self._schedule_run()
        while self._scheduled:
            self._now_ms, _, callback = heapq.heappop(self._scheduled)
            callback()
        run_measures = RunMeasures(
            list(self._outcomes.values()),
            self._intervals,
            engines=self._site.engines,
            duration_ms=self._scenario.phases[-1].ends_at_ms,
        )
        return run_measures.as_dict()

    def _schedule(self, at_ms: float, callback: _Callback) -> None:
        heapq.heappush(self._scheduled, (at_ms, next(self._sequence), callback))

    def _schedule_run(self) -> None:
        for arrival in self._arrivals:
            self._schedule(arrival.at_ms, lambda arrival=arrival: self._arrive(arrival))  # type: ignore[misc]
        self._schedule(TICK_MS, self._tick)
        self._schedule(REPORT_INTERVAL_MS, self._report_loads)
        self._schedule(HEARTBEAT_INTERVAL_MS + 17, self._heartbeat)
        if self._scenario.straggler_at_ms:
            self._schedule(self._scenario.straggler_at_ms, self._slow_engine)
        if self._scenario.engines_failed_at_ms:
            self._schedule(self._scenario.engines_failed_at_ms, self._fail_half_of_engines)

    def _reschedule(self, interval_ms: int, callback: _Callback) -> None:
        last_arrival_ms = self._scenario.phases[-1].ends_at_ms
        if self._now_ms < last_arrival_ms or self._in_progress:
            self._schedule(self._now_ms + interval_ms, callback)

    # Events for the cores and their actions.

    def _arrive(self, arrival: Arrival) -> None:
        self._in_progress += 1
        self._schedule(arrival.request.deadline_ms, lambda: self._expire(arrival))
        self._send_event(arrival.vm, RequestArrived(arrival.request))

    def _expire(self, arrival: Arrival) -> None:
        outcome = self._outcomes[arrival.request.request_id]
        if not outcome.finished_at_ms and not outcome.refusal_reason:
            self._end(outcome, "deadline")
            if outcome.upstream >= 0:
                self._cancel(outcome)
            self._send_event(outcome.vm, CallerDisconnected(arrival.request.request_id))

    def _send_event(self, vm: int, event: Event) -> None:
        for action in self._cores[vm].handle(event, int(self._now_ms)):
            self._execute(vm, action)

    def _execute(self, vm: int, action: Action) -> None:
        if isinstance(action, Dispatch):
            self._dispatch(vm, action)
        elif isinstance(action, Refuse):
            outcome = self._outcomes[action.request_id]
            outcome.lower_tier_present = self._lower_tier_present(outcome)
            self._end(outcome, action.kind.value)
        elif isinstance(action, CancelAtUpstream):
            self._cancel(self._outcomes[action.request_id])
        elif isinstance(action, OfferToPeers):
            self._schedule(
                self._now_ms + 2 * _NETWORK_DELAY_MS, lambda: self._offer_request(vm, action)
            )

    def _dispatch(self, vm: int, action: Dispatch) -> None:
        outcome = self._outcomes[action.request_id]
        outcome.upstream = _index_of(action.upstream)
        outcome.dispatched_at_ms = self._now_ms
        if not self._reachable(vm, outcome.upstream):
            delay_ms = (
                CONNECT_TIMEOUT_MS
                if outcome.upstream not in self._failed_engines
                else _NETWORK_DELAY_MS
            )
            self._schedule(self._now_ms + delay_ms, lambda: self._handle_unreachable(vm, outcome))
            return
        self._schedule(self._now_ms + _NETWORK_DELAY_MS, lambda: self._submit(outcome))

    def _handle_unreachable(self, vm: int, outcome: Outcome) -> None:
        """Report the failure to the core, which may place the unsent request again."""
        if outcome.refusal_reason:
            return
        request_id = outcome.arrival.request.request_id
        kind = ErrorKind.UPSTREAM_UNREACHABLE
        outcome.upstream = -1
        event = RequestFailed(request_id, kind, RunState.NOT_RUN)
        actions = self._cores[vm].handle(event, int(self._now_ms))
        if not any(isinstance(action, AwaitPlacement) for action in actions):
            self._end(outcome, kind.value)
        for action in actions:
            self._execute(vm, action)

    def _fail(
        self, vm: int, outcome: Outcome, kind: ErrorKind, run_state: RunState, request_id: str
    ) -> None:
        if outcome.refusal_reason:
            return
        outcome.lower_tier_present = False
        self._end(outcome, kind.value)
        self._send_event(vm, RequestFailed(request_id, kind, run_state))

    def _end(self, outcome: Outcome, refusal_reason: str) -> None:
        if not outcome.refusal_reason and not outcome.finished_at_ms:
            outcome.refusal_reason = refusal_reason
            self._in_progress -= 1

    def _lower_tier_present(self, outcome: Outcome) -> bool:
        """Return whether lower-tier work is queued at any VM of the outcome's zone."""
        request = outcome.arrival.request
        zone = zone_of(outcome.vm, self._site.zones)
        for vm, core in enumerate(self._cores):
            if zone_of(vm, self._site.zones) != zone:
                continue
            queue = core.board.table(QueueTable).of(TARGET)
            if queue.has_below(request.tier_rank):
                return True
        return False

    def _offer_request(self, vm: int, action: OfferToPeers) -> None:
        """Offer a request to the peers in order, and notify the VM which peer accepts it."""
        if self._outcomes[action.request_id].refusal_reason:
            return
        accepting_peer = ""
        for peer in action.vms:
            offer = RequestOffered(action.request, f"vm-{vm}")
            answers = self._cores[_index_of(peer)].handle(offer, int(self._now_ms))
            if any(isinstance(answer, AnswerOffer) and answer.accepted for answer in answers):
                accepting_peer = peer
                break
        self._send_event(vm, PeerOfferDecided(action.request_id, accepting_peer))
        if accepting_peer:
            self._outcomes[action.request_id].vm = _index_of(accepting_peer)
            request = replace(action.request, stage=RequestStage.QUEUED)
            self._send_event(_index_of(accepting_peer), RequestArrived(request))

    # Engines.

    def _reachable(self, vm: int, engine: int) -> bool:
        if engine in self._failed_engines:
            return False
        is_cut = self._scenario.zone_cut_at_ms <= self._now_ms < self._scenario.zone_restored_at_ms
        if not self._scenario.zone_cut_at_ms or not is_cut:
            return True
        zones = self._site.zones
        return (zone_of(vm, zones) == "zone-0") == (zone_of(engine, zones) == "zone-0")

    def _submit(self, outcome: Outcome) -> None:
        engine = outcome.upstream
        if outcome.refusal_reason or engine in self._failed_engines:
            return
        job = outcome.arrival.job
        outcome.max_cached_tokens = max(
            simulator.cached_prefix_tokens(job)
            for number, simulator in enumerate(self._engines)
            if number not in self._failed_engines
        )
        self._engines[engine].submit(job, self._now_ms)
        self._schedule_step(engine)

    def _schedule_step(self, engine: int) -> None:
        """Record admissions to the batch, and schedule the end of the engine's current step."""
        simulator = self._engines[engine]
        while simulator.admissions:
            self._record_admission(simulator.admissions.popleft())
        ends_ms = simulator.step_ends_ms
        if ends_ms is not None and ends_ms != self._planned_step_ends_ms[engine]:
            self._planned_step_ends_ms[engine] = ends_ms
            self._schedule(ends_ms, lambda: self._step(engine))

    def _record_admission(self, admission: Admission) -> None:
        outcome = self._outcomes[admission.job.request_id]
        outcome.cached_tokens = admission.cached_tokens
        outcome.computed_tokens = max(1, admission.job.prompt_tokens - admission.cached_tokens)

    def _step(self, engine: int) -> None:
        if engine in self._failed_engines:
            return
        for decoded_token in self._engines[engine].advance(self._now_ms):
            self._record_token(decoded_token)
        self._schedule_step(engine)

    def _record_token(self, decoded_token: DecodedToken) -> None:
        outcome = self._outcomes[decoded_token.request_id]
        now_ms = self._now_ms
        if decoded_token.token == 1:
            outcome.first_token_at_ms = now_ms
        else:
            self._intervals.add(now_ms - outcome.last_token_at_ms)
        outcome.last_token_at_ms = now_ms
        if decoded_token.finished:
            self._finish(outcome, decoded_token.token)
        elif outcome.arrival.streamed:
            last_sent_ms = self._progress_sent_at_ms.get(decoded_token.request_id, 0.0)
            if now_ms - last_sent_ms >= PROGRESS_INTERVAL_MS or decoded_token.token == 1:
                self._progress_sent_at_ms[decoded_token.request_id] = now_ms
                event = AnswerProgressed(decoded_token.request_id, decoded_token.token)
                self._send_event(outcome.vm, event)

    def _finish(self, outcome: Outcome, output_tokens: int) -> None:
        request = outcome.arrival.request
        if outcome.refusal_reason or not self._reachable(outcome.vm, outcome.upstream):
            return
        outcome.finished_at_ms = self._now_ms
        self._in_progress -= 1
        first_ms = int(outcome.first_token_at_ms - outcome.dispatched_at_ms)
        event = RequestAnswered(
            request.request_id,
            prompt_tokens=request.prompt_tokens,
            cached_tokens=outcome.cached_tokens,
            output_tokens=output_tokens,
            first_token_ms=first_ms if outcome.arrival.streamed else 0,
        )
        self._send_event(outcome.vm, event)

    def _cancel(self, outcome: Outcome) -> None:
        simulator = self._engines[outcome.upstream]
        request_id = outcome.arrival.request.request_id
        outcome.computed_tokens -= simulator.prefill_left(request_id)
        simulator.cancel(request_id)
        self._schedule_step(outcome.upstream)

    # Periodic tasks and faults.

    def _tick(self) -> None:
        for vm in range(self._site.vms):
            self._send_event(vm, Tick())
        self._reschedule(TICK_MS, self._tick)

    def _report_loads(self) -> None:
        now_ms = int(self._now_ms)
        for number, simulator in enumerate(self._engines):
            if number in self._failed_engines:
                continue
            reports = self._reports[number]
            reports.append(
                LoadReport(now_ms, simulator.running, simulator.waiting, simulator.queued_tokens)
            )
            while (
                len(reports) > 1 and reports[1].taken_at_ms <= now_ms - self._scenario.report_lag_ms
            ):
                reports.popleft()
            if reports[0].taken_at_ms > now_ms - self._scenario.report_lag_ms:
                continue
            for vm in range(self._site.vms):
                if self._reachable(vm, number):
                    self._send_event(vm, LoadReported(f"engine-{number}", reports[0]))
        self._reschedule(REPORT_INTERVAL_MS, self._report_loads)

    def _heartbeat(self) -> None:
        for sender, core in enumerate(self._cores):
            zone = zone_of(sender, self._site.zones)
            queue = core.board.table(QueueTable).of(TARGET)
            lengths = tuple(queue.length_of(rank) for rank in range(_TIERS))
            queue_report = PeerQueueReported(f"vm-{sender}", TARGET, int(self._now_ms), lengths)
            for vm in range(self._site.vms):
                if vm != sender and zone == zone_of(vm, self._site.zones):
                    self._send_event(vm, queue_report)
            self._share_prefixes(sender, zone)
            for name, upstream in list(core.board.table(UpstreamTable).items()):
                work_report = PeerWorkReported(
                    vm=f"vm-{sender}",
                    upstream=name,
                    taken_at_ms=int(self._now_ms),
                    outstanding_requests=upstream.outstanding_requests,
                    outstanding_tokens=upstream.outstanding_tokens,
                )
                for vm in range(self._site.vms):
                    if vm != sender and self._connected(zone, zone_of(vm, self._site.zones)):
                        self._send_event(vm, work_report)
        self._reschedule(HEARTBEAT_INTERVAL_MS, self._heartbeat)

    def _share_prefixes(self, sender: int, zone: str) -> None:
        prefixes = self._cores[sender].board.table(PrefixTable)
        for prefix in prefixes.take_unpublished(_PREFIXES_PER_HEARTBEAT):
            event = PeerPrefixSent(f"vm-{sender}", prefix.upstream, prefix.digests)
            for vm in range(self._site.vms):
                if vm != sender and self._connected(zone, zone_of(vm, self._site.zones)):
                    self._send_event(vm, event)

    def _connected(self, zone: str, other_zone: str) -> bool:
        is_cut = self._scenario.zone_cut_at_ms <= self._now_ms < self._scenario.zone_restored_at_ms
        if not self._scenario.zone_cut_at_ms or not is_cut:
            return True
        return (zone == "zone-0") == (other_zone == "zone-0")

    def _slow_engine(self) -> None:
        self._engines[0].set_slow_down(self._scenario.straggler_slow_down)

    def _fail_half_of_engines(self) -> None:
        self._failed_engines = set(range(0, self._site.engines, 2))
        for outcome in self._outcomes.values():
            is_running = outcome.upstream in self._failed_engines and not outcome.finished_at_ms
            if is_running and not outcome.refusal_reason:
                request_id = outcome.arrival.request.request_id
                vm = outcome.vm
                self._fail(vm, outcome, ErrorKind.ANSWER_TRUNCATED, RunState.UNKNOWN, request_id)


def _index_of(name: str) -> int:
    return int(name.rpartition("-")[2])
