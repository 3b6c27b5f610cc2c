"""Simulation for claim tests: VMs, a key-value service with faults, and an upstream.

A test decides when each pending action of a VM is executed, and with which fault.
"""

from collections import Counter, deque
from dataclasses import dataclass, field

from azureturn.core import (
    CallSettled,
    ClaimAbandoned,
    ClaimOutcome,
    ClaimSegment,
    ClaimState,
    Configuration,
    Core,
    Dispatch,
    HeldCallTable,
    HeldState,
    QueryClaimHolder,
    ReadSegment,
    Request,
    RequestAnswered,
    RequestArrived,
    RequestFailed,
    SegmentCallLost,
    SegmentChanged,
    SegmentRead,
    SegmentSwapped,
    Started,
    SwapSegment,
)
from azureturn.errors import ErrorKind, RunState
from azureturn.framework import Action, Event, Refuse, Tick
from azureturn.settings import (
    OrganisationSettings,
    PlatformSettings,
    PolicySettings,
    RouteSettings,
    Settings,
    SharedSettings,
    TierSettings,
    UpstreamKind,
    UpstreamSettings,
    VmSettings,
)

ORGANISATION = "call-centre"
RETENTION_MS = 60_000
UNIX_START_MS = 1_000_000
_URL = "http://127.0.0.1:1"

ServiceCall = ReadSegment | SwapSegment


def settings_of(vm: str) -> Settings:
    shared = SharedSettings(
        site="test",
        tiers=(TierSettings("top", 0),),
        organisations=(OrganisationSettings(ORGANISATION, "a-token-of-the-call-centre"),),
        routes=(RouteSettings("deposit", "top", 5_000, "bookings", idempotent=False, path="/d"),),
        upstreams=(
            UpstreamSettings(
                "bookings-1", UpstreamKind.PLAIN_SERVICE, "zone-a", _URL, ("bookings",), slots=9_999
            ),
        ),
        policy=PolicySettings(claim_retention_ms=RETENTION_MS),
    )
    return Settings(
        VmSettings(vm, "zone-a", "127.0.0.1", 1, 2), PlatformSettings(_URL, _URL), shared
    )


class FakeService:
    """In-memory key-value service with revisions and compare-and-swap."""

    def __init__(self) -> None:
        self.revision = 0
        self.values: dict[int, tuple[int, bytes]] = {}
        self.writes = 0

    def read(self, action: ReadSegment) -> SegmentRead:
        revision, value = self.values.get(action.segment, (0, ClaimSegment().to_bytes()))
        content = ClaimSegment.from_bytes(value)
        return SegmentRead(action.segment, action.operation_id, revision, content)

    def swap(self, action: SwapSegment) -> SegmentSwapped | SegmentChanged:
        self.writes += 1
        stored_revision = self.values.get(action.segment, (0, b""))[0]
        if stored_revision != action.expected_revision:
            return SegmentChanged(action.segment, action.operation_id)
        self.revision += 1
        self.values[action.segment] = (self.revision, action.content.to_bytes())
        return SegmentSwapped(action.segment, action.operation_id, self.revision)

    def apply(self, action: ServiceCall) -> Event:
        return self.read(action) if isinstance(action, ReadSegment) else self.swap(action)


@dataclass
class Vm:
    """The process of one VM: its core and the actions of the core that are not yet executed."""

    name: str
    #: Number of the process on this VM: 1 for the first, 2 after a restart.
    boot: int
    core: Core
    pending_calls: deque[ServiceCall] = field(default_factory=deque)
    pending_dispatches: deque[Dispatch] = field(default_factory=deque)
    pending_queries: deque[QueryClaimHolder] = field(default_factory=deque)
    abandoned: set[str] = field(default_factory=set)
    paused: bool = False

    @property
    def boot_id(self) -> str:
        return f"{self.name}.{self.boot}"


@dataclass(frozen=True)
class CallerResponse:
    """The response that a caller received."""

    kind: str
    run_state: RunState


ANSWERED = "answered"


class ClaimSimulation:
    """Executes the actions of the cores step by step, and records runs and responses to callers."""

    def __init__(self, *vms: str) -> None:
        self.now_ms = 0
        self.service = FakeService()
        #: Writes that the service has not yet received, oldest first.
        self.delayed: list[SwapSegment] = []
        #: How often the upstream ran each call, by idempotency key or ticket nonce.
        self.runs: Counter[str] = Counter()
        self.sent_requests: set[str] = set()
        #: Responses to the caller of each request, by request id.
        self.responses_by_request: dict[str, list[CallerResponse]] = {}
        self.requests: dict[str, Request] = {}
        self.callers_without_response: set[str] = set()
        self.vms = {name: self._boot(name, 1) for name in vms}

    def _boot(self, name: str, boot: int) -> Vm:
        settings = settings_of(name)
        vm = Vm(name, boot, Core.from_settings(settings, seed=1))
        started = Started(Configuration(0, settings.shared), vm.boot_id)
        vm.core.handle(started, self.now_ms)
        return vm

    def submit(self, vm: Vm, event: Event) -> None:
        for action in vm.core.handle(event, self.now_ms):
            self._collect(vm, action)

    def _collect(self, vm: Vm, action: Action) -> None:
        match action:
            case ReadSegment() | SwapSegment():
                vm.pending_calls.append(action)
            case Dispatch():
                vm.pending_dispatches.append(action)
            case QueryClaimHolder():
                vm.pending_queries.append(action)
            case ClaimAbandoned(claim_nonce):
                vm.abandoned.add(claim_nonce)
            case Refuse(request_id, kind, _, run_state):
                self.respond(request_id, CallerResponse(kind.value, run_state))

    def respond(self, request_id: str, response: CallerResponse) -> None:
        self.responses_by_request.setdefault(request_id, []).append(response)

    def arrive(
        self,
        name: str,
        request_id: str,
        key: str = "k",
        *,
        body: str = "b",
        issued_at_ms: int = 0,
        ticket_nonce: str = "",
        deduplicated: bool = False,
        timeout_ms: int = 5_000,
    ) -> None:
        vm = self.vms[name]
        request = Request(
            request_id=request_id,
            organisation=ORGANISATION,
            route="deposit",
            tier_rank=0,
            target="bookings",
            kind=UpstreamKind.PLAIN_SERVICE,
            arrived_at_ms=self.now_ms,
            deadline_ms=self.now_ms + timeout_ms,
            idempotent=False,
            idempotency_key="" if ticket_nonce else key,
            body_digest=body,
            upstream_deduplicates=deduplicated,
            arrived_unix_ms=UNIX_START_MS + self.now_ms,
            key_issued_at_ms=issued_at_ms,
            ticket_nonce=ticket_nonce,
            ticket_expires_at_ms=self.now_ms + 3_600_000 if ticket_nonce else 0,
        )
        self.requests[request_id] = request
        self.submit(vm, RequestArrived(request))

    def answer_service_call(self, name: str) -> bool:
        """Execute the VM's oldest call to the key-value service and deliver the answer.

        Return whether there was a call.
        """
        vm = self.vms[name]
        if not vm.pending_calls:
            return False
        self.submit(vm, self.service.apply(vm.pending_calls.popleft()))
        return True

    def lose_service_answer(self, name: str, *, applied: bool, delayed: bool = False) -> bool:
        """Lose the answer to the VM's oldest call to the key-value service.

        The call itself is executed (``applied``), kept back if it is a write (``delayed``), or
        else dropped. Return whether there was a call.
        """
        vm = self.vms[name]
        if not vm.pending_calls:
            return False
        call = vm.pending_calls.popleft()
        if applied:
            self.service.apply(call)
        elif delayed and isinstance(call, SwapSegment):
            self.delayed.append(call)
        self.submit(vm, SegmentCallLost(call.segment, call.operation_id))
        return True

    def apply_delayed_write(self) -> None:
        """Deliver the oldest delayed write to the service."""
        if self.delayed:
            self.service.swap(self.delayed.pop(0))

    def execute_dispatch(self, name: str, ending: str = ANSWERED) -> bool:
        """Execute the VM's oldest dispatch, and return whether there was one.

        ``ending`` is ``answered``, ``unknown`` or ``unreachable``.
        """
        vm = self.vms[name]
        if not vm.pending_dispatches:
            return False
        dispatch = vm.pending_dispatches.popleft()
        request = self.requests[dispatch.request_id]
        if ending == "unreachable":
            kind = ErrorKind.UPSTREAM_UNREACHABLE
            self.submit(vm, RequestFailed(dispatch.request_id, kind, RunState.NOT_RUN))
            self.respond(dispatch.request_id, CallerResponse(kind.value, RunState.NOT_RUN))
            return True
        self._run(request)
        answered = ending == ANSWERED
        state = ClaimState.RAN if answered else ClaimState.UNKNOWN
        if answered:
            self.submit(vm, RequestAnswered(dispatch.request_id))
        else:
            kind = ErrorKind.UPSTREAM_SILENT
            self.submit(vm, RequestFailed(dispatch.request_id, kind, RunState.UNKNOWN))
        body = request.request_id.encode()
        outcome = ClaimOutcome(state, 200, "", "bookings-1", body, answered)
        if dispatch.claim_nonce:
            self.submit(vm, CallSettled(dispatch.claim_nonce, outcome))
        response = (
            CallerResponse(ANSWERED, RunState.RAN)
            if answered
            else CallerResponse("unknown", RunState.UNKNOWN)
        )
        self.respond(dispatch.request_id, response)
        return True

    def _run(self, request: Request) -> None:
        call = request.idempotency_key or request.ticket_nonce
        # An upstream that deduplicates runs a call once, however often its key is sent.
        self.runs[call] = 1 if request.upstream_deduplicates else self.runs[call] + 1
        self.sent_requests.add(request.request_id)

    def ask(self, name: str) -> bool:
        """Execute the VM's oldest query to a claim holder as the daemon does.

        Return whether there was a query.
        """
        vm = self.vms[name]
        if not vm.pending_queries:
            return False
        action = vm.pending_queries.popleft()
        answer = self._holder_answer(action)
        if answer is None:
            vm.pending_queries.append(action)
        elif answer is HeldState.ABANDONED:
            released = self.requests[action.request_id].with_released_nonce(action.claim.nonce)
            self.submit(vm, RequestArrived(released))
        else:
            has_answer = action.claim.outcome.state is ClaimState.RAN or answer is HeldState.SETTLED
            response = (
                CallerResponse(ANSWERED, RunState.RAN)
                if has_answer
                else CallerResponse("unknown", RunState.UNKNOWN)
            )
            self.respond(action.request_id, response)
        return True

    def _holder_answer(self, action: QueryClaimHolder) -> HeldState | None:
        """Return the holder's answer: SENT if the holder no longer exists, None while pending."""
        if action.claim.outcome.state in (ClaimState.RAN, ClaimState.UNKNOWN):
            return HeldState.SENT
        deadline_passed = self.requests[action.request_id].deadline_ms <= self.now_ms
        holder = self.vms[action.claim.holder.vm]
        if holder.paused:
            return HeldState.SENT if deadline_passed else None
        held_call = holder.core.board.table(HeldCallTable).get(action.claim.nonce)
        if holder.boot_id != action.claim.holder.boot_id or held_call is None:
            return HeldState.SENT
        if held_call.state in (HeldState.ABANDONED, HeldState.SETTLED):
            return held_call.state
        return HeldState.SENT if deadline_passed else None

    def tick(self, elapsed_ms: int) -> None:
        self.now_ms += elapsed_ms
        for vm in self.vms.values():
            if not vm.paused:
                self.submit(vm, Tick())

    def crash(self, name: str) -> None:
        """End a process, whose callers then get no response, and start a new one."""
        old_vm = self.vms[name]
        self.callers_without_response |= self.requests_without_response(name)
        self.delayed += [call for call in old_vm.pending_calls if isinstance(call, SwapSegment)]
        self.vms[name] = self._boot(name, old_vm.boot + 1)

    def requests_without_response(self, name: str) -> set[str]:
        request_ids = {key for key in self.requests if key.startswith(f"{name}/")}
        return request_ids - set(self.responses_by_request) - self.callers_without_response

    def run_until_idle(self, limit_steps: int = 2_000) -> None:
        """Run without further faults until every request has a response."""
        for vm in self.vms.values():
            vm.paused = False
        for _ in range(limit_steps):
            step_results = [
                step(name)
                for name in self.vms
                for step in (self.answer_service_call, self.execute_dispatch, self.ask)
            ]
            self.tick(50)
            if not any(step_results) and not any(
                self.requests_without_response(name) for name in self.vms
            ):
                return
        raise AssertionError(
            "requests without a response:"
            f" {[self.requests_without_response(name) for name in self.vms]}"
        )
