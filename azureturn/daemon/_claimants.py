"""A duplicate shares the answer of the process that holds the claim; it is never run again."""

import threading
import time

from azureturn.core import (
    AskClaimant,
    CallSettled,
    Claim,
    ClaimAbandoned,
    ClaimState,
    HeldCallTable,
    HeldState,
    Request,
    digest_of,
)
from azureturn.daemon._answers import CallerAnswer, identity_headers
from azureturn.daemon._outcomes import (
    claim_outcome,
    kept_answer,
    never_ran_outcome,
    unknown_outcome,
)
from azureturn.daemon._services import Services
from azureturn.errors import AzureturnError, ErrorKind, PeerUnavailableError, RunState
from azureturn.observability import LogEvent
from azureturn.peers import Outcome, OutcomeQuery, OutcomeState, PeerAddress
from azureturn.serving import now_ms

DUPLICATE_HEADER = "Azureturn-Duplicate"
#: Longest that a peer's question waits here; the peer asks again.
QUERY_WAIT_MS = 1_000
#: Questions that wait at once; further ones are answered ``pending`` without a wait.
WAITING_QUERIES = 8
#: Pause before a question is asked again that was answered without a wait.
_ASK_AGAIN_MS = 50
_MS_PER_S = 1_000

_waiting_queries = threading.BoundedSemaphore(WAITING_QUERIES)


def settle_call(services: Services, claim_nonce: str, outcome: Outcome) -> None:
    """Note how a call that was sent under a claim or a ticket has ended."""
    if not claim_nonce:
        return
    services.outcomes.settle(claim_nonce, outcome)
    services.runtime.submit(CallSettled(claim_nonce, claim_outcome(outcome)))


def release_waiting(services: Services, action: ClaimAbandoned) -> None:
    """Tell those who wait for a call that it will never be sent under this nonce."""
    services.outcomes.settle(action.claim_nonce, never_ran_outcome())


def answer_query(services: Services, query: OutcomeQuery) -> Outcome:
    """Return to a peer what this process knows of a call that it holds the claim of."""
    if query.boot_id != services.boot_id:
        return unknown_outcome()
    services.log.info(LogEvent.OUTCOME_ASKED, request_id=query.request_id)
    wait_ms = min(query.wait_ms, QUERY_WAIT_MS)
    if not _waiting_queries.acquire(blocking=False):
        return _own_outcome(services, query.claim_nonce, query.call_digest, 0)
    try:
        return _own_outcome(services, query.claim_nonce, query.call_digest, wait_ms)
    finally:
        _waiting_queries.release()


def ask_claimant(services: Services, request: Request, action: AskClaimant) -> CallerAnswer | None:
    """Return the holder's answer, or None where the holder says that it will never run.

    Where the holder has no answer to give, the honest error is raised.
    """
    kept = action.claim.outcome
    if kept.state is ClaimState.RAN and kept.body_kept:
        return _caller_answer(services, request, kept_answer(kept))
    outcome = _ask_until_deadline(services, request, action.claim)
    if outcome.state == OutcomeState.NEVER_RAN:
        return None
    if outcome.state == OutcomeState.ANSWERED:
        return _caller_answer(services, request, outcome)
    if kept.state is ClaimState.RAN:
        message = f"The call ran; its answer, of status {kept.status}, is no longer kept."
        raise AzureturnError(ErrorKind.OUTCOME_UNKNOWN, message, run_state=RunState.RAN)
    raise AzureturnError(ErrorKind.OUTCOME_UNKNOWN, run_state=RunState.UNKNOWN)


def _ask_until_deadline(services: Services, request: Request, claim: Claim) -> Outcome:
    if claim.outcome.state is ClaimState.UNKNOWN:
        return unknown_outcome()
    digest = digest_of(request)
    while True:
        left_ms = max(0, request.deadline_ms - now_ms())
        asked_at_ms = now_ms()
        if claim.holder.boot_id == services.boot_id:
            outcome = _own_outcome(services, claim.nonce, digest, left_ms)
        else:
            outcome = _ask_peer(services, request, claim, min(left_ms, QUERY_WAIT_MS))
        if outcome.state != OutcomeState.PENDING or now_ms() >= request.deadline_ms:
            return outcome
        if now_ms() - asked_at_ms < _ASK_AGAIN_MS:
            time.sleep(_ASK_AGAIN_MS / _MS_PER_S)


def _own_outcome(services: Services, nonce: str, digest: str, wait_ms: int) -> Outcome:
    held = services.runtime.inspect(lambda core: core.board.table(HeldCallTable).get(nonce))
    if held is None or held.digest != digest:
        return unknown_outcome()
    if held.state is HeldState.ABANDONED:
        return never_ran_outcome()
    if held.state is HeldState.SETTLED:
        return services.outcomes.known(nonce) or unknown_outcome()
    return services.outcomes.find(nonce, wait_ms=wait_ms)


def _ask_peer(services: Services, request: Request, claim: Claim, wait_ms: int) -> Outcome:
    holder = claim.holder
    query = OutcomeQuery(
        call_digest=digest_of(request),
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
