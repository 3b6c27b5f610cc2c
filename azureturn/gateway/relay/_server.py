"""Relays connections to upstreams for peers that cannot reach them."""

import select
import socket
import threading
from collections.abc import Callable
from contextlib import suppress

from azureturn._socket_options import RESET_AT_CLOSE, SOCKET_OPTIONS
from azureturn.errors import AzureturnError
from azureturn.gateway.relay._messages import is_signed, receive_message, send_message
from azureturn.gateway.site import RegisteredUpstream, UpstreamRun
from azureturn.observability import EventLog, LogEvent, describe_error
from azureturn.peers import EnvelopeSigner, RelayAnswer, RelayOutcome, RelayRequest

_MS_PER_S = 1_000
_BACKLOG = 128
#: Maximum number of relayed connections, each of which has a thread.
_MAX_RELAYS = 512
#: How long a peer may take to send its request.
_REQUEST_TIMEOUT_S = 1.0
#: How long either side may read nothing of what the other sends.
_WRITE_TIMEOUT_S = 30.0
#: Delay after a connection could not be accepted.
_ACCEPT_RETRY_S = 0.1
_READ_BYTES = 65_536


class RelayServer:
    """Connects peers with upstreams, one thread for each connection.

    ``find_upstream`` returns the current registration of an upstream; peers name upstreams and not
    addresses, so that they can be connected with nothing else. ``report_failure`` is called with
    the run of an upstream that this VM could not connect to, and with whether it refused.
    """

    def __init__(
        self,
        address: tuple[str, int],
        signer: EnvelopeSigner,
        log: EventLog,
        *,
        find_upstream: Callable[[str], RegisteredUpstream | None],
        report_failure: Callable[[UpstreamRun, bool], None],
        connect_timeout_ms: int,
    ) -> None:
        self._address = address
        self._signer = signer
        self._log = log
        self._find_upstream = find_upstream
        self._report_failure = report_failure
        self._connect_timeout_s = connect_timeout_ms / _MS_PER_S
        self._lock = threading.Lock()
        self._open_relays = 0
        self._listener: socket.socket | None = None
        self._is_stopped = threading.Event()

    @property
    def open_relays(self) -> int:
        """Return the number of connections that are being relayed."""
        return self._open_relays

    def start(self) -> None:
        """Open the port and start the thread that accepts connections."""
        self._listener = socket.create_server(self._address, backlog=_BACKLOG)
        threading.Thread(target=self._accept_forever, name="relay", daemon=True).start()

    def stop(self) -> None:
        """Accept no more connections; those that are open are relayed further."""
        self._is_stopped.set()
        if self._listener is not None:
            with suppress(OSError):
                self._listener.shutdown(socket.SHUT_RDWR)
            self._listener.close()

    def _accept_forever(self) -> None:
        assert self._listener is not None
        while not self._is_stopped.is_set():
            try:
                connection, _ = self._listener.accept()
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()
            except (OSError, RuntimeError) as error:
                # No descriptor or thread is left, or stop() has closed the listener.
                if not self._is_stopped.wait(_ACCEPT_RETRY_S):
                    self._log.error(LogEvent.RELAY_FAILED, error=describe_error(error))

    def _serve(self, connection: socket.socket) -> None:
        with self._lock:
            self._open_relays += 1
        try:
            upstream_connection = self._open(connection)
            if upstream_connection is not None:
                _pass_on(connection, upstream_connection)
        except (AzureturnError, OSError) as error:
            self._log.error(LogEvent.RELAY_FAILED, error=describe_error(error))
        finally:
            connection.close()
            with self._lock:
                self._open_relays -= 1

    def _open(self, connection: socket.socket) -> socket.socket | None:
        """Read the peer's request, connect to the upstream, and answer the peer."""
        _set_options(connection)
        connection.settimeout(_REQUEST_TIMEOUT_S)
        request = receive_message(connection, RelayRequest)
        upstream = self._find_upstream(request.upstream or "")
        is_known = upstream is not None and upstream.run[1] == request.started_unix_ms
        upstream_connection = None
        if upstream is None or not is_known or not self._may_relay(request):
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
        send_message(connection, RelayAnswer(outcome))
        return upstream_connection

    def _may_relay(self, request: RelayRequest) -> bool:
        return is_signed(request, self._signer) and self._open_relays <= _MAX_RELAYS

    def _connect(self, upstream: RegisteredUpstream) -> tuple[int, socket.socket | None]:
        try:
            connection = socket.create_connection(
                (upstream.host, upstream.port), timeout=self._connect_timeout_s
            )
        except OSError as error:
            refused = isinstance(error, ConnectionRefusedError)
            self._report_failure(upstream.run, refused)
            return RelayOutcome.REFUSED if refused else RelayOutcome.UNREACHABLE, None
        _set_options(connection)
        return RelayOutcome.CONNECTED, connection


def _set_options(connection: socket.socket) -> None:
    for level, name, value in SOCKET_OPTIONS:
        connection.setsockopt(level, name, value)


def _pass_on(peer: socket.socket, upstream: socket.socket) -> None:
    """Pass bytes on in both directions until one side ends the connection.

    If the upstream's connection is reset, so is the peer's, since an orderly end could make an
    incomplete response look complete.
    """
    try:
        for connection in (peer, upstream):
            connection.settimeout(_WRITE_TIMEOUT_S)
        poller = select.poll()
        other_end = {peer.fileno(): upstream, upstream.fileno(): peer}
        by_descriptor = {peer.fileno(): peer, upstream.fileno(): upstream}
        for descriptor in other_end:
            poller.register(descriptor, select.POLLIN)
        while True:
            for descriptor, _ in poller.poll():
                data = by_descriptor[descriptor].recv(_READ_BYTES)
                if not data:
                    return
                other_end[descriptor].sendall(data)
    except OSError:
        # A reset of either side, or a side that reads nothing more.
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    finally:
        upstream.close()
