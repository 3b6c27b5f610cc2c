"""Calls under a ticket: run by the process that minted it, and passed on to it by all others."""

import threading
from dataclasses import dataclass

from azureturn.core import (
    Configuration,
    ConfigurationTable,
    HeldCallTable,
    Request,
    Ticket,
    TicketPlace,
    digest_of,
    ticket_place,
)
from azureturn.daemon._answers import CallerAnswer, identity_headers
from azureturn.daemon._caller_requests import IDEMPOTENCY_HEADER, TIMEOUT_HEADER, new_request
from azureturn.daemon._outcomes import answered_outcome, unknown_outcome
from azureturn.daemon._request_flow import OutgoingRequest, RequestFlow
from azureturn.daemon._services import Services
from azureturn.daemon._tickets import TicketOffice
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

#: Calls of other VMs that run here at once; the rest of the peers' threads stay free.
FORWARDED_CALLS = 16
_forwarded_calls = threading.BoundedSemaphore(FORWARDED_CALLS)


@dataclass(frozen=True)
class TicketedRequest:
    """A call as it came with its ticket."""

    ticket: Ticket
    token: str
    #: Path and query at the upstream.
    path: str
    content_type: str
    body: bytes
    timeout_ms: int
    request_id: str
    #: Whether the caller says that it never sent this call before.
    first_attempt: bool = False


def sent_key(ticket: Ticket) -> str:
    """Return what the upstream gets as idempotency key of a ticketed call."""
    return f"ticket-{ticket.nonce}"


class TicketedCalls:
    """Runs ticketed calls here, or passes them on."""

    def __init__(self, services: Services, tickets: TicketOffice) -> None:
        self._services = services
        self._tickets = tickets

    def serve(self, call: TicketedRequest) -> CallerAnswer:
        """Return the answer to a caller of this VM."""
        place = self._place_of(call.ticket)
        if place is TicketPlace.HERE:
            return self._run_here(call)
        if place is TicketPlace.ELSEWHERE:
            return self._pass_on(call)
        raise _without_attempt(call, ErrorKind.TICKET_INVALID)

    def run_for_peer(self, call: TicketedCall) -> Outcome:
        """Return the outcome of a call that another VM passed on."""
        request = TicketedRequest(
            ticket=self._tickets.read(call.ticket),
            token=call.ticket,
            path=call.path,
            content_type=call.content_type,
            body=call.body or b"",
            timeout_ms=call.timeout_ms,
            request_id=call.request_id,
            first_attempt=bool(call.first_attempt),
        )
        if self._place_of(request.ticket) is not TicketPlace.HERE:
            raise AzureturnError(ErrorKind.TICKET_INVALID, "this process did not mint the ticket")
        if not _forwarded_calls.acquire(blocking=False):
            raise AzureturnError(ErrorKind.OVERLOADED)
        try:
            return self._outcome_of(request)
        finally:
            _forwarded_calls.release()

    def _outcome_of(self, request: TicketedRequest) -> Outcome:
        try:
            answer = self._run_here(request)
        except AzureturnError as error:
            outcome = unknown_outcome()
            outcome.error_kind = error.kind.value
            outcome.run_state = error.run_state.value
            return outcome
        assert isinstance(answer.body, bytes)
        return answered_outcome(answer.status, answer.headers, answer.body, upstream="")

    def _place_of(self, ticket: Ticket) -> TicketPlace:
        vm = self._services.settings.vm.name
        return ticket_place(ticket, vm=vm, boot_id=self._services.boot_id, now_ms=now_ms())

    def _run_here(self, call: TicketedRequest) -> CallerAnswer:
        request, route = self._request_of(call)
        headers = {"Content-Type": call.content_type, IDEMPOTENCY_HEADER: sent_key(call.ticket)}
        outgoing = OutgoingRequest(request, route.method, call.path, headers, call.body, False)
        try:
            return RequestFlow(self._services, outgoing, None).serve()
        except AzureturnError as error:
            raise self._honest(call, request, error) from error

    def _request_of(self, call: TicketedRequest) -> tuple[Request, RouteSettings]:
        configuration = self._services.runtime.inspect(
            lambda core: core.board.table(ConfigurationTable).in_force()
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

    def _honest(
        self, call: TicketedRequest, request: Request, error: AzureturnError
    ) -> AzureturnError:
        """Return the error, ``not_run`` only to a first attempt that nothing overtook.

        Another attempt may wait in a queue here, or be on its way from another VM.
        """
        if error.run_state is not RunState.NOT_RUN:
            return error
        if error.kind is ErrorKind.IDEMPOTENCY_KEY_REUSED:
            return error
        digest = digest_of(request)
        held = self._services.runtime.inspect(
            lambda core: core.board.table(HeldCallTable).live(digest)
        )
        if call.first_attempt and held is None:
            return error
        return AzureturnError(
            error.kind, run_state=RunState.UNKNOWN, retry_after_ms=error.retry_after_ms
        )

    def _pass_on(self, call: TicketedRequest) -> CallerAnswer:
        ticket = call.ticket
        passed = TicketedCall(
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
            outcome = self._services.peers.run_ticketed_call(address, passed)
        except PeerUnreachableError as error:
            raise _without_attempt(call, ErrorKind.KEY_VALUE_UNAVAILABLE) from error
        except PeerUnavailableError as error:
            raise AzureturnError(ErrorKind.OUTCOME_UNKNOWN) from error
        except AzureturnError as error:
            # The minter refused before it took the call in.
            raise _without_attempt(call, error.kind) from error
        return self._passed_answer(call, outcome)

    def _passed_answer(self, call: TicketedRequest, outcome: Outcome) -> CallerAnswer:
        if outcome.state != OutcomeState.ANSWERED:
            raise AzureturnError(
                ErrorKind(outcome.error_kind), run_state=RunState(outcome.run_state)
            )
        headers = {header.name: header.value for header in outcome.headers}
        vm = self._services.settings.vm.name
        identity = identity_headers(
            request_id=call.request_id, vm=vm, upstream=headers.get("Azureturn-Upstream", "")
        )
        return CallerAnswer(outcome.status, {**headers, **identity}, outcome.body)


def _without_attempt(call: TicketedRequest, kind: ErrorKind) -> AzureturnError:
    """Return the error of an attempt that ran nothing: an earlier one may have."""
    if call.first_attempt:
        return AzureturnError(kind, run_state=RunState.NOT_RUN)
    return AzureturnError(ErrorKind.OUTCOME_UNKNOWN, run_state=RunState.UNKNOWN)


def _organisation(configuration: Configuration, name: str) -> OrganisationSettings | None:
    organisations = configuration.shared.organisations
    return next((one for one in organisations if one.name == name), None)
