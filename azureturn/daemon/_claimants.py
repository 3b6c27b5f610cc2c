"""A duplicate shares the answer of the VM that holds the claim; it is never run again."""

from azureturn.core import AskClaimant, Request
from azureturn.daemon._answers import CallerAnswer, identity_headers
from azureturn.daemon._runtime import now_ms
from azureturn.daemon._services import Services
from azureturn.errors import (
    AzureturnError,
    CallerError,
    ErrorKind,
    PeerUnavailableError,
    RunState,
    UpstreamError,
)
from azureturn.peers import Outcome, OutcomeQuery, OutcomeState, PeerAddress

DUPLICATE_HEADER = "Azureturn-Duplicate"


def ask_claimant(services: Services, request: Request, action: AskClaimant) -> CallerAnswer:
    """Return the holder's answer, or raise the honest error where the holder has none."""
    wait_ms = max(0, request.deadline_ms - now_ms())
    key = (request.organisation, request.idempotency_key)
    if action.holder.boot_id == services.boot_id:
        known_digest = services.outcomes.body_digest(key)
        if known_digest not in (None, request.body_digest):
            raise CallerError(ErrorKind.IDEMPOTENCY_KEY_REUSED)
        outcome = services.outcomes.find(key, wait_ms=wait_ms)
    else:
        outcome = _ask_peer(services, request, action, wait_ms)
    return _answer_of(services, request, outcome)


def _ask_peer(services: Services, request: Request, action: AskClaimant, wait_ms: int) -> Outcome:
    query = OutcomeQuery(
        organisation=request.organisation,
        idempotency_key=request.idempotency_key,
        boot_id=action.holder.boot_id,
        wait_ms=wait_ms,
        body_digest=request.body_digest,
    )
    try:
        address = PeerAddress(action.holder.host, action.holder.peer_port)
        return services.peers.find_outcome(address, query)
    except PeerUnavailableError as error:
        raise UpstreamError(ErrorKind.OUTCOME_UNKNOWN, run_state=RunState.UNKNOWN) from error


def _answer_of(services: Services, request: Request, outcome: Outcome) -> CallerAnswer:
    if outcome.state != OutcomeState.ANSWERED:
        raise AzureturnError(ErrorKind.OUTCOME_UNKNOWN, run_state=RunState.UNKNOWN)
    headers = {header.name: header.value for header in outcome.headers}
    identity = identity_headers(
        request_id=request.request_id,
        vm=services.settings.vm.name,
        upstream=outcome.upstream,
    )
    return CallerAnswer(
        outcome.status, {**headers, **identity, DUPLICATE_HEADER: "true"}, outcome.body
    )
