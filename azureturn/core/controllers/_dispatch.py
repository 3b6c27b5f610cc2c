"""Dispatches placed requests, after their claim is acquired where they need one."""

from azureturn.core._actions import CancelAtUpstream, Dispatch, QueryClaimHolder
from azureturn.core._claim_service import OUTAGE_RETRY_AFTER_MS
from azureturn.core._claims import ClaimResult
from azureturn.core._controllers import controller
from azureturn.core._events import (
    CallerDisconnected,
    ClaimDecided,
    ClaimRequested,
    Placed,
    RequestAnswered,
    RequestEnded,
    RequestFailed,
    RequestRequeued,
)
from azureturn.core._requests import Request, RequestStage, RequestTable
from azureturn.errors import DEFAULT_RETRY_AFTER_MS, ErrorKind, RunState
from azureturn.framework import AwaitPlacement, Context, Controller, Refuse, on
from azureturn.settings import Settings

#: Maximum number of times that a request is requeued after a failed connection.
REQUEUE_LIMIT = 3

_REFUSALS = {
    ClaimResult.REUSED: (ErrorKind.IDEMPOTENCY_KEY_REUSED, RunState.NOT_RUN),
    ClaimResult.EXPIRED: (ErrorKind.OUTCOME_UNKNOWN, RunState.UNKNOWN),
    ClaimResult.UNAVAILABLE: (ErrorKind.KEY_VALUE_UNAVAILABLE, RunState.NOT_RUN),
    ClaimResult.FULL: (ErrorKind.OVERLOADED, RunState.NOT_RUN),
}


def _refusal(request_id: str, result: ClaimResult) -> Refuse:
    kind, run_state = _REFUSALS[result]
    unavailable = result is ClaimResult.UNAVAILABLE
    retry_after_ms = OUTAGE_RETRY_AFTER_MS if unavailable else DEFAULT_RETRY_AFTER_MS
    return Refuse(request_id, kind, retry_after_ms, run_state)


@controller("dispatch")
class DispatchController(Controller[Settings]):
    """Sends each request at most once; a call that is not idempotent is sent only under a claim.

    A claim is the exclusive right of one process to run such a call. It is not needed if the
    upstream itself ignores repeated keys (``ClaimResult.WAIVED``).
    """

    writes = (RequestTable,)
    after = ("placement", "moves", "claims", "claim_segments")

    @on(Placed)
    def _on_placed(self, event: Placed, context: Context) -> None:
        request = self._request(event.request_id)
        if request.idempotent:
            self._dispatch(request, context)
            return
        self._set_stage(request, RequestStage.CLAIMING)
        context.post(ClaimRequested(request.request_id))

    @on(ClaimDecided)
    def _on_claim_decided(self, event: ClaimDecided, context: Context) -> None:
        request = self.board.read(RequestTable).get(event.request_id)
        if request is None:
            return
        if event.result in (ClaimResult.OURS, ClaimResult.WAIVED):
            self._dispatch_unless_late(request, event.result, context)
            return
        self._end(request, context)
        if event.claim is not None:
            context.act(QueryClaimHolder(request.request_id, event.claim))
            return
        context.act(_refusal(request.request_id, event.result))

    def _dispatch_unless_late(
        self, request: Request, result: ClaimResult, context: Context
    ) -> None:
        if context.now_ms < request.deadline_ms:
            nonce = request.claim_nonce if result is ClaimResult.OURS else ""
            self._dispatch(request, context, claim_nonce=nonce)
            return
        # The claims controller handles RequestFailed and releases the claim.
        kind = ErrorKind.DEADLINE_PASSED
        context.act(Refuse(request.request_id, kind, DEFAULT_RETRY_AFTER_MS))
        context.post(RequestFailed(request.request_id, kind, RunState.NOT_RUN))

    @on(RequestAnswered)
    def _on_answered(self, event: RequestAnswered, context: Context) -> None:
        self._end_if_known(event.request_id, context)

    @on(RequestFailed)
    def _on_failed(self, event: RequestFailed, context: Context) -> None:
        request = self.board.read(RequestTable).get(event.request_id)
        if request is None:
            return
        if self._may_requeue(request, event, context.now_ms):
            self.board.write(RequestTable).put(request.request_id, request.with_requeue())
            context.act(AwaitPlacement(request.request_id))
            context.post(RequestRequeued(request))
            return
        self._end(request, context)

    @staticmethod
    def _may_requeue(request: Request, event: RequestFailed, now_ms: int) -> bool:
        unreachable = event.kind is ErrorKind.UPSTREAM_UNREACHABLE
        if not unreachable or event.run_state is not RunState.NOT_RUN or not request.idempotent:
            return False
        return request.requeues < REQUEUE_LIMIT and now_ms < request.deadline_ms

    @on(CallerDisconnected)
    def _on_caller_disconnected(self, event: CallerDisconnected, context: Context) -> None:
        request = self.board.read(RequestTable).get(event.request_id)
        if request is None or request.stage is not RequestStage.DISPATCHED:
            return
        if request.idempotent:
            context.act(CancelAtUpstream(request.request_id, request.upstream))
            self._end(request, context)

    def _dispatch(self, request: Request, context: Context, *, claim_nonce: str = "") -> None:
        self._set_stage(request, RequestStage.DISPATCHED)
        context.act(
            Dispatch(request.request_id, request.upstream, request.version, claim_nonce=claim_nonce)
        )

    def _request(self, request_id: str) -> Request:
        request = self.board.read(RequestTable).get(request_id)
        assert request is not None
        return request

    def _set_stage(self, request: Request, stage: RequestStage) -> None:
        self.board.write(RequestTable).put(request.request_id, request.with_stage(stage))

    def _end_if_known(self, request_id: str, context: Context) -> None:
        request = self.board.read(RequestTable).get(request_id)
        if request is not None:
            self._end(request, context)

    def _end(self, request: Request, context: Context) -> None:
        self.board.write(RequestTable).remove(request.request_id)
        context.post(RequestEnded(request))
