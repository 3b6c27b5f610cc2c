"""One attempt at one upstream: sends the request once and reads the response."""

from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass

import h11

from azureturn.errors import ErrorKind, UpstreamError, UpstreamUnreachableError
from azureturn.gateway.exchange._body_budget import BodyReservation
from azureturn.gateway.exchange._connections import (
    CONNECT_TIMEOUT_MS,
    ConnectionPool,
    PoolKey,
    UpstreamConnection,
)
from azureturn.gateway.exchange._connector import UpstreamConnector
from azureturn.gateway.exchange._framing import BodyFraming
from azureturn.gateway.exchange._response_deadline import ResponseDeadline
from azureturn.gateway.exchange._response_reader import (
    MAX_SKIPPED_BYTES,
    read_final_head,
    skip_body,
)
from azureturn.gateway.exchange._stated_availability import read_facts
from azureturn.gateway.site import Dialect, RegisteredUpstream, ResponseFacts, StatedAvailability
from azureturn.serving import now_ms

#: Largest response body that is buffered as a whole, and largest one that is relayed in parts.
MAX_RESPONSE_BYTES = 4 << 20
MAX_STREAM_BYTES = 16 << 20
#: Maximum number of responses that an attempt reads to find the response to its own request. A
#: faulty upstream may send responses to other requests on the same connection.
_MAX_RESPONSES_READ = 3

_MS_PER_S = 1_000
#: How long a response may wait for room before it is given up, and one of which a part is buffered.
_ROOM_WAIT_S = 10.0
_PART_WAIT_S = 1.0

#: Response headers that concern only the connection, or that the gateway sets itself.
_NOT_RELAYED_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"transfer-encoding",
        b"content-length",
        b"trailer",
        b"upgrade",
    }
)


@dataclass(frozen=True)
class UpstreamRequest:
    """A request in the form in which it is sent to an upstream."""

    method: str
    #: Path and query.
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_id: str


@dataclass(frozen=True)
class ResponseHead:
    """Status and headers of an upstream's response."""

    status: int
    reason: str
    #: Headers to relay to the caller.
    headers: tuple[tuple[str, str], ...]
    framing: BodyFraming
    facts: ResponseFacts

    @property
    def failed(self) -> bool:
        """Return whether the upstream reports a server error."""
        return self.status >= 500


class AttemptWithheldError(Exception):
    """Nothing was sent, because the upstream has become unavailable meanwhile."""


class Attempt:
    """Sends a request on a pooled or new connection and reads the response.

    ``report_availability`` is called with what any response on the connection states of the
    upstream's availability, as soon as its head has been received; also for responses that are
    skipped. ``may_send`` returns whether the upstream may be sent a request now.
    """

    def __init__(
        self,
        upstream: RegisteredUpstream,
        pool: ConnectionPool,
        connector: UpstreamConnector,
        dialect: Dialect,
        *,
        relay_host: str = "",
        report_availability: Callable[[StatedAvailability], None] = lambda _availability: None,
        may_send: Callable[[], bool] = lambda: True,
    ) -> None:
        self._upstream = upstream
        self._report_availability = report_availability
        self._may_send = may_send
        self._relay_host = relay_host
        self._pool = pool
        self._connector = connector
        self._dialect = dialect
        self._connection: UpstreamConnection | None = None
        #: Whether the connection has carried other requests before.
        self._is_reused = False
        self._request_id = ""
        self._method = ""
        self._aborted = False
        self._reservation = BodyReservation(pool.body_budget)
        #: Size of the body, as its head states it; 0 if it does not.
        self._announced_bytes = 0
        #: Whether part of the request may have been sent.
        self.was_sent = False

    @property
    def _pool_key(self) -> PoolKey:
        upstream = self._upstream
        return PoolKey(upstream.run, upstream.host, upstream.port, self._relay_host)

    def connect(self, *, unrepeatable: bool, ends_at_ms: int) -> UpstreamConnection:
        """Take a reusable connection, or open one; :meth:`send` does so if it was not called.

        Raises :class:`UpstreamUnreachableError` if no connection can be opened.
        """
        connection = self._pool.acquire(self._pool_key, unrepeatable=unrepeatable)
        self._is_reused = connection is not None
        if connection is None:
            timeout_ms = max(1, min(CONNECT_TIMEOUT_MS, ends_at_ms - now_ms()))
            connection = self._connector.connect(
                self._upstream, self._relay_host, timeout_ms=timeout_ms
            )
        self._connection = connection
        return connection

    def cancel(self) -> None:
        """Give up an attempt that was connected and has sent nothing."""
        if self._connection is not None:
            self._release_connection()

    def has_received(self) -> bool:
        """Return whether the upstream has sent something that was not read yet."""
        return self._connection is not None and not self._connection.is_still_idle()

    def send(self, message: UpstreamRequest, *, unrepeatable: bool, ends_at_ms: int) -> None:
        """Send the request once, on a pooled connection if there is a reusable one.

        An ``unrepeatable`` request, which must not be sent twice, reuses only connections that
        have been idle for a short time. Raises :class:`AttemptWithheldError` if the upstream may
        get no request any more, as opening a connection takes a while.
        """
        connection = self._connection
        if connection is None:
            connection = self.connect(unrepeatable=unrepeatable, ends_at_ms=ends_at_ms)
        if self._aborted:
            raise UpstreamUnreachableError(ErrorKind.CALLER_GONE)
        if not self._may_send():
            raise AttemptWithheldError
        self._request_id = message.request_id
        self._method = message.method
        headers = [(name, value) for name, value in message.headers]
        if message.body or message.method not in ("GET", "HEAD"):
            headers.append(("Content-Length", str(len(message.body))))
        request = h11.Request(method=message.method, target=message.target, headers=headers)
        self.was_sent = True
        connection.send(request, message.body, timeout_ms=ends_at_ms - now_ms())

    def read_head(self, *, deadline: ResponseDeadline) -> ResponseHead:
        """Return the head of the response to this request; skip responses to other requests.

        On a reused connection a response that names no request may be an extra one to an earlier
        request.
        """
        own_ids = (self._request_id,) if self._is_reused else (self._request_id, "")
        for _ in range(_MAX_RESPONSES_READ):
            head = self._next_head(deadline)
            if head.facts.request_id in own_ids:
                return head
            self._skip_response(deadline)
        raise UpstreamError(ErrorKind.ANSWER_MISMATCHED)

    def iter_body(self, deadline: ResponseDeadline) -> Iterator[bytes]:
        """Yield parts of the body as they arrive, until it is complete.

        Raises ``TimeoutError`` if a part does not arrive by the deadline, which may change in
        between, and :class:`UpstreamError` if the body is incomplete or larger than
        :data:`MAX_STREAM_BYTES`.
        """
        assert self._connection is not None
        received_bytes = 0
        while True:
            event = deadline.next_event(self._connection)
            if isinstance(event, h11.EndOfMessage):
                self._release_connection()
                return
            assert isinstance(event, h11.Data)
            received_bytes += len(event.data)
            if received_bytes > MAX_STREAM_BYTES:
                raise _body_too_large()
            yield bytes(event.data)

    def read_body(self, *, ends_at_ms: int) -> bytes:
        """Return the whole body.

        Raises :class:`UpstreamError` if it is larger than :data:`MAX_RESPONSE_BYTES`, or if the
        bodies that all attempts buffer are too large together.
        """
        body = bytearray()
        if self._announced_bytes <= MAX_RESPONSE_BYTES:
            # With room for all of it, no body waits for more while it holds some.
            wait_s = min(_ROOM_WAIT_S, max(0, ends_at_ms - now_ms()) / _MS_PER_S)
            self.count_buffered(self._announced_bytes, wait_s=wait_s)
        for part in self.iter_body(ResponseDeadline(ends_at_ms)):
            body += part
            if len(body) > MAX_RESPONSE_BYTES:
                raise _body_too_large()
            self.count_buffered(max(len(body), self._announced_bytes))
        return bytes(body)

    def count_buffered(self, size_bytes: int, *, wait_s: float = _PART_WAIT_S) -> None:
        """Count what is buffered of the body, until the attempt is closed.

        Raises :class:`UpstreamError` if all exchanges together buffer too much.
        """
        if not self._reservation.resize_or_wait(size_bytes, wait_s=wait_s):
            raise UpstreamError(ErrorKind.UPSTREAM_FAILED, "buffered responses exceed the limit")

    def take_reservation(self) -> BodyReservation:
        """Return the reservation of a body that is still needed after the attempt is closed."""
        reservation = self._reservation
        self._reservation = BodyReservation(self._pool.body_budget)
        return reservation

    def discard_body(self, *, ends_at_ms: int) -> None:
        """Read a body that is of no interest; close the connection if it does not end soon.

        Raises :class:`UpstreamError` if the response proves to be broken: then nothing that its
        head says counts.
        """
        read_bytes = 0
        # A body that takes long does not contradict its head; only the connection is lost.
        with suppress(TimeoutError):
            for part in self.iter_body(ResponseDeadline(ends_at_ms)):
                read_bytes += len(part)
                if read_bytes > MAX_SKIPPED_BYTES:
                    break
        self.close()

    def abort(self) -> None:
        """Abort the attempt by shutting its connection down; may be called from another thread."""
        self._aborted = True
        if self._connection is not None:
            self._connection.abort()

    def close(self) -> None:
        """Close the connection, unless it was returned to the pool after a complete response."""
        self._reservation.release()
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _release_connection(self) -> None:
        connection, self._connection = self._connection, None
        assert connection is not None
        if self._aborted:
            connection.close()
        else:
            self._pool.release(self._pool_key, connection)

    def _next_head(self, deadline: ResponseDeadline) -> ResponseHead:
        assert self._connection is not None
        response = read_final_head(
            self._connection, deadline=deadline, on_informational=self._read_facts
        )
        return self._decode_head(response)

    def _decode_head(self, response: h11.Response) -> ResponseHead:
        # h11 has checked the value.
        self._announced_bytes = int(dict(response.headers).get(b"content-length", b"0"))
        return ResponseHead(
            status=response.status_code,
            reason=bytes(response.reason).decode("latin-1"),
            headers=tuple(
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in response.headers.raw_items()
                if name.lower() not in _NOT_RELAYED_HEADERS
            ),
            framing=BodyFraming.from_response(response, request_method=self._method),
            facts=self._read_facts(response),
        )

    def _read_facts(self, response: h11.Response | h11.InformationalResponse) -> ResponseFacts:
        facts = read_facts(response, self._dialect)
        if facts.availability != StatedAvailability():
            self._report_availability(facts.availability)
        return facts

    def _skip_response(self, deadline: ResponseDeadline) -> None:
        assert self._connection is not None
        if not skip_body(self._connection, deadline=deadline):
            raise _body_too_large()
        try:
            self._connection.expect_another_response()
        except h11.LocalProtocolError as error:
            raise UpstreamError(ErrorKind.ANSWER_MISMATCHED) from error


def _body_too_large() -> UpstreamError:
    return UpstreamError(ErrorKind.UPSTREAM_FAILED, "response body is larger than the limit")
