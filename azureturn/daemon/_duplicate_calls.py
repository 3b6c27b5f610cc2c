"""Answers duplicates of a call with its outcome, which the process that holds its claim knows.

A duplicate is a request with the same idempotency key as an earlier one. It is never run while
the first call may have run.
"""

import threading
import time

from azureturn.core import (
    CallSettled,
    Claim,
    ClaimAbandoned,
    ClaimState,
    HeldCallTable,
    HeldState,
    QueryClaimHolder,
    Request,
    call_digest_of,
)
from azureturn.daemon._answers import CallerAnswer, identity_headers
from azureturn.daemon._context import DaemonContext
from azureturn.daemon._outcomes import (
    claim_outcome,
    never_ran_outcome,
    stored_answer,
    unknown_outcome,
)
from azureturn.errors import AzureturnError, ErrorKind, PeerUnavailableError, RunState
from azureturn.observability import LogEvent
from azureturn.peers import Outcome, OutcomeQuery, OutcomeState, PeerAddress
from azureturn.serving import now_ms

DUPLICATE_HEADER = "Azureturn-Duplicate"
#: Maximum time that a peer's outcome query blocks here; the peer repeats the query.
QUERY_WAIT_LIMIT_MS = 1_000
#: Outcome queries that may block concurrently; further ones return the current state at once.
WAITING_QUERY_LIMIT = 8
#: Delay before repeating a query that was answered without blocking.
_RETRY_DELAY_MS = 50
_MS_PER_S = 1_000

_waiting_query_slots = threading.BoundedSemaphore(WAITING_QUERY_LIMIT)


def settle_call(context: DaemonContext, claim_nonce: str, outcome: Outcome) -> None:
    """Record the outcome of a call that was sent under a claim or a ticket."""
    if not claim_nonce:
        return
    context.outcomes.settle(claim_nonce, outcome)
    context.runtime.submit(CallSettled(claim_nonce, claim_outcome(outcome)))


def release_waiters(context: DaemonContext, action: ClaimAbandoned) -> None:
    """Wake the queries that wait for a call which will never be sent under the claim's nonce."""
    context.outcomes.settle(action.claim_nonce, never_ran_outcome())


def answer_query(context: DaemonContext, query: OutcomeQuery) -> Outcome:
    """Return, for a peer, the outcome of a call whose claim this process holds."""
    if query.boot_id != context.boot_id:
        return unknown_outcome()
    context.log.info(LogEvent.OUTCOME_ASKED, request_id=query.request_id)
    wait_ms = min(query.wait_ms, QUERY_WAIT_LIMIT_MS)
    if not _waiting_query_slots.acquire(blocking=False):
        return _local_outcome(context, query.claim_nonce, query.call_digest, 0)
    try:
        return _local_outcome(context, query.claim_nonce, query.call_digest, wait_ms)
    finally:
        _waiting_query_slots.release()


def query_claim_holder(
    context: DaemonContext, request: Request, action: QueryClaimHolder
) -> CallerAnswer | None:
    """Return the holder's answer, or None if the holder reports that the call will never run.

    If the holder has no answer, raise with kind ``outcome_unknown`` and the run state as far as
    it is known.
    """
    stored_outcome = action.claim.outcome
    if stored_outcome.state is ClaimState.RAN and stored_outcome.body_kept:
        return _caller_answer(context, request, stored_answer(stored_outcome))
    outcome = _query_until_deadline(context, request, action.claim)
    if outcome.state == OutcomeState.NEVER_RAN:
        return None
    if outcome.state == OutcomeState.ANSWERED:
        return _caller_answer(context, request, outcome)
    if stored_outcome.state is ClaimState.RAN:
        message = (
            f"The call ran; its answer, of status {stored_outcome.status}, is no longer stored."
        )
        raise AzureturnError(ErrorKind.OUTCOME_UNKNOWN, message, run_state=RunState.RAN)
    raise AzureturnError(ErrorKind.OUTCOME_UNKNOWN, run_state=RunState.UNKNOWN)


def _query_until_deadline(context: DaemonContext, request: Request, claim: Claim) -> Outcome:
    if claim.outcome.state is ClaimState.UNKNOWN:
        return unknown_outcome()
    digest = call_digest_of(request)
    while True:
        remaining_ms = max(0, request.deadline_ms - now_ms())
        asked_at_ms = now_ms()
        if claim.holder.boot_id == context.boot_id:
            outcome = _local_outcome(context, claim.nonce, digest, remaining_ms)
        else:
            outcome = _query_peer(context, request, claim, min(remaining_ms, QUERY_WAIT_LIMIT_MS))
        if outcome.state != OutcomeState.PENDING or now_ms() >= request.deadline_ms:
            return outcome
        if now_ms() - asked_at_ms < _RETRY_DELAY_MS:
            time.sleep(_RETRY_DELAY_MS / _MS_PER_S)


def _local_outcome(context: DaemonContext, nonce: str, digest: str, wait_ms: int) -> Outcome:
    call = context.runtime.inspect(lambda core: core.board.table(HeldCallTable).get(nonce))
    if call is None or call.digest != digest:
        return unknown_outcome()
    if call.state is HeldState.ABANDONED:
        return never_ran_outcome()
    if call.state is HeldState.SETTLED:
        return context.outcomes.find_settled(nonce) or unknown_outcome()
    return context.outcomes.wait_for(nonce, wait_ms=wait_ms)


def _query_peer(context: DaemonContext, request: Request, claim: Claim, wait_ms: int) -> Outcome:
    holder = claim.holder
    query = OutcomeQuery(
        call_digest=call_digest_of(request),
        claim_nonce=claim.nonce,
        boot_id=holder.boot_id,
        wait_ms=wait_ms,
        request_id=request.request_id,
    )
    try:
        return context.peers.find_outcome(PeerAddress(holder.host, holder.peer_port), query)
    except PeerUnavailableError:
        return unknown_outcome()


def _caller_answer(context: DaemonContext, request: Request, outcome: Outcome) -> CallerAnswer:
    headers = {header.name: header.value for header in outcome.headers}
    identity = identity_headers(
        request_id=request.request_id,
        vm=context.settings.vm.name,
        upstream=outcome.upstream,
    )
    return CallerAnswer(
        outcome.status, {**headers, **identity, DUPLICATE_HEADER: "true"}, outcome.body
    )
