"""Decides which process may run a call that is not idempotent."""

from azureturn.core._actions import ClaimAbandoned
from azureturn.core._claim_progress import (
    NEVER_WRITTEN,
    WRITE_BACK_DELAY_MS,
    ClaimIntent,
    SegmentProgressTable,
    WriteBack,
)
from azureturn.core._claim_segments import segment_of, stored_outcome
from azureturn.core._claim_service import OUTAGE_CLAIM_TIMEOUT_MS, ClaimServiceTable
from azureturn.core._claims import Claim, ClaimHolder, ClaimOutcome, ClaimResult, ClaimState
from azureturn.core._controllers import controller
from azureturn.core._events import CallSettled, ClaimDecided, ClaimRequested, RequestFailed, Started
from azureturn.core._held_calls import HELD_CALL_LIMIT, HeldCall, HeldCallTable, HeldState
from azureturn.core._requests import Request, RequestTable, call_digest_of
from azureturn.errors import RunState
from azureturn.framework import Context, Controller, Tick, on
from azureturn.settings import Settings

#: Time for which a call waits for its claim to be written before the call is refused.
CLAIM_TIMEOUT_MS = 2_000
#: Results after which this process never sends the call under the claim that it requested.
_NOT_SENT_RESULTS = (ClaimResult.UNAVAILABLE, ClaimResult.FULL, ClaimResult.WAIVED)


@controller("claims")
class ClaimsController(Controller[Settings]):
    """Requests and abandons claims, and tracks the state of each call in the table of held calls.

    A claim is abandoned if it is not decided in time or its call was certainly not run.
    """

    writes = (RequestTable, SegmentProgressTable, HeldCallTable, ClaimServiceTable)
    after = ("placement",)

    @on(Started)
    def _on_started(self, event: Started, context: Context) -> None:
        vm = self.settings.vm
        identity = ClaimHolder(vm.name, event.boot_id, vm.host, vm.peer_port)
        self.board.write(ClaimServiceTable).start(identity)

    @on(ClaimRequested)
    def _on_claim_requested(self, event: ClaimRequested, context: Context) -> None:
        request = self.board.read(RequestTable).get(event.request_id)
        if request is None:
            return
        digest = call_digest_of(request)
        held_call = self.board.read(HeldCallTable).live(digest)
        if held_call is not None:
            self._answer_duplicate(request, held_call, context)
        elif len(self.board.read(HeldCallTable)) >= HELD_CALL_LIMIT:
            context.post(ClaimDecided(request.request_id, ClaimResult.FULL))
        elif request.ticket_nonce:
            self._hold_ticketed(request, digest, context)
        else:
            self._request_claim(request, digest, context)

    @on(ClaimDecided)
    def _on_decided(self, event: ClaimDecided, context: Context) -> None:
        request = self.board.read(RequestTable).get(event.request_id)
        if request is not None and event.result in _NOT_SENT_RESULTS and request.claim_nonce:
            self._abandon(request.claim_nonce, context)

    @on(CallSettled)
    def _on_settled(self, event: CallSettled, context: Context) -> None:
        self._end(event.claim_nonce, HeldState.SETTLED, event.outcome, context)

    @on(RequestFailed)
    def _on_failed(self, event: RequestFailed, context: Context) -> None:
        request = self.board.read(RequestTable).get(event.request_id)
        if request is None or event.run_state is not RunState.NOT_RUN:
            return
        if request.claim_nonce:
            self._abandon(request.claim_nonce, context)

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        for _, progress in self.board.read(SegmentProgressTable).items():
            overdue = [
                intent
                for intent in progress.intents.values()
                if intent.claim_deadline_ms <= context.now_ms
            ]
            for intent in overdue:
                progress.pop_intent(intent.claim.nonce)
                self._decide_without_claim(intent.request_id, intent.upstream_deduplicates, context)
        self.board.write(HeldCallTable).remove_expired(context.now_ms)

    def _answer_duplicate(self, request: Request, held_call: HeldCall, context: Context) -> None:
        if held_call.body_digest != request.body_digest:
            context.post(ClaimDecided(request.request_id, ClaimResult.REUSED))
            return
        identity = self.board.read(ClaimServiceTable).only().identity
        claim = Claim(identity, held_call.nonce, held_call.body_digest, 0, 0)
        context.post(ClaimDecided(request.request_id, ClaimResult.FOREIGN, claim))

    def _hold_ticketed(self, request: Request, digest: str, context: Context) -> None:
        nonce = self._hold(request, digest, HeldState.SENT)
        held_call = self.board.read(HeldCallTable).get(nonce)
        assert held_call is not None
        self._attach_nonce(request, nonce)
        context.post(ClaimDecided(request.request_id, ClaimResult.OURS))

    def _request_claim(self, request: Request, digest: str, context: Context) -> None:
        service = self.board.write(ClaimServiceTable).only()
        is_down = service.is_down(context.now_ms)
        if is_down and request.upstream_deduplicates:
            self._decide_without_claim(request.request_id, request.upstream_deduplicates, context)
            return
        timeout_ms = OUTAGE_CLAIM_TIMEOUT_MS if is_down else CLAIM_TIMEOUT_MS
        nonce = self._hold(request, digest, HeldState.SEEKING)
        self._attach_nonce(request, nonce)
        claim = Claim(
            holder=service.identity,
            nonce=nonce,
            body_digest=request.body_digest,
            claimed_at_ms=request.arrived_unix_ms,
            issued_at_ms=request.key_issued_at_ms or request.arrived_unix_ms,
        )
        intent = ClaimIntent(
            digest=digest,
            request_id=request.request_id,
            claim=claim,
            claim_deadline_ms=min(request.deadline_ms, context.now_ms + timeout_ms),
            released_nonce=request.released_nonce,
            upstream_deduplicates=request.upstream_deduplicates,
        )
        progress = self.board.write(SegmentProgressTable).of(segment_of(digest))
        progress.intents[nonce] = intent

    def _hold(self, request: Request, digest: str, state: HeldState) -> str:
        nonce = self.board.write(ClaimServiceTable).only().next_nonce()
        held_call = HeldCall(
            nonce=nonce,
            digest=digest,
            body_digest=request.body_digest,
            request_id=request.request_id,
            state=state,
            ticketed=bool(request.ticket_nonce),
            retained_until_ms=request.ticket_expires_at_ms,
        )
        self.board.write(HeldCallTable).put(nonce, held_call)
        return nonce

    def _attach_nonce(self, request: Request, nonce: str) -> None:
        updated = request.with_claim_nonce(nonce)
        self.board.write(RequestTable).put(request.request_id, updated)

    def _decide_without_claim(self, request_id: str, deduplicated: bool, context: Context) -> None:
        result = ClaimResult.WAIVED if deduplicated else ClaimResult.UNAVAILABLE
        context.post(ClaimDecided(request_id, result))

    def _abandon(self, nonce: str, context: Context) -> None:
        held_call = self.board.read(HeldCallTable).get(nonce)
        if held_call is None or held_call.state not in (HeldState.SEEKING, HeldState.SENT):
            return
        self.board.write(SegmentProgressTable).of(segment_of(held_call.digest)).pop_intent(nonce)
        self._end(nonce, HeldState.ABANDONED, ClaimOutcome(ClaimState.RELEASED), context)
        context.act(ClaimAbandoned(nonce))

    def _end(self, nonce: str, state: HeldState, outcome: ClaimOutcome, context: Context) -> None:
        calls = self.board.write(HeldCallTable)
        held_call = calls.get(nonce)
        if held_call is None or held_call.state in (HeldState.SETTLED, HeldState.ABANDONED):
            return
        ended_call = held_call.with_state(state)
        progress = self.board.write(SegmentProgressTable).of(segment_of(held_call.digest))
        compared_revision = progress.compared_revisions.get(nonce, NEVER_WRITTEN)
        if held_call.ticketed or compared_revision == NEVER_WRITTEN:
            ended_call = ended_call.with_written_back(now_ms=context.now_ms)
        else:
            progress.write_backs[nonce] = WriteBack(
                held_call.digest,
                nonce,
                stored_outcome(outcome),
                due_at_ms=context.now_ms + WRITE_BACK_DELAY_MS,
                compared_revision=compared_revision,
            )
        calls.put(nonce, ended_call)
