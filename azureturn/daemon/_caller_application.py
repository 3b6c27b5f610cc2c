"""The CherryPy application that serves callers over HTTP."""

import json
import re
from collections.abc import Callable, Iterator, Mapping
from dataclasses import replace
from typing import Any

import cherrypy

from azureturn.core import TICKET_LIFETIME_MS, Configuration, ConfigurationTable, Ticket
from azureturn.daemon._answers import CallerAnswer, error_body, error_headers, identity_headers
from azureturn.daemon._caller_requests import (
    IDEMPOTENCY_HEADER,
    authenticated_organisation,
    chat_route,
    check_header,
    new_request,
    parse_chat_body,
    request_timeout_ms,
    requested_ticket_route,
)
from azureturn.daemon._caller_server import (
    CALLER_SOCKET_NAME,
    REQUEST_END_NAME,
    SET_TIME_LIMIT_NAME,
)
from azureturn.daemon._context import DaemonContext
from azureturn.daemon._earlier_attempts import downgrade_not_run
from azureturn.daemon._offers import (
    FORWARD_CALL,
    FORWARDED_HEADER,
    CallerMessage,
    OfferAdapter,
)
from azureturn.daemon._request_flow import OutgoingRequest, RequestFlow
from azureturn.daemon._ticketed_calls import TicketedCalls, TicketedRequest
from azureturn.daemon._tickets import TICKET_HEADER, TicketIssuer, is_first_attempt
from azureturn.errors import ERROR_RESPONSES, AzureturnError, CallerError, ErrorKind, RefusedError
from azureturn.observability import LogEvent, describe_error
from azureturn.serving import RequestEnd, now_ms, read_whole_body
from azureturn.settings import RouteSettings, UpstreamKind
from azureturn.upstreams import streaming_request_body

CONTENT_TYPE_LIMIT = 255
_CHAT_PATH = "/v1/chat/completions"
_SAFE_PATH = re.compile(r"^[A-Za-z0-9._~!$&'()*+,;=:@/%-]*$")

_CONFIG = {
    "/": {
        "request.process_request_body": False,
        "request.show_tracebacks": False,
        "tools.trailing_slash.on": False,
        "response.headers.server": "azureturn",
    }
}


class CallerApplication:
    """Routes requests by path and turns every error into an HTTP answer."""

    def __init__(
        self,
        context: DaemonContext,
        offers: OfferAdapter,
        *,
        tickets: TicketIssuer,
        ticketed_calls: TicketedCalls,
        is_ready: Callable[[], bool],
        is_finishing: Callable[[], bool],
    ) -> None:
        self._context = context
        self._offers = offers
        self._tickets = tickets
        self._ticketed_calls = ticketed_calls
        self._is_ready = is_ready
        #: Whether a planned stop has reached the stage in which new requests are refused.
        self._is_finishing = is_finishing

    def wsgi_application(self) -> Any:
        """Return the WSGI application."""
        cherrypy.config.update(
            {"environment": "embedded", "log.screen": False, "engine.autoreload.on": False}
        )
        wsgi_application = cherrypy.Application(self, "", config=_CONFIG)
        # azureturn logs requests itself; CherryPy would format access-log lines that are
        # discarded.
        wsgi_application.log.access = lambda: None
        return wsgi_application

    @cherrypy.expose  # type: ignore[untyped-decorator]
    def default(self, *path: str, **_query: str) -> bytes | Iterator[bytes]:
        """Handle a request; CherryPy calls this method for every path."""
        request_id = self._context.new_request_id()
        try:
            request_id = self._forwarded_request_id() or request_id
            _request_end().request_id = request_id
            return self._send(self._serve(request_id, path))
        except AzureturnError as error:
            downgrade_not_run(error, cherrypy.request.headers)
            return self._send(self._refusal_answer(error, request_id))
        except Exception as error:  # noqa: BLE001
            self._context.log.error(
                LogEvent.INTERNAL_ERROR, request_id=request_id, error=describe_error(error)
            )
            failure = AzureturnError(ErrorKind.INTERNAL)
            return self._send(self._refusal_answer(failure, request_id))

    def _forwarded_request_id(self) -> str:
        """Return the id of a request forwarded by another VM, or an empty string."""
        signed = cherrypy.request.headers.get(FORWARDED_HEADER)
        return "" if signed is None else self._context.signer.open_text(FORWARD_CALL, signed)

    def _serve(self, request_id: str, path: tuple[str, ...]) -> CallerAnswer:
        method = cherrypy.request.method
        if path == ("healthz",):
            return self._json_answer(request_id, 200, {"status": "alive"})
        if path == ("readyz",):
            ready = self._is_ready()
            return self._json_answer(request_id, 200 if ready else 503, {"ready": ready})
        if self._is_finishing():
            raise RefusedError(ErrorKind.STOPPING)
        if path == ("v1", "models"):
            return self._list_models(request_id)
        if path == ("v1", "chat", "completions"):
            if method != "POST":
                raise CallerError(ErrorKind.METHOD_NOT_ALLOWED)
            return self._serve_chat(request_id)
        if path == ("tickets",):
            if method != "POST":
                raise CallerError(ErrorKind.METHOD_NOT_ALLOWED)
            return self._issue_ticket(request_id)
        if len(path) >= 2 and path[0] == "routes":
            return self._serve_plain_service(request_id, path[1], path[2:])
        raise CallerError(ErrorKind.NOT_FOUND)

    def _serve_chat(self, request_id: str) -> CallerAnswer:
        arrived_at_ms = now_ms()
        headers = cherrypy.request.headers
        configuration = self._configuration()
        organisation = authenticated_organisation(headers, configuration)
        body = self._read_body()
        chat = parse_chat_body(body)
        route = chat_route(headers, chat.model, configuration)
        request = new_request(
            headers,
            request_id=request_id,
            organisation=organisation,
            route=route,
            configuration=configuration,
            kind=UpstreamKind.MODEL_ENGINE,
            body=body,
            arrived_at_ms=arrived_at_ms,
            chat=chat,
        )
        upstream_headers = {"Content-Type": "application/json"}
        upstream_body = body if chat.stream else streaming_request_body(chat.document)
        outgoing = OutgoingRequest(
            request,
            "POST",
            _CHAT_PATH,
            upstream_headers,
            upstream_body,
            chat.stream,
            self._forwardable_message(body),
        )
        return self._serve_request(outgoing)

    def _serve_plain_service(
        self, request_id: str, route_name: str, subpath: tuple[str, ...]
    ) -> CallerAnswer:
        arrived_at_ms = now_ms()
        headers = cherrypy.request.headers
        configuration = self._configuration()
        organisation = authenticated_organisation(headers, configuration)
        route = configuration.route(route_name)
        if route is None or not route.path:
            raise CallerError(ErrorKind.UNKNOWN_ROUTE)
        if cherrypy.request.method != route.method:
            raise CallerError(ErrorKind.METHOD_NOT_ALLOWED)
        path = "/".join((route.path.rstrip("/"), *subpath))
        if not _SAFE_PATH.match(path) or ".." in subpath:
            raise CallerError(ErrorKind.MALFORMED_REQUEST, "the path contains invalid characters")
        if cherrypy.request.query_string:
            path += "?" + cherrypy.request.query_string
        body = self._read_body()
        ticket = self._tickets.ticket_of(headers, organisation, route)
        if ticket is not None:
            return self._serve_ticketed_call(request_id, ticket, route, path, body)
        request = new_request(
            headers,
            request_id=request_id,
            organisation=organisation,
            route=route,
            configuration=configuration,
            kind=UpstreamKind.PLAIN_SERVICE,
            body=body,
            arrived_at_ms=arrived_at_ms,
            path=path,
        )
        upstream_headers = {"Content-Type": _content_type(headers)}
        if request.idempotency_key:
            upstream_headers[IDEMPOTENCY_HEADER] = request.idempotency_key
        outgoing = OutgoingRequest(
            request,
            route.method,
            path,
            upstream_headers,
            body,
            False,
            self._forwardable_message(body),
        )
        return self._serve_request(outgoing)

    def _serve_ticketed_call(
        self, request_id: str, ticket: Ticket, route: RouteSettings, path: str, body: bytes
    ) -> CallerAnswer:
        headers = cherrypy.request.headers
        if IDEMPOTENCY_HEADER in headers:
            raise CallerError(
                ErrorKind.BAD_HEADER, "a ticket cannot be combined with an idempotency key"
            )
        call = TicketedRequest(
            ticket=ticket,
            token=headers[TICKET_HEADER],
            path=path,
            content_type=_content_type(headers),
            body=body,
            timeout_ms=request_timeout_ms(headers, route),
            request_id=request_id,
            first_attempt=is_first_attempt(headers),
        )
        # The call may run in another process, and goes on if a planned stop ends the request.
        if not _request_end().begin_run():
            raise RefusedError(ErrorKind.STOPPING)
        return self._ticketed_calls.serve(call)

    def _issue_ticket(self, request_id: str) -> CallerAnswer:
        """Answer with a ticket for one call and the URL to which the call is sent."""
        configuration = self._configuration()
        organisation = authenticated_organisation(cherrypy.request.headers, configuration)
        route = configuration.route(requested_ticket_route(self._read_body()))
        if route is None or not route.path:
            raise CallerError(ErrorKind.UNKNOWN_ROUTE)
        if route.idempotent:
            raise CallerError(ErrorKind.MALFORMED_REQUEST, "an idempotent route needs no ticket")
        vm = self._context.settings.vm
        token = self._tickets.issue(organisation.name, route.name)
        document = {
            "ticket": token,
            "header": TICKET_HEADER,
            "url": f"http://{vm.host}:{vm.port}/routes/{route.name}",
            "expires_in_ms": TICKET_LIFETIME_MS,
        }
        return self._json_answer(request_id, 201, document)

    def _serve_request(self, outgoing: OutgoingRequest) -> CallerAnswer:
        environ = cherrypy.request.wsgi_environ
        caller = environ[CALLER_SOCKET_NAME]
        environ[SET_TIME_LIMIT_NAME](outgoing.request.deadline_ms - now_ms())
        if FORWARDED_HEADER in cherrypy.request.headers:
            # A forwarded request must not be offered to further VMs.
            outgoing = replace(outgoing, request=replace(outgoing.request, offered=True))
        return RequestFlow(
            self._context, outgoing, caller, offers=self._offers, end=_request_end()
        ).serve()

    @staticmethod
    def _forwardable_message(body: bytes) -> CallerMessage:
        request = cherrypy.request
        path = request.path_info
        if request.query_string:
            path += "?" + request.query_string
        return CallerMessage.from_request(request.method, path, dict(request.headers), body)

    def _list_models(self, request_id: str) -> CallerAnswer:
        configuration = self._configuration()
        authenticated_organisation(cherrypy.request.headers, configuration)
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "azureturn"}
            for name in sorted(configuration.models)
        ]
        return self._json_answer(request_id, 200, {"object": "list", "data": models})

    def _configuration(self) -> Configuration:
        return self._context.runtime.inspect(
            lambda core: core.board.table(ConfigurationTable).get_active()
        )

    def _read_body(self) -> bytes:
        limit = self._context.settings.daemon.body_limit_bytes
        content_length_header = cherrypy.request.headers.get("Content-Length")
        return read_whole_body(
            cherrypy.request.rfile.read, content_length_header, limit_bytes=limit
        )

    def _refusal_answer(self, error: AzureturnError, request_id: str) -> CallerAnswer:
        self._context.accounting.request_refused(request_id, error)
        headers = error_headers(error, request_id=request_id, vm=self._context.settings.vm.name)
        body = json.dumps(error_body(error, request_id)).encode()
        return CallerAnswer(ERROR_RESPONSES[error.kind].status, headers, body)

    def _json_answer(self, request_id: str, status: int, document: Any) -> CallerAnswer:
        headers = identity_headers(request_id=request_id, vm=self._context.settings.vm.name)
        headers["Content-Type"] = "application/json"
        return CallerAnswer(status, headers, json.dumps(document).encode())

    def _send(self, answer: CallerAnswer) -> bytes | Iterator[bytes]:
        response = cherrypy.response
        response.status = answer.status
        response.headers.pop("Content-Type", None)
        response.headers.update(answer.headers)
        if isinstance(answer.body, bytes):
            return answer.body
        response.stream = True
        return answer.body


def _request_end() -> RequestEnd:
    end: RequestEnd = cherrypy.request.wsgi_environ[REQUEST_END_NAME]
    return end


def _content_type(headers: Mapping[str, str]) -> str:
    content_type = headers.get("Content-Type", "application/octet-stream")
    check_header("Content-Type", content_type, limit=CONTENT_TYPE_LIMIT)
    return content_type
