"""Answers duplicates of a call from the process that holds its claim; they are never run again."""

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
from azureturn.daemon._outcomes import (
    claim_outcome,
    never_ran_outcome,
    stored_answer,
    unknown_outcome,
)
from azureturn.daemon._services import Services
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


def settle_call(services: Services, claim_nonce: str, outcome: Outcome) -> None:
    """Record the outcome of a call that was sent under a claim or a ticket."""
    if not claim_nonce:
        return
    services.outcomes.settle(claim_nonce, outcome)
    services.runtime.submit(CallSettled(claim_nonce, claim_outcome(outcome)))


def release_waiters(services: Services, action: ClaimAbandoned) -> None:
    """Wake the queries waiting for a call that will never be sent under this nonce."""
    services.outcomes.settle(action.claim_nonce, never_ran_outcome())


def answer_query(services: Services, query: OutcomeQuery) -> Outcome:
    """Return, for a peer, the outcome of a call whose claim this process holds."""
    if query.boot_id != services.boot_id:
        return unknown_outcome()
    services.log.info(LogEvent.OUTCOME_ASKED, request_id=query.request_id)
    wait_ms = min(query.wait_ms, QUERY_WAIT_LIMIT_MS)
    if not _waiting_query_slots.acquire(blocking=False):
        return _own_outcome(services, query.claim_nonce, query.call_digest, 0)
    try:
        return _own_outcome(services, query.claim_nonce, query.call_digest, wait_ms)
    finally:
        _waiting_query_slots.release()


def ask_claimant(
    services: Services, request: Request, action: QueryClaimHolder
) -> CallerAnswer | None:
    """Return the holder's answer, or None if the holder reports that the call will never run.

    If the holder has no answer, raise with kind ``outcome_unknown`` and the run state as far as
    it is known.
    """
    stored = action.claim.outcome
    if stored.state is ClaimState.RAN and stored.body_kept:
        return _caller_answer(services, request, stored_answer(stored))
    outcome = _query_until_deadline(services, request, action.claim)
    if outcome.state == OutcomeState.NEVER_RAN:
        return None
    if outcome.state == OutcomeState.ANSWERED:
        return _caller_answer(services, request, outcome)
    if stored.state is ClaimState.RAN:
        message = f"The call ran; its answer, of status {stored.status}, is no longer stored."
        raise AzureturnError(ErrorKind.OUTCOME_UNKNOWN, message, run_state=RunState.RAN)
    raise AzureturnError(ErrorKind.OUTCOME_UNKNOWN, run_state=RunState.UNKNOWN)


def _query_until_deadline(services: Services, request: Request, claim: Claim) -> Outcome:
    if claim.outcome.state is ClaimState.UNKNOWN:
        return unknown_outcome()
    digest = call_digest_of(request)
    while True:
        remaining_ms = max(0, request.deadline_ms - now_ms())
        asked_at_ms = now_ms()
        if claim.holder.boot_id == services.boot_id:
            outcome = _own_outcome(services, claim.nonce, digest, remaining_ms)
        else:
            outcome = _query_peer(services, request, claim, min(remaining_ms, QUERY_WAIT_LIMIT_MS))
        if outcome.state != OutcomeState.PENDING or now_ms() >= request.deadline_ms:
            return outcome
        if now_ms() - asked_at_ms < _RETRY_DELAY_MS:
            time.sleep(_RETRY_DELAY_MS / _MS_PER_S)


def _own_outcome(services: Services, nonce: str, digest: str, wait_ms: int) -> Outcome:
    held = services.runtime.inspect(lambda core: core.board.table(HeldCallTable).get(nonce))
    if held is None or held.digest != digest:
        return unknown_outcome()
    if held.state is HeldState.ABANDONED:
        return never_ran_outcome()
    if held.state is HeldState.SETTLED:
        return services.outcomes.find_settled(nonce) or unknown_outcome()
    return services.outcomes.wait_for(nonce, wait_ms=wait_ms)


def _query_peer(services: Services, request: Request, claim: Claim, wait_ms: int) -> Outcome:
    holder = claim.holder
    query = OutcomeQuery(
        call_digest=call_digest_of(request),
        claim_nonce=claim.nonce,
        boot_id=holder.boot_id,
        wait_ms=wait_ms,
        request_id=request.request_id,
    )
    try:
        return services.peers.find_outcome(PeerAddress(holder.host, holder.peer_port), query)
    except PeerUnavailableError:
        return unknown_outcome()


def _caller_answer(services: Services, request: Request, outcome: Outcome) -> CallerAnswer:
    headers = {header.name: header.value for header in outcome.headers}
    identity = identity_headers(
        request_id=request.request_id,
        vm=services.settings.vm.name,
        upstream=outcome.upstream,
    )
    return CallerAnswer(
        outcome.status, {**headers, **identity, DUPLICATE_HEADER: "true"}, outcome.body
    )
