"""The HTTP servers of the gateway: one for callers, others for status pages of this VM."""

import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from cheroot.server import Gateway

from azureturn.errors import AzureturnError
from azureturn.gateway.exchange._caller import CallerChannel
from azureturn.gateway.exchange._exchange import Exchange, ExchangeAbortedError
from azureturn.gateway.exchange._services import ExchangeServices
from azureturn.observability import EventLog, LogEvent, Metric, describe_error
from azureturn.serving import BoundedServer, RefusalMessage, ServerLimits
from azureturn.tasks import Priority, TaskLoop

#: Limits that the HTTP library enforces. They apply even before the configuration is known, and
#: regardless of the limits in it.
_HEADER_LIMIT_BYTES = 65_536
_HEADER_TIMEOUT_MS = 10_000
_BODY_TIMEOUT_MS = 15_000
#: Longer than callers keep an idle connection open.
_IDLE_TIMEOUT_MS = 60_000
_STATUS_REQUESTS = 16


class GatewayServer(BoundedServer):
    """HTTP server for callers; handles each request as an :class:`Exchange`."""

    def __init__(self, services: ExchangeServices, loop: TaskLoop) -> None:
        settings = services.settings()
        vm, limits = settings.vm, settings.limits

        def refusal(error: AzureturnError, request_id: str) -> RefusalMessage:
            headers = services.dialect.encode_refusal_headers(error.retry_after_ms, request_id)
            return RefusalMessage(dict(headers), b"")

        super().__init__(
            (vm.caller_host, vm.caller_port),
            None,
            ServerLimits(
                requests=limits.caller_connections,
                header_bytes=_HEADER_LIMIT_BYTES,
                header_timeout_ms=_HEADER_TIMEOUT_MS,
                body_timeout_ms=_BODY_TIMEOUT_MS,
                idle_timeout_ms=_IDLE_TIMEOUT_MS,
            ),
            new_request_id=lambda: "",
            refusal=refusal,
            report_error=lambda _text: services.log.error(
                LogEvent.INTERNAL_ERROR, error=describe_error(sys.exception())
            ),
            report_refusal=lambda request_id, error: services.log.error(
                LogEvent.REQUEST_REFUSED,
                request_id=request_id,
                kind=error.kind.value,
                run_state=error.run_state.value,
            ),
            loop=loop,
        )
        self.services = services
        self.gateway = _ExchangeGateway
        self.drops_left_callers = True

    def report_left_caller(self, had_sent_request: bool) -> None:
        """Count a request that is not read, since its caller has left."""
        if had_sent_request:
            self.services.metrics.count(Metric.REQUESTS_UNREAD)

    @property
    def open_connections(self) -> int:
        """Return the number of connections on which a request is being read or served."""
        open_connections: int = self.requests.open_connections
        return open_connections

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Log errors that the library could not handle, except connections aborted on purpose."""
        if not msg.startswith(ExchangeAbortedError.__name__):
            super().error_log(msg, level, traceback)


class _ExchangeGateway(Gateway):
    """Adapter that the HTTP library creates and calls for each request."""

    def respond(self) -> None:
        request = self.req
        channel = CallerChannel(request)
        Exchange(request.server.services, channel).serve()


@dataclass(frozen=True)
class StatusPage:
    """The response to a request for the path of a status page."""

    status: int
    body: bytes
    content_type: str = "text/plain"


_NOT_FOUND = StatusPage(404, b"")


class StatusServer(BoundedServer):
    """HTTP server for status pages of this VM, such as readiness and metrics, on its own port."""

    def __init__(
        self,
        address: tuple[str, int],
        log: EventLog,
        pages: Mapping[str, Callable[[], StatusPage]],
        loop: TaskLoop,
    ) -> None:
        super().__init__(
            address,
            None,
            ServerLimits(
                requests=_STATUS_REQUESTS,
                header_bytes=_HEADER_LIMIT_BYTES,
                header_timeout_ms=_HEADER_TIMEOUT_MS,
                body_timeout_ms=_BODY_TIMEOUT_MS,
                idle_timeout_ms=_HEADER_TIMEOUT_MS,
            ),
            new_request_id=lambda: "",
            refusal=lambda error, request_id: RefusalMessage({}, b""),
            report_error=lambda _text: log.error(
                LogEvent.INTERNAL_ERROR, error=describe_error(sys.exception())
            ),
            report_refusal=lambda request_id, error: None,
            loop=loop,
            priority=Priority.CONTROL,
        )
        self.pages = pages
        self.gateway = _StatusGateway


class _StatusGateway(Gateway):
    def respond(self) -> None:
        channel = CallerChannel(self.req)
        server: Any = self.req.server
        render = server.pages.get(channel.path)
        page = render() if render else _NOT_FOUND
        content_type = [("Content-Type", page.content_type)]
        channel.send_response(page.status, "", content_type, page.body, close=False)
