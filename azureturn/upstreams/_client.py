"""HTTP client of an upstream.

Sending a caller's request to the upstream is called its dispatch. A request is dispatched once and
never retried automatically.
"""

import socket
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import urllib3

from azureturn._limited_http import LimitedConnectionPool, read_whole
from azureturn._socket_options import SOCKET_OPTIONS
from azureturn.core import LoadReport
from azureturn.errors import ErrorKind, RunState, UpstreamError, UpstreamUnreachableError
from azureturn.upstreams._events import parse_json_or_none

_MS_PER_S = 1_000
#: Pooled connections for load reports and cancellations; dispatches never use the pool.
_POOL_CONNECTIONS = 4
_READ_BYTES = 65_536
#: Maximum size of an unstreamed answer of an upstream.
ANSWER_LIMIT_BYTES = 16 << 20
#: Maximum size of a load report or of the answer to a cancellation.
REPORT_LIMIT_BYTES = 65_536
#: Maximum value of a number in a load report.
_REPORT_NUMBER_LIMIT = 1 << 40
_REPORT_TIMEOUT_S = 1.0

INCOMPLETE_AT_DEADLINE = "the answer was not complete by the deadline"
_NO_BODY_STATUSES = frozenset({204, 304})


@dataclass(frozen=True)
class UpstreamRequest:
    """One HTTP request to an upstream."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    request_id: str
    #: Maximum time to establish the connection.
    connect_timeout_ms: int
    #: Maximum time to wait for the next byte.
    read_timeout_ms: int


@dataclass(frozen=True)
class CompleteAnswer:
    """An answer that has been read completely."""

    status: int
    headers: dict[str, str]
    body: bytes


class StreamedAnswer:
    """An answer whose body is still being received, on its own connection."""

    def __init__(self, response: Any, pool: urllib3.HTTPConnectionPool) -> None:
        self._response = response
        self._pool = pool
        self.status: int = response.status
        self.headers: dict[str, str] = dict(response.headers)

    @property
    def is_event_stream(self) -> bool:
        """Return whether the body is a stream of server-sent events."""
        return str(self._response.headers.get("Content-Type", "")).startswith("text/event-stream")

    def set_read_timeout(self, timeout_ms: int) -> None:
        """Change the maximum time to wait for the next byte."""
        if (sock := self._socket()) is not None:
            sock.settimeout(max(1, timeout_ms) / _MS_PER_S)

    def iter_body(self) -> Iterator[bytes]:
        """Yield the body as it is received.

        Raise :class:`UpstreamError` if the read fails, or if the body ends although neither a
        length nor chunks mark its end.
        """
        try:
            yield from self._response.stream(_READ_BYTES, decode_content=False)
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            raise _error_after_dispatch(error) from error
        self._check_framing()

    def read_complete(self, *, remaining_ms: Callable[[], int]) -> CompleteAnswer:
        """Read the rest of the body and return the answer.

        Raise :class:`UpstreamError` if the body is shorter than announced, has no announced end,
        exceeds the limit, or is not complete when ``remaining_ms`` reaches 0.
        """
        try:
            self._check_framing()
            body = bytearray()
            for piece in self.iter_body():
                body += piece
                if len(body) > ANSWER_LIMIT_BYTES:
                    raise UpstreamError(ErrorKind.UPSTREAM_FAILED, "the answer exceeds the limit")
                if remaining_ms() <= 0:
                    raise UpstreamError(ErrorKind.UPSTREAM_SILENT, INCOMPLETE_AT_DEADLINE)
                self.set_read_timeout(remaining_ms())
        finally:
            self.close()
        return CompleteAnswer(self.status, self.headers, bytes(body))

    def close(self) -> None:
        """Close the connection."""
        with suppress(urllib3.exceptions.HTTPError, OSError):
            self._response.close()
            self._pool.close()

    def abort(self) -> None:
        """Make the thread that waits for the next byte fail as if the connection had broken."""
        if (sock := self._socket()) is not None:
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def _check_framing(self) -> None:
        """Raise :class:`UpstreamError` if neither a length nor chunks mark the end of the body."""
        headers = self._response.headers
        chunked = "chunked" in headers.get("Transfer-Encoding", "").lower()
        if not (chunked or "Content-Length" in headers or self.status in _NO_BODY_STATUSES):
            message = "the answer has neither Content-Length nor chunked encoding"
            raise UpstreamError(ErrorKind.ANSWER_TRUNCATED, message)

    def _socket(self) -> socket.socket | None:
        return getattr(self._response.connection, "sock", None)


class UpstreamClient:
    """Sends requests to one upstream.

    urllib3's retries and redirects are disabled because each would be a second dispatch. Every
    dispatch uses a new connection because a pooled one may be dead without any indication.
    """

    def __init__(self, url: str) -> None:
        self._url = urllib3.util.parse_url(url)
        self._pool = self._new_pool(_POOL_CONNECTIONS)

    def send(self, request: UpstreamRequest) -> StreamedAnswer:
        """Send the request once and return after receiving the answer's headers.

        :class:`UpstreamUnreachableError` means that no byte was sent; after any other
        :class:`UpstreamError` the upstream may have run the request.
        """
        return self._send(request, request.method, request.path, request.headers, request.body)

    def resume(self, request: UpstreamRequest, *, last_event_id: str) -> StreamedAnswer:
        """Request the rest of an answer on a new connection, without sending the request again."""
        headers = {"Last-Event-ID": last_event_id} if last_event_id else {}
        path = f"/v1/requests/{request.request_id}/stream"
        return self._send(request, "GET", path, headers, b"")

    def cancel(self, request_id: str) -> None:
        """Cancel a request at a model engine; errors are ignored."""
        # If the cancellation fails, the engine stops by itself once it detects the closed
        # connection.
        with suppress(urllib3.exceptions.HTTPError, OSError):
            self._control_call("POST", f"/v1/requests/{request_id}/cancel")

    def load_report(self, now_ms: int) -> LoadReport | None:
        """Return the upstream's load report, or None if it cannot be read or is invalid."""
        try:
            return parse_load_report(self._control_call("GET", "/load"), now_ms)
        except (urllib3.exceptions.HTTPError, OSError):
            return None

    def _control_call(self, method: str, path: str) -> bytes:
        try:
            response = self._pool.urlopen(
                method,
                path,
                retries=False,
                redirect=False,
                preload_content=False,
                timeout=urllib3.Timeout(total=_REPORT_TIMEOUT_S),
            )
        except urllib3.exceptions.TimeoutError:
            # If one pooled connection is dead, the others may be as well.
            self._pool = self._new_pool(_POOL_CONNECTIONS)
            raise
        return read_whole(response, limit_bytes=REPORT_LIMIT_BYTES)

    def _send(
        self,
        request: UpstreamRequest,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> StreamedAnswer:
        pool = self._new_pool(1)
        timeout = urllib3.Timeout(
            connect=request.connect_timeout_ms / _MS_PER_S,
            read=request.read_timeout_ms / _MS_PER_S,
        )
        try:
            response = pool.urlopen(
                method,
                path,
                body=body,
                headers={**headers, "X-Request-Id": request.request_id},
                retries=False,
                redirect=False,
                timeout=timeout,
                preload_content=False,
                decode_content=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            kind = ErrorKind.UPSTREAM_UNREACHABLE
            raise UpstreamUnreachableError(kind, str(error)) from error
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            raise _error_after_dispatch(error) from error
        return self._with_checked_request_id(StreamedAnswer(response, pool), request.request_id)

    def _new_pool(self, connections: int) -> LimitedConnectionPool:
        assert self._url.host is not None
        return LimitedConnectionPool(
            self._url.host,
            self._url.port,
            maxsize=connections,
            retries=False,
            socket_options=list(SOCKET_OPTIONS),
        )

    @staticmethod
    def _with_checked_request_id(answer: StreamedAnswer, request_id: str) -> StreamedAnswer:
        answer_request_id = answer.headers.get("X-Request-Id", "")
        if answer_request_id and answer_request_id != request_id:
            answer.close()
            raise UpstreamError(ErrorKind.ANSWER_MISMATCHED)
        return answer


def parse_load_report(data: bytes, now_ms: int) -> LoadReport | None:
    """Return the load report in ``data``, or None if it is invalid."""
    report = parse_json_or_none(data)
    if not isinstance(report, dict):
        return None
    numbers: list[int] = []
    for name in ("age_ms", "running", "waiting", "queued_tokens"):
        number = report.get(name)
        if not isinstance(number, int) or not 0 <= number <= _REPORT_NUMBER_LIMIT:
            return None
        numbers.append(number)
    age_ms, running, waiting, queued_tokens = numbers
    leaving = report.get("leaving") is True
    return LoadReport(now_ms - age_ms, running, waiting, queued_tokens, leaving)


def _error_after_dispatch(error: Exception) -> UpstreamError:
    timed_out = isinstance(error, (urllib3.exceptions.TimeoutError, TimeoutError))
    kind = ErrorKind.UPSTREAM_SILENT if timed_out else ErrorKind.ANSWER_TRUNCATED
    return UpstreamError(kind, str(error), run_state=RunState.UNKNOWN)
