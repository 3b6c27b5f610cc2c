"""Relays connections to upstreams for peers that cannot reach them."""

import socket
from collections.abc import Callable
from contextlib import suppress
from functools import partial

from azureturn._socket_options import (
    PATIENT_SOCKET_OPTIONS,
    SMALL_BUFFER_OPTIONS,
    SOCKET_OPTIONS,
    SocketOption,
)
from azureturn.errors import AzureturnError
from azureturn.gateway.relay._messages import is_signed, receive_message, send_message
from azureturn.gateway.relay._relay import Relay
from azureturn.gateway.site import RegisteredUpstream, UpstreamRun
from azureturn.observability import EventLog, LogEvent, describe_error
from azureturn.peers import EnvelopeSigner, RelayAnswer, RelayOutcome, RelayRequest
from azureturn.tasks import (
    Priority,
    TaskLoop,
    accept,
    connect,
    sleep,
)

_MS_PER_S = 1_000
_BACKLOG = 128
#: Maximum number of relayed connections.
_MAX_RELAYS = 512
#: How long a peer may take to send its request.
_REQUEST_TIMEOUT_S = 1.0
#: Delay after a connection could not be accepted.
_ACCEPT_RETRY_S = 0.1


class RelayServer:
    """Connects peers with upstreams, in one task of ``loop`` for each connection.

    ``find_upstream`` returns the current registration of an upstream; peers name upstreams and not
    addresses, so that they can be connected with nothing else. ``may_relay_another`` returns
    whether a peer may send an upstream another request on an open connection. ``report_failure`` is
    called with the run of an upstream that this VM could not connect to, and with whether it
    refused.
    """

    def __init__(
        self,
        address: tuple[str, int],
        signer: EnvelopeSigner,
        log: EventLog,
        loop: TaskLoop,
        *,
        find_upstream: Callable[[str], RegisteredUpstream | None],
        report_failure: Callable[[UpstreamRun, bool], None],
        connect_timeout_ms: int,
        may_relay_another: Callable[[RegisteredUpstream], bool] = lambda _upstream: True,
    ) -> None:
        self._address = address
        self._signer = signer
        self._log = log
        self._loop = loop
        self._find_upstream = find_upstream
        self._report_failure = report_failure
        self._may_relay_another = may_relay_another
        self._connect_timeout_s = connect_timeout_ms / _MS_PER_S
        self._open_relays = 0
        self._listener: socket.socket | None = None
        self._is_stopped = False

    @property
    def open_relays(self) -> int:
        """Return the number of connections that are being relayed."""
        return self._open_relays

    def start(self) -> None:
        """Open the port and start the task that accepts connections."""
        self._listener = socket.create_server(self._address, backlog=_BACKLOG)
        self._listener.setblocking(False)
        self._loop.spawn(self._accept_forever, priority=Priority.CONTROL)

    def stop(self) -> None:
        """Accept no more connections; those that are open are relayed further."""
        self._is_stopped = True
        if self._listener is not None:
            with suppress(OSError):
                self._listener.shutdown(socket.SHUT_RDWR)
            self._listener.close()

    def _accept_forever(self) -> None:
        assert self._listener is not None
        while not self._is_stopped:
            try:
                connection = accept(self._listener)
            except OSError as error:
                # No descriptor is left, or stop() has closed the listener.
                if not self._is_stopped:
                    self._log.error(LogEvent.RELAY_FAILED, error=describe_error(error))
                    sleep(_ACCEPT_RETRY_S)
                continue
            self._loop.spawn(partial(self._serve, connection))

    def _serve(self, connection: socket.socket) -> None:
        self._open_relays += 1
        try:
            relay = self._open(connection)
            if relay is not None:
                relay.pass_on()
        except (AzureturnError, OSError) as error:
            self._log.error(LogEvent.RELAY_FAILED, error=describe_error(error))
        finally:
            connection.close()
            self._open_relays -= 1

    def _open(self, connection: socket.socket) -> Relay | None:
        """Read the peer's request, connect to the upstream, and answer the peer."""
        # The peer reads on only as its caller does.
        _set_options(connection, PATIENT_SOCKET_OPTIONS)
        request = receive_message(connection, RelayRequest, _REQUEST_TIMEOUT_S)
        upstream = self._find_upstream(request.upstream or "")
        upstream_connection = None
        if upstream is None or not _may_connect(upstream, request) or not self._may_relay(request):
            outcome = RelayOutcome.DENIED
        else:
            outcome, upstream_connection = self._connect(upstream)
        self._log.info(
            LogEvent.RELAY_OPENED,
            upstream=request.upstream,
            peer=request.sender_vm,
            outcome=RelayOutcome._VALUES_TO_NAMES[outcome].lower(),
            relays=self._open_relays,
        )
        sends_frames = bool(request.reads_frames)
        answer = RelayAnswer(outcome, sends_frames=sends_frames)
        send_message(connection, answer, _REQUEST_TIMEOUT_S)
        if upstream is None or upstream_connection is None:
            return None
        return Relay(
            connection,
            upstream_connection,
            sends_frames=sends_frames,
            may_begin_request=partial(self._may_relay_another, upstream),
        )

    def _may_relay(self, request: RelayRequest) -> bool:
        return is_signed(request, self._signer) and self._open_relays <= _MAX_RELAYS

    def _connect(self, upstream: RegisteredUpstream) -> tuple[int, socket.socket | None]:
        try:
            connection = connect((upstream.host, upstream.port), self._connect_timeout_s)
        except OSError as error:
            refused = isinstance(error, ConnectionRefusedError)
            self._report_failure(upstream.run, refused)
            return RelayOutcome.REFUSED if refused else RelayOutcome.UNREACHABLE, None
        _set_options(connection, SOCKET_OPTIONS)
        return RelayOutcome.CONNECTED, connection


def _may_connect(upstream: RegisteredUpstream, request: RelayRequest) -> bool:
    """Return whether an upstream is the one asked for, and has not said that it leaves.

    The peer may not know yet that it does.
    """
    return upstream.run[1] == request.started_unix_ms and not upstream.is_leaving


def _set_options(connection: socket.socket, options: tuple[SocketOption, ...]) -> None:
    for level, name, value in (*options, *SMALL_BUFFER_OPTIONS):
        connection.setsockopt(level, name, value)
