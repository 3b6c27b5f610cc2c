"""Lets requests in, within their organisation's allotment and what can be served in time."""

from azureturn.core import Context, QueuedRequest, Refuse, Tick, on
from azureturn.errors import DEFAULT_RETRY_AFTER_MS, ErrorKind
from azureturn.gateway.decisions._allotments import AllotmentState, AllotmentTable
from azureturn.gateway.decisions._events import (
    CallerArrived,
    PlacementWanted,
    RequestClosed,
    ViewChanged,
)
from azureturn.gateway.decisions._peers import PeerTable
from azureturn.gateway.decisions._rates import PlacementRateTable
from azureturn.gateway.decisions._requests import GatewayRequest, GatewayRequestTable, Stage
from azureturn.gateway.decisions._retries import RetryTable
from azureturn.gateway.decisions._tables import GatewayQueueTable, ViewTable
from azureturn.gateway.decisions.controllers._registry import (
    GatewayController,
    gateway_controller,
)
from azureturn.gateway.site import Allotment

_MS_PER_S = 1_000.0
_LEAST_RETRY_AFTER_MS = 200
_LONGEST_RETRY_AFTER_MS = 4_000
#: Time before a request's end at which it is given up in the queue, for its answer to leave.
_ANSWER_MARGIN_MS = 20


@gateway_controller("admission")
class AdmissionController(GatewayController):
    """Queues what may pass and can be served; refuses the rest at once."""

    reads = (ViewTable, PeerTable)
    writes = (
        GatewayRequestTable,
        GatewayQueueTable,
        AllotmentTable,
        RetryTable,
        PlacementRateTable,
    )
    after = ("views",)

    @on(ViewChanged)
    def _on_view(self, event: ViewChanged, context: Context) -> None:
        """Begin to fill the buckets of organisations that are new."""
        configuration = self.board.read(ViewTable).current().configuration
        table = self.board.write(AllotmentTable)
        for one in configuration.organisations if configuration else ():
            if table.get(one.name) is None:
                table.put(one.name, AllotmentState(filled_at_ms=context.now_ms))

    @on(CallerArrived)
    def _on_arrived(self, event: CallerArrived, context: Context) -> None:
        request = event.request
        if not self._pass_allotment(request, context):
            return
        retries = self.board.write(RetryTable)
        vms = self.board.read(PeerTable).vms(context.now_ms)
        state = retries.of(request.service).with_request(self.settings.bounds.retry, vms)
        retries.put(request.service, state)
        if not self._is_served(request):
            self._refuse(request, ErrorKind.NO_UPSTREAM, DEFAULT_RETRY_AFTER_MS, context)
            return
        wait_ms = self._wait_ms(request, context.now_ms)
        if wait_ms > self.settings.policy.refusal_objectives * request.route.objective_ms:
            self._refuse(request, ErrorKind.OVERLOADED, int(wait_ms), context)
            return
        self.board.write(GatewayRequestTable).put(request.request_id, request)
        give_up_at_ms = self._give_up_at_ms(request)
        self.board.write(GatewayQueueTable).of(request.service).push(
            QueuedRequest(request, cost_tokens=1.0, weight=1.0, give_up_at_ms=give_up_at_ms)
        )
        context.post(PlacementWanted(request.service))

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        for service, queue in self.board.write(GatewayQueueTable).items():
            for request in queue.pop_hopeless(context.now_ms):
                kind = ErrorKind.DEADLINE_UNREACHABLE
                wait_ms = int(self._wait_ms(request, context.now_ms))
                self._refuse(request, kind, wait_ms, context)
            rates = self.board.write(PlacementRateTable)
            rates.put(service, rates.of(service).with_time(context.now_ms, waiting=len(queue)))
            if len(queue):
                context.post(PlacementWanted(service))

    @on(RequestClosed)
    def _on_closed(self, event: RequestClosed, context: Context) -> None:
        request = self.board.write(GatewayRequestTable).remove(event.request_id)
        if request is None or request.stage is not Stage.QUEUED:
            return
        self.board.write(GatewayQueueTable).of(request.service).remove(request)
        self._give_back(request)

    def _pass_allotment(self, request: GatewayRequest, context: Context) -> bool:
        allotment = self._allotment_of(request.organisation)
        if allotment is None or allotment.rate_per_s <= 0:
            return True
        table = self.board.write(AllotmentTable)
        heard_share = self.board.read(PeerTable).heard_share(context.now_ms)
        state = table.of(request.organisation).with_time(
            allotment, heard_share=heard_share, now_ms=context.now_ms
        )
        if state.level <= 0:
            table.put(request.organisation, state)
            retry_after_ms = _refill_ms(state, allotment, request.allotment_units)
            context.act(Refuse(request.request_id, ErrorKind.OVER_ALLOTMENT, retry_after_ms))
            return False
        table.put(request.organisation, state.with_passed(request.allotment_units))
        return True

    def _allotment_of(self, organisation: str) -> Allotment | None:
        configuration = self.board.read(ViewTable).current().configuration
        if configuration is None:
            return None
        found = next((o for o in configuration.organisations if o.name == organisation), None)
        return None if found is None else found.allotment

    def _give_back(self, request: GatewayRequest) -> None:
        if request.tried:
            return
        table = self.board.write(AllotmentTable)
        state = table.get(request.organisation)
        if state is not None:
            table.put(request.organisation, state.with_given_back(request.allotment_units))

    def _is_served(self, request: GatewayRequest) -> bool:
        view = self.board.read(ViewTable).current()
        return any(
            one.service == request.service and not one.is_leaving for one in view.upstreams.values()
        )

    def _wait_ms(self, request: GatewayRequest, now_ms: int) -> float:
        queue = self.board.read(GatewayQueueTable).of(request.service)
        ahead = sum(queue.length_of(rank) for rank in range(request.tier_rank + 1))
        return self.board.read(PlacementRateTable).of(request.service).wait_ms(ahead)

    def _give_up_at_ms(self, request: GatewayRequest) -> int:
        patience_ms = self.settings.policy.patience_objectives * request.route.objective_ms
        patient_until_ms = int(request.arrived_at_ms + patience_ms)
        return min(request.ends_at_ms - _ANSWER_MARGIN_MS, patient_until_ms)

    def _refuse(
        self, request: GatewayRequest, kind: ErrorKind, wait_ms: int, context: Context
    ) -> None:
        self.board.write(GatewayRequestTable).remove(request.request_id)
        self._give_back(request)
        retry_after_ms = min(_LONGEST_RETRY_AFTER_MS, max(_LEAST_RETRY_AFTER_MS, wait_ms))
        context.act(Refuse(request.request_id, kind, retry_after_ms))


def _refill_ms(state: AllotmentState, allotment: Allotment, units: int) -> int:
    """Return when the bucket has filled again by as much as the request counts."""
    missing = units - state.level
    wait_ms = missing / allotment.rate_per_s * _MS_PER_S
    return int(min(_LONGEST_RETRY_AFTER_MS, max(_LEAST_RETRY_AFTER_MS, wait_ms)))
