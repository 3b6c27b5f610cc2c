"""Queues requests for an upstream, and refuses them under overload."""

from azureturn.errors import DEFAULT_RETRY_AFTER_MS, STOPPING_RETRY_AFTER_MS, ErrorKind
from azureturn.framework import Context, DrainTable, QueuedRequest, Refuse, RequestQueue, Tick, on
from azureturn.gateway.decisions._actions import ReturnLastResult
from azureturn.gateway.decisions._allotments import AllotmentTable
from azureturn.gateway.decisions._availability import PauseTable, spread_retry_after_ms
from azureturn.gateway.decisions._caller_timeouts import CallerTimeoutTable
from azureturn.gateway.decisions._events import (
    PlacementRequested,
    RequestAdmitted,
    RequestClosed,
    RequestQueued,
    RequestUnservable,
    ServicePaused,
    TraitsQuarantined,
)
from azureturn.gateway.decisions._overload import (
    MIN_RETRY_AFTER_MS,
    give_up_at_ms,
    overload_retry_after_ms,
)
from azureturn.gateway.decisions._peers import PeerTable
from azureturn.gateway.decisions._quarantine import QuarantineTable
from azureturn.gateway.decisions._queue_cost import queue_cost
from azureturn.gateway.decisions._request_limits import RequestLimitTable
from azureturn.gateway.decisions._requests import GatewayRequest, GatewayRequestTable, Stage
from azureturn.gateway.decisions._retries import RetryBudgetTable
from azureturn.gateway.decisions._tables import (
    BacklogTable,
    GatewayQueueTable,
    ViewTable,
)
from azureturn.gateway.decisions.controllers._registry import (
    GatewayController,
    gateway_controller,
)
from azureturn.gateway.site import QuarantinedTraits

#: Minimum share of the placement rate that late requests are assumed to get until the rate is
#: measured, since a burst of more urgent ones may soon be over.
_LATE_MIN_SHARE = 0.5
#: Interval at which the expectation for late requests is checked.
_LATE_CHECK_INTERVAL_MS = 250
#: A tier rank above those of all requests.
_ABOVE_ALL_RANKS = -1
#: Maximum Retry-After of a request in quarantine; the quarantine may end early.
_MAX_QUARANTINE_RETRY_MS = 60_000


@gateway_controller("admission")
class QueueAdmissionController(GatewayController):
    """Queues admitted requests that can be served; refuses the others."""

    reads = (ViewTable, PeerTable, PauseTable, RequestLimitTable)
    writes = (
        QuarantineTable,
        GatewayRequestTable,
        GatewayQueueTable,
        BacklogTable,
        AllotmentTable,
        CallerTimeoutTable,
        RetryBudgetTable,
        DrainTable,
    )
    after = ("views", "availability", "allotment_admission")

    _checked_at_ms = 0

    @on(RequestAdmitted)
    def _on_request_admitted(self, event: RequestAdmitted, context: Context) -> None:
        if context.now_ms >= self._give_up_at_ms(event.request, context.now_ms):
            # It has waited too long to be read.
            self._refund(event.request)
            detail = f"read {context.now_ms - event.request.arrived_at_ms} ms after its arrival"
            kind = ErrorKind.DEADLINE_UNREACHABLE
            context.act(Refuse(event.request.request_id, kind, MIN_RETRY_AFTER_MS, detail=detail))
            return
        request = self._with_prior_wait(event.request, context.now_ms)
        quarantined = self.board.read(QuarantineTable).match(request.traits)
        if quarantined is not None and not self._may_try(quarantined, context.now_ms):
            self._refuse_quarantined(request, quarantined, context)
            return
        retries = self.board.write(RetryBudgetTable)
        vm_count = self.board.read(PeerTable).vms(context.now_ms)
        budget = retries.of(request.service).with_request(self.settings.bounds.retry, vm_count)
        retries.put(request.service, budget)
        views = self.board.read(ViewTable)
        serving = views.serving_upstreams(request.service, context.now_ms)
        if not serving:
            self._refuse(request, ErrorKind.NO_UPSTREAM, context, DEFAULT_RETRY_AFTER_MS)
            return
        if pause_ms := self.board.read(PauseTable).wait_ms(serving, context.now_ms):
            self._refuse_paused(request, pause_ms, context)
            return
        if not self._can_be_served(request, context.now_ms) or not self._make_room(
            request, context
        ):
            self._refuse(request, ErrorKind.OVERLOADED, context)
            return
        cost = queue_cost(request, self.settings.policy.engine)
        drains = self.board.write(DrainTable)
        drain = drains.of(request.service).with_arrived(request.tier_rank, cost)
        drains.put(request.service, drain)
        self.board.write(GatewayRequestTable).put(request.request_id, request)
        give_up_ms = self._give_up_at_ms(request, context.now_ms)
        self.board.write(GatewayQueueTable).of(request.service).push(
            QueuedRequest(request, cost_tokens=cost, weight=1.0, give_up_at_ms=give_up_ms)
        )
        context.post(PlacementRequested(request.service))
        context.post(RequestQueued())

    @on(RequestQueued)
    def _on_request_queued(self, event: RequestQueued, context: Context) -> None:
        """Refuse the least urgent requests if too many still wait after the placement."""
        queues = self.board.write(GatewayQueueTable)
        while queues.waiting_count() > self.settings.limits.requests_waiting:
            request = queues.pop_least_urgent(below_rank=_ABOVE_ALL_RANKS)
            assert request is not None
            self._end_unserved(request, ErrorKind.OVERLOADED, context)

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        is_check_due = context.now_ms - self._checked_at_ms >= _LATE_CHECK_INTERVAL_MS
        if is_check_due:
            self._checked_at_ms = context.now_ms
        backlogs = self.board.write(BacklogTable)
        for service, queue in self.board.write(GatewayQueueTable).items():
            for request in queue.pop_expired(context.now_ms):
                self._end_unserved(request, ErrorKind.DEADLINE_UNREACHABLE, context)
            self._demote_late(queue, context.now_ms)
            if not len(queue):
                backlogs.remove(service)
            elif is_check_due:
                if service not in backlogs:
                    backlogs.put(service, context.now_ms)
                if backlogs.is_measured(service, context.now_ms):
                    self._refuse_unservable(service, queue, context)
            drains = self.board.write(DrainTable)
            drain = drains.of(service).with_time(context.now_ms, backlogged=len(queue) > 0)
            drains.put(service, drain)
            if len(queue):
                context.post(PlacementRequested(service))

    @on(TraitsQuarantined)
    def _on_traits_quarantined(self, event: TraitsQuarantined, context: Context) -> None:
        """Take the requests that are now in quarantine out of the queues."""
        for _, queue in self.board.write(GatewayQueueTable).items():
            for request in list(queue.requests()):
                quarantined = self.board.read(QuarantineTable).match(request.traits)
                if quarantined is not None:
                    queue.remove(request)
                    self._end_quarantined(request, quarantined, context)

    @on(ServicePaused)
    def _on_service_paused(self, event: ServicePaused, context: Context) -> None:
        """End the requests that wait for upstreams which all want none for a while."""
        queue = self.board.write(GatewayQueueTable).of(event.service)
        for request in list(queue.requests()):
            queue.remove(request)
            if request.run_attempts:
                self._return_last_result(request, "all upstreams ask for a pause", context)
            else:
                self._refuse_paused(request, event.wait_ms, context)

    @on(RequestUnservable)
    def _on_request_unservable(self, event: RequestUnservable, context: Context) -> None:
        request = event.request
        if request.run_attempts:
            self._return_last_result(request, event.detail, context)
            return
        self.board.write(GatewayRequestTable).remove(request.request_id)
        self._refund(request)
        kind, retry_after_ms = ErrorKind.STOPPING, STOPPING_RETRY_AFTER_MS
        context.act(Refuse(request.request_id, kind, retry_after_ms, detail=event.detail))

    @on(RequestClosed)
    def _on_request_closed(self, event: RequestClosed, context: Context) -> None:
        request = self.board.read(GatewayRequestTable).get(event.request_id)
        if request is None or request.stage is not Stage.QUEUED:
            return
        self.board.write(GatewayRequestTable).remove(event.request_id)
        self.board.write(GatewayQueueTable).of(request.service).remove(request)
        self._refund(request)

    def _with_prior_wait(self, request: GatewayRequest, now_ms: int) -> GatewayRequest:
        """Return the request with its deadline counted from the caller's first attempt."""
        if request.caller_timeout_ms is None:
            return request
        history = self.board.write(CallerTimeoutTable).of(request.route.name)
        if prior_wait_ms := history.prior_wait_ms(request.caller_timeout_ms):
            request = request.with_prior_wait(prior_wait_ms)
        is_late = now_ms > request.latest_start_ms(self.settings.policy.engine)
        return request.with_late() if is_late else request

    def _refund(self, request: GatewayRequest) -> None:
        """Refund the units of a queued request, unless an upstream ran it for them."""
        self.board.write(AllotmentTable).refund(request)

    def _wait_ms(self, request: GatewayRequest) -> float:
        """Return the expected time that a request waits in the queue.

        Ahead of it are the more urgent tiers and, of its own tier, the requests that equal shares
        of the organisations place before it. The long queue of another organisation does
        not count.
        """
        queue = self.board.read(GatewayQueueTable).of(request.service)
        work_ahead = queue.tokens_ahead(request, 1.0)
        drain = self.board.read(DrainTable).of(request.service)
        return drain.wait_ms(request.tier_rank, work_ahead)

    def _can_be_served(self, request: GatewayRequest, now_ms: int) -> bool:
        """Return whether a request is expected to be served in time, or late but within its limit.

        Where late requests wait until their time limit, none is refused on an expectation while
        less urgent ones of its service wait here.
        """
        limit_ms = self.settings.policy.refusal_objectives * request.route.objective_ms
        if not request.is_late and self._wait_ms(request) <= limit_ms:
            return True
        if self._limits_patience(request.service, now_ms):
            return request.is_late
        return self._can_be_served_late(request, now_ms)

    def _can_be_served_late(
        self, request: GatewayRequest, now_ms: int, *, queued_cost: float = 0.0
    ) -> bool:
        """Return whether a late request is expected to be served within its time limit.

        The upstreams of its service must not be brittle. ``queued_cost`` is the request's own cost
        if it is in the queue.
        """
        queue = self.board.read(GatewayQueueTable).of(request.service)
        late = request.with_late()
        if queue.has_below(late.tier_rank):
            return True
        work_ahead = max(0.0, queue.tokens_ahead(late, 1.0) - queued_cost)
        drain = self.board.read(DrainTable).of(request.service)
        if self.board.read(BacklogTable).is_measured(request.service, now_ms):
            wait_ms = drain.wait_ms(late.tier_rank, work_ahead)
        else:
            wait_ms = drain.wait_ms(late.tier_rank, work_ahead, min_share=_LATE_MIN_SHARE)
        policy = self.settings.policy
        return now_ms + wait_ms <= give_up_at_ms(request, policy, limits_patience=False)

    def _refuse_unservable(
        self, service: str, queue: "RequestQueue[GatewayRequest]", context: Context
    ) -> None:
        """Refuse late requests that are not expected to be served within their time limits.

        Those with the latest deadlines are checked first. Refused now rather than at their time
        limits, their callers still have time for another attempt.
        """
        if self._limits_patience(service, context.now_ms):
            return
        late = [
            request
            for request in queue.requests()
            if request.is_late and not request.tried_upstreams
        ]
        late.sort(key=lambda request: request.deadline_ms, reverse=True)
        for request in late:
            cost = queue_cost(request, self.settings.policy.engine)
            if not self._can_be_served_late(request, context.now_ms, queued_cost=cost):
                queue.remove(request)
                self._end_unserved(request, ErrorKind.OVERLOADED, context)

    def _give_up_at_ms(self, request: GatewayRequest, now_ms: int) -> int:
        limits_patience = self._limits_patience(request.service, now_ms)
        return give_up_at_ms(request, self.settings.policy, limits_patience=limits_patience)

    def _limits_patience(self, service: str, now_ms: int) -> bool:
        """Return whether requests of a service wait for a multiple of their objective at most.

        They do if its upstreams fall over when they reject many requests, whatever the policy.
        """
        return self.settings.policy.late_wait_share <= 0.0 or self._is_brittle(service, now_ms)

    def _is_brittle(self, service: str, now_ms: int) -> bool:
        """Return whether upstreams of a service fall over if they reject many requests."""
        limits = self.board.read(RequestLimitTable)
        if not len(limits):
            return False
        upstreams = self.board.read(ViewTable).serving_upstreams(service, now_ms)
        return any(limits.is_brittle(upstream.run) for upstream in upstreams)

    def _demote_late(self, queue: "RequestQueue[GatewayRequest]", now_ms: int) -> None:
        """Move requests that will miss their objective behind those that can still meet it."""
        policy = self.settings.policy
        late = [
            request
            for request in queue.requests()
            if not request.is_late and now_ms > request.latest_start_ms(policy.engine)
        ]
        for request in late:
            queue.remove(request)
            demoted = request.with_late()
            self.board.write(GatewayRequestTable).put(request.request_id, demoted)
            # A further attempt costs nothing in the queue, as the first one has been charged.
            cost = 0.0 if request.tried_upstreams else queue_cost(demoted, policy.engine)
            give_up_ms = self._give_up_at_ms(demoted, now_ms)
            if request.run_attempts and not self._is_brittle(request.service, now_ms):
                # The time of the attempt that ran does not count as its patience.
                give_up_ms = request.ends_at_ms
            queue.push(QueuedRequest(demoted, cost, 1.0, give_up_ms))

    def _may_try(self, quarantined: QuarantinedTraits, now_ms: int) -> bool:
        """Return whether a request in quarantine may be sent as a trial.

        Only the first live VM in the order of names makes trials.
        """
        peers = self.board.read(PeerTable)
        if peers.vms_ahead(now_ms):
            return False
        return self.board.write(QuarantineTable).take_trial(quarantined, peers.unix_ms(now_ms))

    def _end_quarantined(
        self, request: GatewayRequest, quarantined: QuarantinedTraits, context: Context
    ) -> None:
        """End a request that was queued when its traits were put into quarantine."""
        if request.run_attempts:
            self._return_last_result(request, "request is in quarantine", context)
            return
        self._refuse_quarantined(request, quarantined, context)

    def _make_room(self, request: GatewayRequest, context: Context) -> bool:
        """Return whether another request may be in progress; a less urgent one may have to end."""
        if len(self.board.read(GatewayRequestTable)) < self.settings.limits.requests_in_progress:
            return True
        queues = self.board.write(GatewayQueueTable)
        replaced = queues.pop_least_urgent(below_rank=request.tier_rank)
        if replaced is None:
            return False
        self._end_unserved(replaced, ErrorKind.OVERLOADED, context)
        return True

    def _end_unserved(self, request: GatewayRequest, kind: ErrorKind, context: Context) -> None:
        """End a request that was taken out of its queue because it can't be served in time."""
        if request.run_attempts:
            self._return_last_result(request, "no capacity for another attempt in time", context)
            return
        self._refuse(request, kind, context)

    def _return_last_result(self, request: GatewayRequest, reason: str, context: Context) -> None:
        """End a request that has run, so that it must not be refused as not run."""
        self.board.write(GatewayRequestTable).remove(request.request_id)
        context.act(ReturnLastResult(request.request_id, reason))

    def _refuse_quarantined(
        self, request: GatewayRequest, quarantined: QuarantinedTraits, context: Context
    ) -> None:
        self.board.write(GatewayRequestTable).remove(request.request_id)
        self._refund(request)
        unix_ms = self.board.read(PeerTable).unix_ms(context.now_ms)
        time_left_ms = self.board.read(QuarantineTable).time_left_ms(quarantined, unix_ms)
        retry_after_ms = min(_MAX_QUARANTINE_RETRY_MS, max(MIN_RETRY_AFTER_MS, time_left_ms))
        traits = ",".join(sorted(quarantined.traits))
        context.act(
            Refuse(
                request.request_id,
                ErrorKind.REQUEST_QUARANTINED,
                retry_after_ms,
                detail=f"traits {traits}",
            )
        )

    def _refuse_paused(self, request: GatewayRequest, pause_ms: int, context: Context) -> None:
        """Refuse a request because all upstreams of its service ask for a pause."""
        self.board.write(GatewayRequestTable).remove(request.request_id)
        self._refund(request)
        retry_after_ms = spread_retry_after_ms(pause_ms, context.random)
        detail = f"all upstreams ask for a pause of {pause_ms} ms"
        context.act(Refuse(request.request_id, ErrorKind.OVERLOADED, retry_after_ms, detail=detail))

    def _refuse(
        self,
        request: GatewayRequest,
        kind: ErrorKind,
        context: Context,
        retry_after_ms: int | None = None,
    ) -> None:
        """Refuse a request; ``retry_after_ms`` defaults to the expected wait in the queue."""
        self.board.write(GatewayRequestTable).remove(request.request_id)
        self._refund(request)
        wait_ms = self._wait_ms(request)
        if retry_after_ms is None:
            left_ms = request.ends_at_ms - context.now_ms
            retry_after_ms = overload_retry_after_ms(wait_ms, left_ms, context.random)
        detail = f"expected queue time {wait_ms:.0f} ms"
        context.act(Refuse(request.request_id, kind, retry_after_ms, detail=detail))
