"""Dispatches: each is one attempt at one upstream, never repeated by the library."""

import json
import socket
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import urllib3

from azureturn.core import LoadReport
from azureturn.errors import ErrorKind, RunState, UpstreamError, UpstreamUnreachableError

_MS_PER_S = 1_000
#: Idle connections kept to one upstream.
_POOL_CONNECTIONS = 64
_READ_BYTES = 65_536
#: Largest whole answer that is taken from an upstream.
ANSWER_LIMIT_BYTES = 16 << 20
_REPORT_TIMEOUT_S = 1.0

_KEEP_ALIVE_IDLE_S = 5
_KEEP_ALIVE_INTERVAL_S = 2
_KEEP_ALIVE_PROBES = 3
#: Sent data that is not acknowledged for this long breaks the connection.
_USER_TIMEOUT_MS = 10_000

SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEP_ALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEP_ALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEP_ALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
)


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
    #: A new connection is made, since an old one may have gone silent.
    fresh_connection: bool = False


@dataclass(frozen=True)
class WholeAnswer:
    """An answer that came whole."""

    status: int
    headers: dict[str, str]
    body: bytes


class StreamedAnswer:
    """An answer whose pieces are still coming."""

    def __init__(self, response: Any) -> None:
        self._response = response
        self.status: int = response.status
        self.headers: dict[str, str] = dict(response.headers)

    def pieces(self) -> Iterator[bytes]:
        """Yield what comes, as it comes; raise :class:`UpstreamError` when it breaks."""
        try:
            yield from self._response.stream(_READ_BYTES)
        except urllib3.exceptions.HTTPError as error:
            raise _after_first_byte(error) from error

    def read_whole(self) -> WholeAnswer:
        """Return the rest as one answer; its length must be as announced."""
        body = bytearray()
        for piece in self.pieces():
            body += piece
            if len(body) > ANSWER_LIMIT_BYTES:
                self.close()
                raise UpstreamError(ErrorKind.UPSTREAM_FAILED, "the answer is over the limit")
        self._response.release_conn()
        return WholeAnswer(self.status, self.headers, bytes(body))

    def release(self) -> None:
        """Give the connection back once the answer was read to its end."""
        self._response.release_conn()

    def close(self) -> None:
        """Break the connection; nothing more is wanted of it."""
        self._response.close()


class UpstreamClient:
    """Sends requests to one upstream.

    The library's own retries and redirects are off: each would be a second dispatch.
    """

    def __init__(self, url: str) -> None:
        self._url = urllib3.util.parse_url(url)
        self._pool = self._new_pool(_POOL_CONNECTIONS)

    def send(self, request: UpstreamRequest) -> StreamedAnswer:
        """Send once and return when the answer's headers are here.

        :class:`UpstreamUnreachableError` says that no byte left; any other
        :class:`UpstreamError` that the upstream may have run the request.
        """
        pool = self._new_pool(1) if request.fresh_connection else self._pool
        timeout = urllib3.Timeout(
            connect=request.connect_timeout_ms / _MS_PER_S,
            read=request.read_timeout_ms / _MS_PER_S,
        )
        try:
            response = pool.urlopen(
                request.method,
                request.path,
                body=request.body,
                headers={**request.headers, "X-Request-Id": request.request_id},
                retries=False,
                redirect=False,
                timeout=timeout,
                preload_content=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            kind = ErrorKind.UPSTREAM_UNREACHABLE
            raise UpstreamUnreachableError(kind, str(error)) from error
        except urllib3.exceptions.HTTPError as error:
            raise _after_first_byte(error) from error
        return self._checked(StreamedAnswer(response), request.request_id)

    def cancel(self, request_id: str) -> None:
        """Tell a model engine that nobody waits for a request any more."""
        try:
            self._pool.urlopen(
                "POST",
                f"/v1/requests/{request_id}/cancel",
                retries=False,
                redirect=False,
                timeout=urllib3.Timeout(total=_REPORT_TIMEOUT_S),
            )
        except urllib3.exceptions.HTTPError:
            # The engine ends the work itself when it finds the connection gone.
            return

    def load_report(self, now_ms: int) -> LoadReport | None:
        """Return the upstream's own load report, or None where it gives none."""
        try:
            response = self._pool.urlopen(
                "GET",
                "/load",
                retries=False,
                redirect=False,
                timeout=urllib3.Timeout(total=_REPORT_TIMEOUT_S),
            )
            report = json.loads(response.data)
            return LoadReport(
                taken_at_ms=now_ms - int(report["age_ms"]),
                running=int(report["running"]),
                waiting=int(report["waiting"]),
                queued_tokens=int(report["queued_tokens"]),
                leaving=report.get("leaving") is True,
            )
        except (urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError):
            return None

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


def _after_first_byte(error: urllib3.exceptions.HTTPError) -> UpstreamError:
    timed_out = isinstance(error, urllib3.exceptions.TimeoutError)
    kind = ErrorKind.UPSTREAM_SILENT if timed_out else ErrorKind.ANSWER_TRUNCATED
    return UpstreamError(kind, str(error), run_state=RunState.UNKNOWN)
