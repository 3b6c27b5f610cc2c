"""One attempt at one upstream: the request is sent once, and its answer read."""

from collections.abc import Iterator
from dataclasses import dataclass

import h11

from azureturn.errors import ErrorKind, UpstreamError, UpstreamUnreachableError
from azureturn.gateway.exchange._connections import (
    CONNECT_TIMEOUT_MS,
    ConnectionPool,
    UpstreamConnection,
)
from azureturn.gateway.site import AnswerFacts, Dialect, RegisteredUpstream
from azureturn.serving import now_ms

ANSWER_LIMIT_BYTES = 16 << 20
#: Answers to other requests that are passed over on one connection.
_STRAY_LIMIT = 3

#: Headers of an answer that concern only the connection, or are made anew.
_NOT_PASSED = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "transfer-encoding",
        "content-length",
        "trailer",
        "upgrade",
    }
)


@dataclass(frozen=True)
class OutgoingMessage:
    """A request as an upstream is to get it."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_id: str


@dataclass(frozen=True)
class AnswerHead:
    """The head of an upstream's answer."""

    status: int
    reason: str
    #: Those that a caller gets.
    headers: tuple[tuple[str, str], ...]
    facts: AnswerFacts

    @property
    def failed(self) -> bool:
        """Return whether the upstream says that it failed."""
        return self.status >= 500


class Attempt:
    """Sends a request on a kept or new connection and reads what comes."""

    def __init__(
        self, upstream: RegisteredUpstream, pool: ConnectionPool, dialect: Dialect
    ) -> None:
        self._upstream = upstream
        self._pool = pool
        self._dialect = dialect
        self._connection: UpstreamConnection | None = None
        self._request_id = ""
        self._aborted = False
        #: Whether a byte of the request may have left.
        self.was_sent = False

    @property
    def _key(self) -> tuple[str, int, str, int]:
        one = self._upstream
        return (*one.run, one.host, one.port)

    def send(self, message: OutgoingMessage, *, sure: bool, ends_at_ms: int) -> None:
        """Send the request once; ``sure`` avoids connections that were idle for long."""
        connection = self._pool.take(self._key, sure=sure)
        if connection is None:
            timeout_ms = max(1, min(CONNECT_TIMEOUT_MS, ends_at_ms - now_ms()))
            one = self._upstream
            connection = UpstreamConnection.open(one.host, one.port, timeout_ms=timeout_ms)
        self._connection = connection
        if self._aborted:
            raise UpstreamUnreachableError(ErrorKind.CALLER_GONE)
        self._request_id = message.request_id
        headers = [(name, value) for name, value in message.headers]
        if message.body or message.method not in ("GET", "HEAD"):
            headers.append(("Content-Length", str(len(message.body))))
        request = h11.Request(method=message.method, target=message.target, headers=headers)
        self.was_sent = True
        connection.send(request, message.body, timeout_ms=ends_at_ms - now_ms())

    def read_head(self, *, ends_at_ms: int) -> AnswerHead:
        """Return the head of the answer to this request, passing over those to others."""
        for _ in range(_STRAY_LIMIT):
            head = self._next_head(ends_at_ms)
            if head.facts.request_id in ("", self._request_id):
                return head
            self._pass_over(ends_at_ms)
        raise UpstreamError(ErrorKind.ANSWER_MISMATCHED)

    def read_pieces(self, *, wait_ms: int, ends_at_ms: int) -> Iterator[bytes]:
        """Yield the body as it comes; it returns only where the body came whole."""
        assert self._connection is not None
        while True:
            timeout_ms = min(wait_ms, ends_at_ms - now_ms())
            event = self._connection.next_event(timeout_ms=timeout_ms)
            if isinstance(event, h11.EndOfMessage):
                self._end()
                return
            assert isinstance(event, h11.Data)
            yield bytes(event.data)

    def read_whole(self, *, wait_ms: int, ends_at_ms: int) -> bytes:
        """Return the whole body."""
        body = bytearray()
        for piece in self.read_pieces(wait_ms=wait_ms, ends_at_ms=ends_at_ms):
            body += piece
            if len(body) > ANSWER_LIMIT_BYTES:
                raise UpstreamError(ErrorKind.UPSTREAM_FAILED, "the answer is over the limit")
        return bytes(body)

    def abort(self) -> None:
        """Break the connection off from another thread."""
        self._aborted = True
        if self._connection is not None:
            self._connection.abort()

    def close(self) -> None:
        """Close the connection, unless the answer came whole and it was kept."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _end(self) -> None:
        connection, self._connection = self._connection, None
        assert connection is not None
        if self._aborted:
            connection.close()
        else:
            self._pool.keep(self._key, connection)

    def _next_head(self, ends_at_ms: int) -> AnswerHead:
        assert self._connection is not None
        while True:
            event = self._connection.next_event(timeout_ms=ends_at_ms - now_ms())
            if isinstance(event, h11.Response):
                return self._head_of(event)
            if not isinstance(event, h11.InformationalResponse):
                raise UpstreamError(ErrorKind.ANSWER_TRUNCATED, "no head of an answer")

    def _head_of(self, response: h11.Response) -> AnswerHead:
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in response.headers.raw_items()
        )
        lower = {name.lower(): value for name, value in headers}
        return AnswerHead(
            status=response.status_code,
            reason=bytes(response.reason).decode("latin-1"),
            headers=tuple(one for one in headers if one[0].lower() not in _NOT_PASSED),
            facts=self._dialect.decode_answer(lower),
        )

    def _pass_over(self, ends_at_ms: int) -> None:
        assert self._connection is not None
        while True:
            event = self._connection.next_event(timeout_ms=ends_at_ms - now_ms())
            if isinstance(event, h11.EndOfMessage):
                break
        try:
            self._connection.skip_answer()
        except h11.LocalProtocolError as error:
            raise UpstreamError(ErrorKind.ANSWER_MISMATCHED) from error
