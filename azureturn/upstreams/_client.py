"""Dispatches: each is one attempt at one upstream, never repeated by the library."""

import socket
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import urllib3

from azureturn._socket_options import SOCKET_OPTIONS
from azureturn.core import LoadReport
from azureturn.errors import ErrorKind, RunState, UpstreamError, UpstreamUnreachableError
from azureturn.upstreams._events import json_of

_MS_PER_S = 1_000
#: Connections kept for load reports and cancels; dispatches never use a kept one.
_POOL_CONNECTIONS = 4
_READ_BYTES = 65_536
#: Largest whole answer that is taken from an upstream.
ANSWER_LIMIT_BYTES = 16 << 20
#: Largest load report or answer to a cancel.
REPORT_LIMIT_BYTES = 65_536
#: Largest number that a load report may hold.
_REPORT_NUMBER_LIMIT = 1 << 40
_REPORT_TIMEOUT_S = 1.0

NOT_WHOLE_IN_TIME = "the answer was not whole by the deadline"
_NO_BODY_STATUSES = frozenset({204, 304})


@dataclass(frozen=True)
class UpstreamRequest:
    """One HTTP request as it is sent to an upstream."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    request_id: str
    #: Longest wait for a connection.
    connect_timeout_ms: int
    #: Longest wait for the next byte.
    read_timeout_ms: int


@dataclass(frozen=True)
class WholeAnswer:
    """An answer that came whole."""

    status: int
    headers: dict[str, str]
    body: bytes


class StreamedAnswer:
    """An answer whose pieces are still coming, on a connection of its own."""

    def __init__(self, response: Any, pool: urllib3.HTTPConnectionPool) -> None:
        self._response = response
        self._pool = pool
        self.status: int = response.status
        self.headers: dict[str, str] = dict(response.headers)

    @property
    def is_event_stream(self) -> bool:
        """Return whether the answer comes as server-sent events."""
        return str(self._response.headers.get("Content-Type", "")).startswith("text/event-stream")

    def limit_wait(self, timeout_ms: int) -> None:
        """Change the longest wait for the next byte."""
        if (sock := self._socket()) is not None:
            sock.settimeout(max(1, timeout_ms) / _MS_PER_S)

    def pieces(self) -> Iterator[bytes]:
        """Yield what comes, as it comes; raise :class:`UpstreamError` when it breaks."""
        try:
            yield from self._response.stream(_READ_BYTES, decode_content=False)
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            raise _after_first_byte(error) from error

    def read_whole(self, *, remaining_ms: Callable[[], int]) -> WholeAnswer:
        """Return the rest as one answer; it must be as long as was announced, and in time."""
        try:
            if not self._announces_end():
                message = "the answer announces neither its length nor chunks"
                raise UpstreamError(ErrorKind.ANSWER_TRUNCATED, message)
            body = bytearray()
            for piece in self.pieces():
                body += piece
                if len(body) > ANSWER_LIMIT_BYTES:
                    raise UpstreamError(ErrorKind.UPSTREAM_FAILED, "the answer is over the limit")
                if remaining_ms() <= 0:
                    raise UpstreamError(ErrorKind.UPSTREAM_SILENT, NOT_WHOLE_IN_TIME)
                self.limit_wait(remaining_ms())
        finally:
            self.close()
        return WholeAnswer(self.status, self.headers, bytes(body))

    def close(self) -> None:
        """Close the connection."""
        with suppress(urllib3.exceptions.HTTPError, OSError):
            self._response.close()
            self._pool.close()

    def abort(self) -> None:
        """Wake the thread that waits for the next byte; it finds the answer broken off."""
        if (sock := self._socket()) is not None:
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def _announces_end(self) -> bool:
        headers = self._response.headers
        chunked = "chunked" in headers.get("Transfer-Encoding", "").lower()
        return chunked or "Content-Length" in headers or self.status in _NO_BODY_STATUSES

    def _socket(self) -> socket.socket | None:
        return getattr(self._response.connection, "sock", None)


class UpstreamClient:
    """Sends requests to one upstream.

    The library's own retries and redirects are off: each would be a second dispatch. Every
    dispatch has a new connection, since nothing tells whether a kept one has gone silent.
    """

    def __init__(self, url: str) -> None:
        self._url = urllib3.util.parse_url(url)
        self._pool = self._new_pool(_POOL_CONNECTIONS)

    def send(self, request: UpstreamRequest) -> StreamedAnswer:
        """Send once and return when the answer's headers are here.

        :class:`UpstreamUnreachableError` says that no byte left; any other
        :class:`UpstreamError` that the upstream may have run the request.
        """
        return self._send(request, request.method, request.path, request.headers, request.body)

    def resume(self, request: UpstreamRequest, *, last_event_id: str) -> StreamedAnswer:
        """Ask for the rest of an answer on a new connection; the request is not sent again."""
        headers = {"Last-Event-ID": last_event_id} if last_event_id else {}
        path = f"/v1/requests/{request.request_id}/stream"
        return self._send(request, "GET", path, headers, b"")

    def cancel(self, request_id: str) -> None:
        """Tell a model engine that nobody waits for a request any more."""
        # The engine ends the work itself when it finds the connection gone.
        with suppress(urllib3.exceptions.HTTPError):
            self._short_call("POST", f"/v1/requests/{request_id}/cancel")

    def load_report(self, now_ms: int) -> LoadReport | None:
        """Return the upstream's own load report, or None where it gives none."""
        try:
            return parse_load_report(self._short_call("GET", "/load"), now_ms)
        except urllib3.exceptions.HTTPError:
            return None

    def _short_call(self, method: str, path: str) -> bytes:
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
            # Where one kept connection has gone silent the others may have too.
            self._pool = self._new_pool(_POOL_CONNECTIONS)
            raise
        try:
            data: bytes = response.read(REPORT_LIMIT_BYTES, decode_content=False)
        except urllib3.exceptions.HTTPError:
            response.close()
            raise
        if len(data) < REPORT_LIMIT_BYTES:
            response.release_conn()
        else:
            response.close()
        return data

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
            raise _after_first_byte(error) from error
        return self._checked(StreamedAnswer(response, pool), request.request_id)

    def _new_pool(self, connections: int) -> urllib3.HTTPConnectionPool:
        assert self._url.host is not None
        return urllib3.HTTPConnectionPool(
            self._url.host,
            self._url.port,
            maxsize=connections,
            retries=False,
            socket_options=list(SOCKET_OPTIONS),
        )

    @staticmethod
    def _checked(answer: StreamedAnswer, request_id: str) -> StreamedAnswer:
        answered_id = answer.headers.get("X-Request-Id", "")
        if answered_id and answered_id != request_id:
            answer.close()
            raise UpstreamError(ErrorKind.ANSWER_MISMATCHED)
        return answer


def parse_load_report(data: bytes, now_ms: int) -> LoadReport | None:
    """Return the load report in ``data``, or None where it is not one."""
    report = json_of(data)
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


def _after_first_byte(error: Exception) -> UpstreamError:
    timed_out = isinstance(error, (urllib3.exceptions.TimeoutError, TimeoutError))
    kind = ErrorKind.UPSTREAM_SILENT if timed_out else ErrorKind.ANSWER_TRUNCATED
    return UpstreamError(kind, str(error), run_state=RunState.UNKNOWN)
