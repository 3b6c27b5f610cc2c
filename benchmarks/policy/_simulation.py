"""One run: cores and engines joined by an event loop in simulated time."""

import heapq
import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import replace

from azureturn.core import (
    AnswerOffer,
    AnswerProgressed,
    AskPeersToTake,
    CallerLeft,
    CancelAtUpstream,
    Configuration,
    Core,
    Dispatch,
    LoadReport,
    LoadReported,
    PeerPrefixSent,
    PeerQueueReported,
    PeersDecided,
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
from benchmarks.policy._outcomes import Figures, Intervals, Outcome
from benchmarks.policy._policies import Contender
from benchmarks.policy._scenarios import Scenario
from benchmarks.policy._settings import vm_settings, zone_of
from benchmarks.policy._workload import TARGET, Arrival, SiteLoad, Workload
from standins.engine_model import Admission, EngineModel, EngineSpeed, Progress

TICK_MS = 50
REPORT_INTERVAL_MS = 500
HEARTBEAT_INTERVAL_MS = 500
#: A stream tells the core how far it is no more often than this.
PROGRESS_INTERVAL_MS = 250
CONNECT_TIMEOUT_MS = 1_000
_WIRE_MS = 0.5
_TIERS = 3
#: Prefixes that one heartbeat tells of.
_PREFIXES_TOLD = 16

_Work = Callable[[], None]


def engine_speeds(site: SiteLoad, scenario: Scenario) -> list[EngineSpeed]:
    """Return each engine's speed at the start of a run."""
    usual = EngineSpeed()
    speeds = []
    for number in range(site.engines):
        factor = scenario.speed_factors[number % len(scenario.speed_factors)]
        speeds.append(
            replace(
                usual,
                prefill_tokens_per_s=usual.prefill_tokens_per_s * factor,
                step_base_ms=usual.step_base_ms / factor,
                step_per_sequence_ms=usual.step_per_sequence_ms / factor,
            )
        )
    return speeds


class Simulation:
    """The state of one run."""

    def __init__(self, site: SiteLoad, scenario: Scenario, contender: Contender, *, seed: int):
        self._site = site
        self._scenario = scenario
        self._now_ms = 0.0
        self._heap: list[tuple[float, int, _Work]] = []
        self._order = itertools.count()
        speeds = engine_speeds(site, scenario)
        self._engines = [EngineModel(speed) for speed in speeds]
        self._dead: set[int] = set()
        self._planned: list[float | None] = [None] * site.engines
        self._reports: list[deque[LoadReport]] = [deque() for _ in speeds]
        self._arrivals = Workload(site, scenario, speeds, seed).arrivals()
        self._outcomes = {one.request.request_id: Outcome(one, one.vm) for one in self._arrivals}
        self._intervals = Intervals()
        self._told_at_ms: dict[str, float] = {}
        self._ends_at_ms = max(one.request.deadline_ms for one in self._arrivals) + 1_000
        self._in_progress = 0
        hardware = [f"factor-{speed.step_base_ms}" for speed in speeds]
        self._cores = []
        for vm in range(site.vms):
            settings = vm_settings(site, contender.settings, vm=vm, hardware=hardware)
            core = Core.from_settings(settings, seed=seed * 1_000 + vm)
            core.handle(Started(Configuration(0, settings.shared)), 0)
            self._cores.append(core)

    def run(self) -> dict[str, float]:
        """Run until nothing is left to do and return the measures."""
        self._plan_run()
        while self._heap:
            self._now_ms, _, work = heapq.heappop(self._heap)
            work()
        figures = Figures(
            list(self._outcomes.values()),
            self._intervals,
            engines=self._site.engines,
            duration_ms=self._scenario.phases[-1].ends_at_ms,
        )
        return figures.as_row()

    def _at(self, at_ms: float, work: _Work) -> None:
        heapq.heappush(self._heap, (at_ms, next(self._order), work))

    def _plan_run(self) -> None:
        for arrival in self._arrivals:
            self._at(arrival.at_ms, lambda arrival=arrival: self._arrive(arrival))  # type: ignore[misc]
        self._at(TICK_MS, self._tick)
        self._at(REPORT_INTERVAL_MS, self._report_loads)
        self._at(HEARTBEAT_INTERVAL_MS + 17, self._heartbeat)
        if self._scenario.straggler_at_ms:
            self._at(self._scenario.straggler_at_ms, self._slow_one)
        if self._scenario.engines_lost_at_ms:
            self._at(self._scenario.engines_lost_at_ms, self._lose_half)

    def _again(self, interval_ms: int, work: _Work) -> None:
        last_arrival_ms = self._scenario.phases[-1].ends_at_ms
        if self._now_ms < last_arrival_ms or self._in_progress:
            self._at(self._now_ms + interval_ms, work)

    # Events to the cores and actions from them.

    def _arrive(self, arrival: Arrival) -> None:
        self._in_progress += 1
        self._at(arrival.request.deadline_ms, lambda: self._expire(arrival))
        self._tell(arrival.vm, RequestArrived(arrival.request))

    def _expire(self, arrival: Arrival) -> None:
        outcome = self._outcomes[arrival.request.request_id]
        if not outcome.finished_at_ms and not outcome.refused:
            self._end(outcome, "deadline")
            if outcome.upstream >= 0:
                self._cancel(outcome)
            self._tell(outcome.vm, CallerLeft(arrival.request.request_id))

    def _tell(self, vm: int, event: Event) -> None:
        for action in self._cores[vm].handle(event, int(self._now_ms)):
            self._carry_out(vm, action)

    def _carry_out(self, vm: int, action: Action) -> None:
        if isinstance(action, Dispatch):
            self._dispatch(vm, action)
        elif isinstance(action, Refuse):
            outcome = self._outcomes[action.request_id]
            outcome.lower_tier_present = self._lower_tier_present(outcome)
            self._end(outcome, action.kind.value)
        elif isinstance(action, CancelAtUpstream):
            self._cancel(self._outcomes[action.request_id])
        elif isinstance(action, AskPeersToTake):
            self._at(self._now_ms + 2 * _WIRE_MS, lambda: self._ask_peers(vm, action))

    def _dispatch(self, vm: int, action: Dispatch) -> None:
        outcome = self._outcomes[action.request_id]
        outcome.upstream = _number(action.upstream)
        outcome.dispatched_at_ms = self._now_ms
        if not self._reachable(vm, outcome.upstream):
            delay_ms = CONNECT_TIMEOUT_MS if outcome.upstream not in self._dead else _WIRE_MS
            self._at(self._now_ms + delay_ms, lambda: self._unreachable(vm, outcome))
            return
        self._at(self._now_ms + _WIRE_MS, lambda: self._submit(outcome))

    def _unreachable(self, vm: int, outcome: Outcome) -> None:
        """Tell the core, which may place the request again since nothing was sent."""
        if outcome.refused:
            return
        request_id = outcome.arrival.request.request_id
        kind = ErrorKind.UPSTREAM_UNREACHABLE
        outcome.upstream = -1
        failed = RequestFailed(request_id, kind, RunState.NOT_RUN)
        actions = self._cores[vm].handle(failed, int(self._now_ms))
        if not any(isinstance(one, AwaitPlacement) for one in actions):
            self._end(outcome, kind.value)
        for action in actions:
            self._carry_out(vm, action)

    def _fail(
        self, vm: int, outcome: Outcome, kind: ErrorKind, run_state: RunState, request_id: str
    ) -> None:
        if outcome.refused:
            return
        outcome.lower_tier_present = False
        self._end(outcome, kind.value)
        self._tell(vm, RequestFailed(request_id, kind, run_state))

    def _end(self, outcome: Outcome, refused: str) -> None:
        if not outcome.refused and not outcome.finished_at_ms:
            outcome.refused = refused
            self._in_progress -= 1

    def _lower_tier_present(self, outcome: Outcome) -> bool:
        """Return whether lower-tier work is queued in any VM that shares the zone."""
        request = outcome.arrival.request
        zone = zone_of(outcome.vm, self._site.zones)
        for vm, core in enumerate(self._cores):
            if zone_of(vm, self._site.zones) != zone:
                continue
            queue = core.board.table(QueueTable).of(TARGET)
            if queue.has_below(request.tier_rank):
                return True
        return False

    def _ask_peers(self, vm: int, action: AskPeersToTake) -> None:
        """Ask the peers in turn, and tell the VM which of them takes the request."""
        if self._outcomes[action.request_id].refused:
            return
        taker = ""
        for peer in action.vms:
            offer = RequestOffered(action.request, f"vm-{vm}")
            answers = self._cores[_number(peer)].handle(offer, int(self._now_ms))
            if any(isinstance(one, AnswerOffer) and one.accepted for one in answers):
                taker = peer
                break
        self._tell(vm, PeersDecided(action.request_id, taker))
        if taker:
            self._outcomes[action.request_id].vm = _number(taker)
            request = replace(action.request, stage=RequestStage.QUEUED)
            self._tell(_number(taker), RequestArrived(request))

    # Engines.

    def _reachable(self, vm: int, engine: int) -> bool:
        if engine in self._dead:
            return False
        cut = self._scenario.zone_cut_at_ms <= self._now_ms < self._scenario.zone_mended_at_ms
        if not self._scenario.zone_cut_at_ms or not cut:
            return True
        zones = self._site.zones
        return (zone_of(vm, zones) == "zone-0") == (zone_of(engine, zones) == "zone-0")

    def _submit(self, outcome: Outcome) -> None:
        engine = outcome.upstream
        if outcome.refused or engine in self._dead:
            return
        job = outcome.arrival.job
        outcome.held_elsewhere_tokens = max(
            one.held_tokens(job)
            for number, one in enumerate(self._engines)
            if number not in self._dead
        )
        self._engines[engine].submit(job, self._now_ms)
        self._follow(engine)

    def _follow(self, engine: int) -> None:
        """Take note of what entered the batch, and plan the end of the engine's step."""
        model = self._engines[engine]
        while model.admissions:
            self._admitted(model.admissions.popleft())
        ends_ms = model.step_ends_ms
        if ends_ms is not None and ends_ms != self._planned[engine]:
            self._planned[engine] = ends_ms
            self._at(ends_ms, lambda: self._step(engine))

    def _admitted(self, admission: Admission) -> None:
        outcome = self._outcomes[admission.job.request_id]
        outcome.cached_tokens = admission.cached_tokens
        outcome.computed_tokens = max(1, admission.job.prompt_tokens - admission.cached_tokens)

    def _step(self, engine: int) -> None:
        if engine in self._dead:
            return
        for progress in self._engines[engine].advance(self._now_ms):
            self._progress(progress)
        self._follow(engine)

    def _progress(self, progress: Progress) -> None:
        outcome = self._outcomes[progress.request_id]
        now_ms = self._now_ms
        if progress.token == 1:
            outcome.first_token_at_ms = now_ms
        else:
            self._intervals.add(now_ms - outcome.last_token_at_ms)
        outcome.last_token_at_ms = now_ms
        if progress.finished:
            self._finish(outcome, progress.token)
        elif outcome.arrival.streamed:
            told_ms = self._told_at_ms.get(progress.request_id, 0.0)
            if now_ms - told_ms >= PROGRESS_INTERVAL_MS or progress.token == 1:
                self._told_at_ms[progress.request_id] = now_ms
                event = AnswerProgressed(progress.request_id, progress.token)
                self._tell(outcome.vm, event)

    def _finish(self, outcome: Outcome, output_tokens: int) -> None:
        request = outcome.arrival.request
        if outcome.refused or not self._reachable(outcome.vm, outcome.upstream):
            return
        outcome.finished_at_ms = self._now_ms
        self._in_progress -= 1
        first_ms = int(outcome.first_token_at_ms - outcome.dispatched_at_ms)
        answered = RequestAnswered(
            request.request_id,
            prompt_tokens=request.prompt_tokens,
            cached_tokens=outcome.cached_tokens,
            output_tokens=output_tokens,
            first_token_ms=first_ms if outcome.arrival.streamed else 0,
        )
        self._tell(outcome.vm, answered)

    def _cancel(self, outcome: Outcome) -> None:
        model = self._engines[outcome.upstream]
        request_id = outcome.arrival.request.request_id
        outcome.computed_tokens -= model.prefill_left(request_id)
        model.cancel(request_id)
        self._follow(outcome.upstream)

    # What goes on beside the requests.

    def _tick(self) -> None:
        for vm in range(self._site.vms):
            self._tell(vm, Tick())
        self._again(TICK_MS, self._tick)

    def _report_loads(self) -> None:
        now_ms = int(self._now_ms)
        for number, model in enumerate(self._engines):
            if number in self._dead:
                continue
            reports = self._reports[number]
            reports.append(LoadReport(now_ms, model.running, model.waiting, model.queued_tokens))
            while (
                len(reports) > 1 and reports[1].taken_at_ms <= now_ms - self._scenario.report_lag_ms
            ):
                reports.popleft()
            if reports[0].taken_at_ms > now_ms - self._scenario.report_lag_ms:
                continue
            for vm in range(self._site.vms):
                if self._reachable(vm, number):
                    self._tell(vm, LoadReported(f"engine-{number}", reports[0]))
        self._again(REPORT_INTERVAL_MS, self._report_loads)

    def _heartbeat(self) -> None:
        for sender, core in enumerate(self._cores):
            zone = zone_of(sender, self._site.zones)
            queue = core.board.table(QueueTable).of(TARGET)
            lengths = tuple(queue.length_of(rank) for rank in range(_TIERS))
            waiting = PeerQueueReported(f"vm-{sender}", TARGET, int(self._now_ms), lengths)
            for vm in range(self._site.vms):
                if vm != sender and zone == zone_of(vm, self._site.zones):
                    self._tell(vm, waiting)
            self._share_prefixes(sender, zone)
            for name, upstream in list(core.board.table(UpstreamTable).items()):
                work = PeerWorkReported(
                    vm=f"vm-{sender}",
                    upstream=name,
                    taken_at_ms=int(self._now_ms),
                    outstanding_requests=upstream.outstanding_requests,
                    outstanding_tokens=upstream.outstanding_tokens,
                )
                for vm in range(self._site.vms):
                    if vm != sender and self._joined(zone, zone_of(vm, self._site.zones)):
                        self._tell(vm, work)
        self._again(HEARTBEAT_INTERVAL_MS, self._heartbeat)

    def _share_prefixes(self, sender: int, zone: str) -> None:
        prefixes = self._cores[sender].board.table(PrefixTable)
        for sent in prefixes.take_untold(_PREFIXES_TOLD):
            event = PeerPrefixSent(f"vm-{sender}", sent.upstream, sent.digests)
            for vm in range(self._site.vms):
                if vm != sender and self._joined(zone, zone_of(vm, self._site.zones)):
                    self._tell(vm, event)

    def _joined(self, one: str, other: str) -> bool:
        cut = self._scenario.zone_cut_at_ms <= self._now_ms < self._scenario.zone_mended_at_ms
        if not self._scenario.zone_cut_at_ms or not cut:
            return True
        return (one == "zone-0") == (other == "zone-0")

    def _slow_one(self) -> None:
        self._engines[0].set_slow_down(self._scenario.straggler_slow_down)

    def _lose_half(self) -> None:
        self._dead = set(range(0, self._site.engines, 2))
        for outcome in self._outcomes.values():
            running = outcome.upstream in self._dead and not outcome.finished_at_ms
            if running and not outcome.refused:
                request_id = outcome.arrival.request.request_id
                vm = outcome.vm
                self._fail(vm, outcome, ErrorKind.ANSWER_TRUNCATED, RunState.UNKNOWN, request_id)


def _number(name: str) -> int:
    return int(name.rpartition("-")[2])
