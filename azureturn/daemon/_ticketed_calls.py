"""Calls with a ticket, which run only in the process that issued the ticket.

Every other process forwards such a call to that process.
"""

import threading
from dataclasses import dataclass

from azureturn.core import (
    Configuration,
    ConfigurationTable,
    HeldCallTable,
    Request,
    Ticket,
    TicketStatus,
    call_digest_of,
    ticket_status,
)
from azureturn.daemon._answers import CallerAnswer, identity_headers
from azureturn.daemon._caller_requests import IDEMPOTENCY_HEADER, TIMEOUT_HEADER, new_request
from azureturn.daemon._context import DaemonContext
from azureturn.daemon._outcomes import answered_outcome, unknown_outcome
from azureturn.daemon._request_flow import OutgoingRequest, RequestFlow
from azureturn.daemon._tickets import TicketIssuer
from azureturn.errors import (
    AzureturnError,
    CallerError,
    ErrorKind,
    PeerUnavailableError,
    PeerUnreachableError,
    RunState,
)
from azureturn.peers import Outcome, OutcomeState, PeerAddress, TicketedCall
from azureturn.serving import now_ms
from azureturn.settings import OrganisationSettings, RouteSettings, UpstreamKind

#: Forwarded calls that may run concurrently, so that other calls of peers still find a thread.
FORWARDED_CALL_LIMIT = 16
_forwarded_call_slots = threading.BoundedSemaphore(FORWARDED_CALL_LIMIT)


@dataclass(frozen=True)
class TicketedRequest:
    """A call as received, with its ticket."""

    ticket: Ticket
    #: The signed form in which the ticket was received.
    token: str
    #: Path and query at the upstream.
    path: str
    content_type: str
    body: bytes
    timeout_ms: int
    request_id: str
    #: Whether the caller declares that it has not sent this call before.
    first_attempt: bool = False


def upstream_idempotency_key(ticket: Ticket) -> str:
    """Return the idempotency key that is sent to the upstream with a ticketed call."""
    return f"ticket-{ticket.nonce}"


class TicketedCalls:
    """Runs ticketed calls here, or forwards them to the process that issued the ticket."""

    def __init__(self, context: DaemonContext, tickets: TicketIssuer) -> None:
        self._context = context
        self._tickets = tickets

    def serve(self, call: TicketedRequest) -> CallerAnswer:
        """Return the answer to a caller of this VM."""
        location = self._location_of(call.ticket)
        if location is TicketStatus.THIS_PROCESS:
            return self._run_here(call)
        if location is TicketStatus.OTHER_VM:
            return self._forward(call)
        raise _not_run_error(call, ErrorKind.TICKET_INVALID)

    def run_for_peer(self, forwarded_call: TicketedCall) -> Outcome:
        """Run a call that another VM forwarded, and return its outcome."""
        call = TicketedRequest(
            ticket=self._tickets.read(forwarded_call.ticket),
            token=forwarded_call.ticket,
            path=forwarded_call.path,
            content_type=forwarded_call.content_type,
            body=forwarded_call.body or b"",
            timeout_ms=forwarded_call.timeout_ms,
            request_id=forwarded_call.request_id,
            first_attempt=bool(forwarded_call.first_attempt),
        )
        if self._location_of(call.ticket) is not TicketStatus.THIS_PROCESS:
            raise AzureturnError(ErrorKind.TICKET_INVALID, "this process did not issue the ticket")
        if not _forwarded_call_slots.acquire(blocking=False):
            raise AzureturnError(ErrorKind.OVERLOADED)
        try:
            return self._outcome_of(call)
        finally:
            _forwarded_call_slots.release()

    def _outcome_of(self, call: TicketedRequest) -> Outcome:
        try:
            answer = self._run_here(call)
        except AzureturnError as error:
            outcome = unknown_outcome()
            outcome.error_kind = error.kind.value
            outcome.run_state = error.run_state.value
            return outcome
        assert isinstance(answer.body, bytes)
        return answered_outcome(answer.status, answer.headers, answer.body, upstream="")

    def _location_of(self, ticket: Ticket) -> TicketStatus:
        vm = self._context.settings.vm.name
        return ticket_status(ticket, vm=vm, boot_id=self._context.boot_id, now_ms=now_ms())

    def _run_here(self, call: TicketedRequest) -> CallerAnswer:
        request, route = self._request_of(call)
        headers = {
            "Content-Type": call.content_type,
            IDEMPOTENCY_HEADER: upstream_idempotency_key(call.ticket),
        }
        outgoing = OutgoingRequest(request, route.method, call.path, headers, call.body, False)
        try:
            return RequestFlow(self._context, outgoing, None).serve()
        except AzureturnError as error:
            raise self._with_checked_run_state(call, request, error) from error

    def _request_of(self, call: TicketedRequest) -> tuple[Request, RouteSettings]:
        configuration = self._context.runtime.inspect(
            lambda core: core.board.table(ConfigurationTable).get_active()
        )
        route = configuration.route(call.ticket.route)
        organisation = _organisation(configuration, call.ticket.organisation)
        if route is None or organisation is None:
            raise CallerError(ErrorKind.UNKNOWN_ROUTE)
        request = new_request(
            {TIMEOUT_HEADER: str(call.timeout_ms)},
            request_id=call.request_id,
            organisation=organisation,
            route=route,
            configuration=configuration,
            kind=UpstreamKind.PLAIN_SERVICE,
            body=call.body,
            arrived_at_ms=now_ms(),
            path=call.path,
            ticket=call.ticket,
        )
        return request, route

    def _with_checked_run_state(
        self, call: TicketedRequest, request: Request, error: AzureturnError
    ) -> AzureturnError:
        """Return the error, with ``not_run`` changed to ``unknown`` if another attempt may run.

        ``not_run`` is kept only if the caller declares a first attempt and this process has no
        other attempt of the call: another attempt may be queued here or be in transit from another
        VM.
        """
        if error.run_state is not RunState.NOT_RUN:
            return error
        if error.kind is ErrorKind.IDEMPOTENCY_KEY_REUSED:
            return error
        digest = call_digest_of(request)
        live_call = self._context.runtime.inspect(
            lambda core: core.board.table(HeldCallTable).live(digest)
        )
        if call.first_attempt and live_call is None:
            return error
        return AzureturnError(
            error.kind, run_state=RunState.UNKNOWN, retry_after_ms=error.retry_after_ms
        )

    def _forward(self, call: TicketedRequest) -> CallerAnswer:
        ticket = call.ticket
        forwarded_call = TicketedCall(
            ticket=call.token,
            path=call.path,
            content_type=call.content_type,
            body=call.body,
            timeout_ms=call.timeout_ms,
            request_id=call.request_id,
            first_attempt=call.first_attempt,
        )
        try:
            address = PeerAddress(ticket.host, ticket.peer_port)
            outcome = self._context.peers.run_ticketed_call(address, forwarded_call)
        except PeerUnreachableError as error:
            raise _not_run_error(call, ErrorKind.KEY_VALUE_UNAVAILABLE) from error
        except PeerUnavailableError as error:
            raise AzureturnError(ErrorKind.OUTCOME_UNKNOWN) from error
        except AzureturnError as error:
            # The process that issued the ticket refused the call before accepting it.
            raise _not_run_error(call, error.kind) from error
        return self._forwarded_answer(call, outcome)

    def _forwarded_answer(self, call: TicketedRequest, outcome: Outcome) -> CallerAnswer:
        if outcome.state != OutcomeState.ANSWERED:
            raise AzureturnError(
                ErrorKind(outcome.error_kind), run_state=RunState(outcome.run_state)
            )
        headers = {header.name: header.value for header in outcome.headers}
        vm = self._context.settings.vm.name
        identity = identity_headers(
            request_id=call.request_id, vm=vm, upstream=headers.get("Azureturn-Upstream", "")
        )
        return CallerAnswer(outcome.status, {**headers, **identity}, outcome.body)


def _not_run_error(call: TicketedRequest, kind: ErrorKind) -> AzureturnError:
    """Return the error of an attempt that was not run.

    An earlier attempt may have run, so the outcome is unknown unless this is the first attempt.
    """
    if call.first_attempt:
        return AzureturnError(kind, run_state=RunState.NOT_RUN)
    return AzureturnError(ErrorKind.OUTCOME_UNKNOWN, run_state=RunState.UNKNOWN)


def _organisation(configuration: Configuration, name: str) -> OrganisationSettings | None:
    organisations = configuration.shared.organisations
    return next((organisation for organisation in organisations if organisation.name == name), None)
