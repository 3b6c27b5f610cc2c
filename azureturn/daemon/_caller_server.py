"""The HTTP server for callers; refusals have the chat-completions error format."""

import json
from collections.abc import Callable
from typing import Any

from cheroot.wsgi import Gateway_10

from azureturn.daemon._answers import ERROR_KIND_HEADER, error_body, error_headers
from azureturn.daemon._caller_requests import IDEMPOTENCY_HEADER
from azureturn.daemon._earlier_attempts import downgrade_not_run
from azureturn.daemon._tickets import FIRST_ATTEMPT_HEADER
from azureturn.errors import AzureturnError, RunState
from azureturn.serving import BoundedServer, RefusalMessage, ServerLimits
from azureturn.settings import Settings

#: Key of the caller's socket in the WSGI environment.
CALLER_SOCKET_NAME = "azureturn.caller_socket"
#: Key of the function that is told how much time, in ms, a request has left.
SET_TIME_LIMIT_NAME = "azureturn.set_time_limit"
#: Key of the request's :class:`RequestEnd`.
REQUEST_END_NAME = "azureturn.request_end"


class _CallerGateway(Gateway_10):
    def get_environ(self) -> Any:
        environ = super().get_environ()  # type: ignore[no-untyped-call]
        environ[CALLER_SOCKET_NAME] = self.req.conn.socket
        environ[SET_TIME_LIMIT_NAME] = self.req.conn.set_time_limit
        environ[REQUEST_END_NAME] = self.req.end
        return environ


class CallerServer(BoundedServer):
    """The HTTP server for callers, configured from the daemon's settings."""

    def __init__(
        self,
        settings: Settings,
        application: Any,
        *,
        new_request_id: Callable[[], str],
        report_error: Callable[[str], None],
        report_refusal: Callable[[str, AzureturnError], None],
    ) -> None:
        limits = settings.daemon
        vm = settings.vm.name
        super().__init__(
            (settings.vm.host, settings.vm.port),
            application,
            ServerLimits(
                requests=limits.caller_threads,
                accept_backlog=limits.accept_backlog,
                header_bytes=limits.header_limit_bytes,
                header_timeout_ms=limits.header_timeout_ms,
                body_timeout_ms=limits.body_timeout_ms,
                idle_timeout_ms=limits.header_timeout_ms,
            ),
            new_request_id=new_request_id,
            refusal=lambda error, request_id: RefusalMessage(
                error_headers(error, request_id=request_id, vm=vm),
                json.dumps(error_body(error, request_id)).encode(),
            ),
            refusal_marker=ERROR_KIND_HEADER,
            report_error=report_error,
            report_refusal=report_refusal,
        )
        self.gateway = _CallerGateway

    def new_stop_error(self, request: Any, run_state: RunState) -> AzureturnError:
        """Return the error; an earlier attempt of the call may have run."""
        error = super().new_stop_error(request, run_state)
        names = (IDEMPOTENCY_HEADER, FIRST_ATTEMPT_HEADER)
        values = {
            name: request.inheaders.get(name.encode(), b"").decode("latin-1") for name in names
        }
        downgrade_not_run(error, {name: value for name, value in values.items() if value})
        return error
