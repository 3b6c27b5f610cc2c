"""A simulated site for tests: several decision cores with their peers, a store and engines.

Messages take a few simulated milliseconds. Engines answer every request after a while, except that
a request with the crashing part or a crashing digest ends the engine that begins to answer it; a
new engine takes its place some seconds later. An engine may name a limit of requests in its
answers. The site may have upstreams of a plain service in place of engines; these send no head
before the whole answer.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass

from azureturn.framework import Action, AwaitPlacement, Event, Refuse, Tick
from azureturn.gateway.decisions import (
    AttemptEnded,
    AttemptResult,
    FetchView,
    FirstEventReceived,
    LogQuarantineChange,
    LogReachability,
    LogRetainedUpstreams,
    LogSilentUpstreams,
    LogUpstreamLimit,
    PeerReportReceived,
    ProbeConnection,
    RequestClosed,
    RequestReceived,
    ReturnLastResult,
    SendAttempt,
    SendReport,
    StoreLost,
    StoreReached,
    UpstreamConnectionFailed,
    UpstreamProcessEnded,
    UpstreamReconnected,
    UpstreamSilent,
    ViewChanged,
    WriteQuarantineRecord,
)
from azureturn.gateway.decisions.tests.gateway_core_harness import (
    STATUS_ROUTE,
    STREAM_ROUTE,
    GatewayCoreHarness,
    request,
    upstream,
    view,
)
from azureturn.gateway.decisions.tests.simulated_upstreams import (
    Arrival,
    Cut,
    Engine,
    EngineAttempt,
    EngineCrash,
)
from azureturn.gateway.site import Prompt, PromptPart, QuarantineRecord, SiteView

_TICK_MS = 50
_MESSAGE_MS = 5
#: Time from the arrival of a request at an engine to the head of its response.
_HEAD_MS = 60
#: Time from the head to the end of the engine, for a request that ends it.
_CRASH_MS = 70
#: Time from the arrival to the end of an upstream of a plain service, which has sent no head then.
_PLAIN_CRASH_MS = 60
_PLAIN_ANSWER_MS = (30, 60)
_FIRST_EVENT_MS = 20
_LAPSE_MS = 2_500
_RESTART_MS = 3_000
_PART_TOKENS = 100
_CONNECT_TIMEOUT_MS = 150
_STATUS_TIMEOUT_MS = 400
#: When a request on a connection that hangs is given up, unless its time is over before.
_SILENCE_TIMEOUT_MS = 1_600
_PLAIN_SILENCE_TIMEOUT_MS = 250
#: How long the store was out of reach of VMs that are reconnected to it.
_STORE_OUTAGE_MS = 5_000
#: Time in which sound requests are answered.
_ANSWERED_WITHIN_MS = 2_000


_UNREACHABLE = AttemptResult.UNREACHABLE
_LOG_ACTIONS = LogReachability | LogRetainedUpstreams | LogSilentUpstreams | LogUpstreamLimit


@dataclass(frozen=True)
class _SentRequest:
    parts: tuple[str, ...]
    digest: str


class SimulatedSite:
    """Runs the cores of several VMs against simulated engines, on one simulated clock."""

    def __init__(
        self,
        *,
        vm_count: int,
        engine_count: int,
        crashing_part: str = "",
        crashing_digests: tuple[str, ...] = (),
        is_plain: bool = False,
        answer_ms: tuple[int, int] = (100, 1_500),
        zones: tuple[str, ...] = ("a",),
        seed: int = 1,
    ) -> None:
        self._random = random.Random(seed)
        #: Availability zones, which the VMs are in by turns.
        self._zones = zones
        #: Shortest and longest time from the first event to the end of an answer.
        self._answer_ms = answer_ms
        self._crashing_part = crashing_part
        self._crashing_digests = crashing_digests
        #: Whether the upstreams are those of a plain service.
        self._is_plain = is_plain
        self._scheduled: list[tuple[int, int, Callable[[], None]]] = []
        self._schedule_count = 0
        self._engines = {f"e-{n}": Engine(f"e-{n}") for n in range(engine_count)}
        self._registered = dict.fromkeys(self._engines)
        self._revision = 10
        self._quarantine_record: QuarantineRecord | None = None
        self._requests: dict[str, _SentRequest] = {}
        #: VMs that exchange no reports with the others.
        self.vms_without_peers: set[int] = set()
        #: VMs that receive no changes of the store.
        self.vms_without_store: set[int] = set()
        #: VMs that are cut off from all upstreams.
        self._cut_vms: dict[int, Cut] = {}
        #: Rejections in a second above which upstreams fall over; None if they reject nothing.
        self._brittle_limit: int | None = None
        self.now_ms = 1_000
        #: Times at which callers sent requests, by request id.
        self.sent_at_ms: dict[str, int] = {}
        self.arrivals: list[Arrival] = []
        #: Time of the first answer of an engine to a VM that named a limit, by engine and VM.
        self.told_at_ms: dict[tuple[str, int], int] = {}
        self.quarantine_changes: list[LogQuarantineChange] = []
        self.crashes: list[EngineCrash] = []
        #: Attempts that were sent through a peer.
        self.relayed: list[SendAttempt] = []
        #: Attempts made for each answered request.
        self.answered: dict[str, int] = {}
        self.refused: dict[str, Refuse] = {}
        self.vms = [self._new_vm(number) for number in range(vm_count)]
        self._after(_TICK_MS, self._tick)

    def run_until(self, at_ms: int) -> None:
        """Advance the clock."""
        while self._scheduled and self._scheduled[0][0] <= at_ms:
            self.now_ms, _, callback = heapq.heappop(self._scheduled)
            callback()
        self.now_ms = at_ms

    def send(self, vm: int, request_id: str, *part_ids: str, digest: str = "") -> None:
        """Let a caller send a request whose prompt has these parts; a plain service gets none.

        Requests without a stated digest are all different.
        """
        digest = digest or f"digest of {request_id}"
        self._requests[request_id] = _SentRequest(part_ids, digest)
        self.sent_at_ms[request_id] = self.now_ms
        prompt = None
        if not self._is_plain:
            parts = tuple(PromptPart(part_id, _PART_TOKENS) for part_id in part_ids)
            prompt = Prompt("m", _PART_TOKENS * len(parts), 100, 50, parts)
        route = STATUS_ROUTE if self._is_plain else STREAM_ROUTE
        received = request(
            request_id, route, arrived_at_ms=self.now_ms, prompt=prompt, digest=digest
        )
        self._handle(vm, RequestReceived(received))

    def crash_engines(self, count: int) -> None:
        """End so many engines, chosen at random, from outside."""
        running = [engine for engine in self._engines.values() if engine.is_up]
        for engine in self._random.sample(running, min(count, len(running))):
            self._crash(engine)

    def cut_off(self, cut: Cut, *vms: int) -> None:
        """Cut VMs off from all upstreams."""
        self._cut_vms.update(dict.fromkeys(vms, cut))
        if cut is Cut.REFUSE_NEW:
            return
        for engine in self._engines.values():
            for attempt in [attempt for attempt in engine.attempts if attempt.vm in vms]:
                engine.attempts.remove(attempt)
                attempt.is_over = True
                hangs = cut in (Cut.HANG, Cut.SILENT)
                result = AttemptResult.SILENT if hangs else AttemptResult.BROKEN
                ended = AttemptEnded(attempt.request_id, result)
                delay_ms = _SILENCE_TIMEOUT_MS if hangs else _MESSAGE_MS
                self._after(delay_ms, self._handling(attempt.vm, ended))

    def reconnect(self) -> None:
        """Let all VMs reach the upstreams again."""
        self._cut_vms.clear()

    def cut_off_from_store(self, *vms: int) -> None:
        """Let VMs receive no changes of the store, until they are reconnected."""
        self.vms_without_store.update(vms)
        for number in vms:
            self._handle(number, StoreLost())

    def reconnect_to_store(self, *vms: int) -> None:
        """Let VMs that were cut off from the store read it again."""
        self.vms_without_store.difference_update(vms)
        for number in vms:
            self._handle(number, StoreReached(_STORE_OUTAGE_MS))
            self._handle(number, ViewChanged(self._view()))

    def unregister(self, engine_name: str) -> None:
        """Remove an engine's registration; it goes on serving."""
        del self._registered[engine_name]
        self._publish()

    def make_brittle(self, limit: int) -> None:
        """Let upstreams keep no request waiting, and fall over after more rejections a second."""
        self._brittle_limit = limit
        for engine in self._engines.values():
            engine.brittle_limit = limit

    def limit_engine(self, name: str, limit_per_s: float | None) -> None:
        """Let an engine name a limit in its answers from now on; None to name none."""
        self._engines[name].limit_per_s = limit_per_s

    def repair_engines(self) -> None:
        """Let engines answer all requests."""
        self._crashing_part = ""
        self._crashing_digests = ()

    def restart_vm(self, number: int) -> None:
        """Replace a VM's process by a new one that knows only what the store holds."""
        self.vms[number] = self._new_vm(number, is_first_start=False)

    def arrivals_with(self, part: str, *, after_ms: int) -> list[Arrival]:
        """Return the arrivals of requests with this part that came later than ``after_ms``."""
        return [row for row in self.arrivals if part in row.parts and row.at_ms > after_ms]

    def first_attempt_share(self, id_prefix: str, from_ms: int) -> float:
        """Return the share of requests since ``from_ms`` that their first attempt answered.

        Only requests whose ids begin with ``id_prefix`` count, and not the last ones, which may
        still be under way.
        """
        until_ms = self.now_ms - _ANSWERED_WITHIN_MS
        sent = [
            request_id
            for request_id, at_ms in self.sent_at_ms.items()
            if request_id.startswith(id_prefix) and from_ms <= at_ms < until_ms
        ]
        return sum(self.answered.get(request_id) == 1 for request_id in sent) / len(sent)

    def arrivals_of(self, digest: str) -> list[Arrival]:
        """Return the arrivals of requests with this digest."""
        return [row for row in self.arrivals if row.digest == digest]

    def _new_vm(self, number: int, *, is_first_start: bool = True) -> GatewayCoreHarness:
        vm = GatewayCoreHarness(
            self._view(),
            is_first_start=is_first_start,
            vm_name=f"vm-{number}",
            now_ms=self.now_ms,
            seed=self._random.getrandbits(32),
            availability_zone=self._zones[number % len(self._zones)],
        )
        vm.handle_event(StoreReached())
        return vm

    def _view(self) -> SiteView:
        service = "desk" if self._is_plain else "models"
        return view(
            *(upstream(name, service) for name in self._registered),
            revision=self._revision,
            quarantine=self._quarantine_record,
        )

    def _after(self, delay_ms: int, callback: Callable[[], None]) -> None:
        self._schedule_count += 1
        heapq.heappush(self._scheduled, (self.now_ms + delay_ms, self._schedule_count, callback))

    def _tick(self) -> None:
        for number in range(len(self.vms)):
            self._handle(number, Tick())
        self._after(_TICK_MS, self._tick)

    def _handle(self, number: int, event: object) -> None:
        vm = self.vms[number]
        for action in vm.handle_event(event, at_ms=self.now_ms):  # type: ignore[arg-type]
            self._carry_out(number, action)

    def _carry_out(self, number: int, action: Action) -> None:
        if isinstance(action, SendAttempt):
            self._send(number, action)
        elif isinstance(action, SendReport):
            self._after(_MESSAGE_MS, lambda: self._deliver(number, action))
        elif isinstance(action, ProbeConnection):
            self._after(_MESSAGE_MS, lambda: self._probe(number, action))
        elif isinstance(action, WriteQuarantineRecord):
            self._after(_MESSAGE_MS, lambda: self._write_quarantine(number, action.record))
        elif isinstance(action, LogQuarantineChange):
            self.quarantine_changes.append(action)
        elif isinstance(action, Refuse):
            self.refused[action.request_id] = action
            self._close(number, action.request_id)
        elif isinstance(action, ReturnLastResult):
            self._close(number, action.request_id)
        else:
            # Log lines are not kept, and a view that a peer is asked for does not arrive.
            assert isinstance(action, AwaitPlacement | FetchView | _LOG_ACTIONS), action

    def _send(self, number: int, action: SendAttempt) -> None:
        sender = number if action.relay is None else self._number_of(action.relay.vm)
        if action.relay is not None:
            self.relayed.append(action)
        if self._cut_vms.get(sender) is Cut.SILENT:
            self._after(
                _MESSAGE_MS,
                lambda: self._arrive(
                    number, action.upstream.name, action.request_id, answers=False
                ),
            )
            return
        if sender in self._cut_vms:
            delay_ms = _CONNECT_TIMEOUT_MS if self._cut_vms[sender] is Cut.HANG else _MESSAGE_MS
            unreachable = AttemptEnded(action.request_id, _UNREACHABLE)
            self._after(delay_ms, self._handling(number, unreachable))
            if sender != number:
                failed = UpstreamConnectionFailed(action.upstream.run)
                self._after(delay_ms, self._handling(sender, failed))
            return
        self._after(
            _MESSAGE_MS,
            lambda: self._arrive(number, action.upstream.name, action.request_id),
        )

    def _number_of(self, vm_name: str) -> int:
        return int(vm_name.removeprefix("vm-"))

    def _handling(self, number: int, event: Event) -> Callable[[], None]:
        return lambda: self._handle(number, event)

    def _write_quarantine(self, number: int, record: QuarantineRecord) -> None:
        if number not in self.vms_without_store:
            self._quarantine_record = record
            self._publish()

    def _close(self, number: int, request_id: str) -> None:
        self._after(0, lambda: self._handle(number, RequestClosed(request_id)))

    def _deliver(self, sender: int, action: SendReport) -> None:
        for number in range(len(self.vms)):
            if number != sender and not self.vms_without_peers & {number, sender}:
                self._handle(number, PeerReportReceived(action.report))

    def _probe(self, number: int, action: ProbeConnection) -> None:
        if action.relay is not None:
            cut = self._cut_vms.get(self._number_of(action.relay.vm))
        else:
            cut = self._cut_vms.get(number)
        if cut is Cut.HANG:
            self._handle(number, UpstreamConnectionFailed(action.upstream.run))
            return
        if cut in (Cut.RESET, Cut.REFUSE_NEW):
            self._handle(number, UpstreamProcessEnded(action.upstream.run))
            return
        if cut is Cut.SILENT and action.status_path:
            silent = UpstreamSilent(action.upstream.run)
            self._after(_STATUS_TIMEOUT_MS, self._handling(number, silent))
            return
        if self._engines[action.upstream.name].is_up:
            if action.relay is None:
                reconnected = UpstreamReconnected(
                    action.upstream.name, has_responded=bool(action.status_path)
                )
                self._handle(number, reconnected)
        else:
            self._handle(number, UpstreamProcessEnded(action.upstream.run))

    def _arrive(
        self, number: int, engine_name: str, request_id: str, *, answers: bool = True
    ) -> None:
        """Let a request arrive; with ``answers``, the response reaches the VM."""
        engine = self._engines[engine_name]
        if not engine.is_up:
            self._handle(number, AttemptEnded(request_id, _UNREACHABLE))
            return
        if engine.rejects():
            rejected = AttemptEnded(
                request_id, AttemptResult.REJECTED, answering_ms=0, limits=engine.stated_limits
            )
            self._handle(number, rejected)
            if engine.falls_after_rejection(self.now_ms):
                self._crash(engine)
            return
        sent = self._requests[request_id]
        self.arrivals.append(
            Arrival(self.now_ms, number, engine_name, request_id, sent.parts, sent.digest)
        )
        head_ms = _PLAIN_ANSWER_MS[1] if self._is_plain else _HEAD_MS
        attempt = EngineAttempt(number, request_id, sent.parts, self.now_ms + head_ms)
        engine.attempts.append(attempt)
        if not answers:
            timeout_ms = _PLAIN_SILENCE_TIMEOUT_MS if self._is_plain else _SILENCE_TIMEOUT_MS
            self._after(timeout_ms, lambda: self._give_up(engine, attempt))
            return
        if self._crashing_part in sent.parts or sent.digest in self._crashing_digests:
            crash_ms = _PLAIN_CRASH_MS if self._is_plain else _HEAD_MS + _CRASH_MS
            self._after(crash_ms, lambda: self._crash(engine))
            return
        if self._is_plain:
            answer_ms = self._random.randint(*_PLAIN_ANSWER_MS)
            self._after(answer_ms, lambda: self._answer(engine, attempt))
            return
        first_event_ms = _HEAD_MS + _FIRST_EVENT_MS
        self._after(first_event_ms, lambda: self._first_event(engine, attempt))
        answer_ms = first_event_ms + self._random.randint(*self._answer_ms)
        self._after(answer_ms, lambda: self._answer(engine, attempt))

    def _give_up(self, engine: Engine, attempt: EngineAttempt) -> None:
        """End an attempt without a response; the upstream sees that its connection closes."""
        if attempt.is_over:
            return
        engine.attempts.remove(attempt)
        attempt.is_over = True
        self._handle(attempt.vm, AttemptEnded(attempt.request_id, AttemptResult.SILENT))

    def _first_event(self, engine: Engine, attempt: EngineAttempt) -> None:
        if attempt.is_over:
            return
        attempt.limits = engine.stated_limits
        if engine.limit_per_s is not None:
            self.told_at_ms.setdefault((engine.name, attempt.vm), self.now_ms)
        event = FirstEventReceived(attempt.request_id, attempt.limits)
        self._handle(attempt.vm, event)

    def _answer(self, engine: Engine, attempt: EngineAttempt) -> None:
        if attempt.is_over:
            return
        engine.attempts.remove(attempt)
        attempt.is_over = True
        attempts = sum(row.request_id == attempt.request_id for row in self.arrivals)
        is_stream = not self._is_plain
        attempt.limits = engine.stated_limits
        self.answered[attempt.request_id] = attempts
        answering_ms = self.now_ms - attempt.head_at_ms
        self._handle(
            attempt.vm,
            AttemptEnded(
                attempt.request_id,
                AttemptResult.ANSWERED,
                event_count=5 if is_stream else 0,
                streamed_ms=answering_ms if is_stream else 0,
                answering_ms=max(0, answering_ms),
                limits=attempt.limits,
            ),
        )
        self._close(attempt.vm, attempt.request_id)

    def _crash(self, engine: Engine) -> None:
        if not engine.is_up:
            return
        engine.is_up = False
        attempts, engine.attempts = engine.attempts, []
        digests = frozenset(self._requests[attempt.request_id].digest for attempt in attempts)
        self.crashes.append(EngineCrash(self.now_ms, digests))
        for attempt in attempts:
            attempt.is_over = True
            answering_ms = self.now_ms - attempt.head_at_ms
            self._after(_MESSAGE_MS, self._broken(attempt, answering_ms))
        self._after(_LAPSE_MS, lambda: self.unregister(engine.name))
        self._after(_RESTART_MS, self._start_engine)

    def _broken(self, attempt: EngineAttempt, answering_ms: int) -> Callable[[], None]:
        event = AttemptEnded(
            attempt.request_id,
            AttemptResult.BROKEN,
            answering_ms=answering_ms if answering_ms >= 0 and not self._is_plain else None,
        )
        return lambda: self._handle(attempt.vm, event)

    def _start_engine(self) -> None:
        engine = Engine(f"e-{len(self._engines)}", brittle_limit=self._brittle_limit)
        self._engines[engine.name] = engine
        self._registered[engine.name] = None
        self._publish()

    def _publish(self) -> None:
        self._revision += 1
        changed = ViewChanged(self._view())
        for number in set(range(len(self.vms))) - self.vms_without_store:
            self._handle(number, changed)
