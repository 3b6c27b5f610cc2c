"""Connections that a peer relays, against upstreams that echo, end or reset."""

import errno
import io
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import ExitStack, suppress
from dataclasses import replace

import pytest

from azureturn.gateway.relay import (
    RelayClient,
    RelayedConnection,
    RelayRefusedError,
    RelayServer,
)
from azureturn.gateway.relay import _relay as relay
from azureturn.gateway.relay._messages import receive_message, relay_request, send_message
from azureturn.gateway.site import RegisteredUpstream, UpstreamRun
from azureturn.observability import EventLog
from azureturn.peers import EnvelopeSigner, RelayAnswer
from azureturn.tasks import TaskLoop
from standins._local_listener import LocalListener

_HOST = "127.0.0.1"
_TIMEOUT_MS = 2_000
_RUN = ("u", 17)
#: Longer than any test.
_LONG_WAIT_S = 60.0
#: How long a sender waits before it takes the other side for one that does not read.
_FULL_AFTER_S = 0.3
#: More than the sockets and the relay between a peer and an upstream hold.
_LONG_MESSAGE = bytes(16 << 20)

_Behaviour = Callable[[socket.socket], None]


def _echo(connection: socket.socket) -> None:
    while data := connection.recv(1_024):
        connection.sendall(data)


def _end_after_reading(connection: socket.socket) -> None:
    connection.recv(1_024)
    connection.sendall(b"part")


def _reset_after_reading(connection: socket.socket) -> None:
    connection.recv(1_024)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def _started_loop() -> TaskLoop:
    def fail(error: BaseException) -> None:
        raise error

    loop = TaskLoop("relay-test", fail)
    loop.start()
    return loop


def _wait_until(condition: Callable[[], bool]) -> None:
    ends_at_s = time.monotonic() + _TIMEOUT_MS / 1_000
    while not condition():
        assert time.monotonic() < ends_at_s
        time.sleep(0.01)


class _PeerConnection:
    """A peer's relayed connection, as a blocking socket for the upstream's bytes."""

    def __init__(self, relayed: RelayedConnection) -> None:
        self._relayed = relayed
        self.socket = relayed.socket
        self.sendall = relayed.socket.sendall
        self.close = relayed.socket.close

    def __enter__(self) -> "_PeerConnection":
        return self

    def __exit__(self, *arguments: object) -> None:
        self.close()

    def recv(self, size_bytes: int) -> bytes:
        """Return bytes of the upstream, or none once it has ended its connection."""
        received = self._relayed.upstream_bytes
        while not received.has_ended:
            data = received.feed(self.socket.recv(size_bytes))
            if data:
                return data
        return b""


class _Site:
    """An upstream with a given behaviour, and a peer that relays connections to it."""

    def __init__(self, behaviour: _Behaviour) -> None:
        self._behaviour = behaviour
        self._listener = LocalListener(self._serve)
        self.upstream = RegisteredUpstream(
            "u", "s", _HOST, self._listener.port, "a", "v1", 4, started_unix_ms=17
        )
        leaving = replace(self.upstream, name="leaving", is_leaving=True)
        #: Set when the upstream's side of a connection has ended.
        self.ended = threading.Event()
        #: Whether it ended with a reset.
        self.was_reset = False
        #: Whether the upstream may get another request on an open connection.
        self.may_relay_another = True
        self.failures: list[tuple[UpstreamRun, bool]] = []
        with socket.create_server((_HOST, 0)) as probe:
            self._port = probe.getsockname()[1]
        self.server = RelayServer(
            (_HOST, self._port),
            EnvelopeSigner("secret", "vm-1", clock_s=lambda: 0.0),
            EventLog.to_stream(io.StringIO(), vm="vm-1"),
            _started_loop(),
            find_upstream={"u": self.upstream, "leaving": leaving}.get,
            report_failure=lambda run, refused: self.failures.append((run, refused)),
            connect_timeout_ms=_TIMEOUT_MS,
            may_relay_another=lambda _upstream: self.may_relay_another,
        )
        self.server.start()

    def close(self) -> None:
        self.server.stop()
        self.stop_upstream()

    def stop_upstream(self) -> None:
        """Close the upstream's port, so that it refuses connections."""
        # It may be closed already.
        with suppress(OSError):
            self._listener.close()

    def connect(self, run: UpstreamRun = _RUN, *, secret: str = "secret") -> "_PeerConnection":
        signer = EnvelopeSigner(secret, "vm-2", clock_s=lambda: 0.0)
        client = RelayClient("vm-2", signer, port=self._port)
        relayed = client.connect(_HOST, run, timeout_ms=_TIMEOUT_MS)
        relayed.socket.settimeout(_TIMEOUT_MS / 1_000)
        return _PeerConnection(relayed)

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            try:
                self._behaviour(connection)
            except ConnectionResetError:
                self.was_reset = True
        self.ended.set()


@pytest.fixture
def sites() -> Iterator[Callable[[_Behaviour], _Site]]:
    """Return a function that starts a site; all sites are closed after the test."""
    with ExitStack() as stack:

        def start(behaviour: _Behaviour) -> _Site:
            site = _Site(behaviour)
            stack.callback(site.close)
            return site

        yield start


def test_bytes_are_passed_on_in_both_directions(sites: Callable[[_Behaviour], _Site]) -> None:
    with sites(_echo).connect() as connection:
        for data in (b"first", b"second" * 1_000):
            connection.sendall(data)
            received = b""
            while len(received) < len(data):
                received += connection.recv(65_536)
            assert received == data


def test_no_further_request_is_passed_on_to_an_upstream_that_must_get_none(
    sites: Callable[[_Behaviour], _Site],
) -> None:
    """A peer that does not know of an order must not send requests on an open connection."""
    site = sites(_echo)
    with site.connect() as connection:
        connection.sendall(b"first")
        assert connection.recv(1_024) == b"first"
        connection.sendall(b"second")
        assert connection.recv(1_024) == b"second"
        site.may_relay_another = False
        with suppress(OSError):
            connection.sendall(b"third")
            assert connection.recv(1_024) == b""
    assert site.ended.wait(_TIMEOUT_MS / 1_000)


def test_the_upstreams_connection_ends_with_that_of_the_peer(
    sites: Callable[[_Behaviour], _Site],
) -> None:
    site = sites(_echo)
    site.connect().close()
    assert site.ended.wait(_TIMEOUT_MS / 1_000)


def test_a_reset_by_the_peer_resets_the_upstreams_connection(
    sites: Callable[[_Behaviour], _Site],
) -> None:
    site = sites(_echo)
    connection = site.connect()
    connection.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()
    assert site.ended.wait(_TIMEOUT_MS / 1_000)
    assert site.was_reset


def _accepted_by(site: _Site) -> list[socket.socket]:
    """Return a list to which the connections are added that peers open to a site's relay."""
    accepted: list[socket.socket] = []
    serve = site.server._open

    def record(connection: socket.socket) -> object:
        accepted.append(connection)
        return serve(connection)

    site.server._open = record  # type: ignore[assignment, method-assign]
    return accepted


def test_parts_are_passed_on_without_waiting_for_more(
    sites: Callable[[_Behaviour], _Site],
) -> None:
    site = sites(_echo)
    accepted = _accepted_by(site)
    with site.connect():
        (connection,) = accepted
        assert connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        assert connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)


def test_a_peer_that_reads_only_as_its_caller_does_is_not_reset(
    sites: Callable[[_Behaviour], _Site], monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a second run for a caller who reads slowly (review/11, relayed).
    waits_s: set[float | None] = set()
    wait = relay.wait_until_ready

    def record_wait(events: Mapping[int, int], timeout_s: float | None) -> list[int]:
        waits_s.add(timeout_s)
        return wait(events, timeout_s)

    def respond(connection: socket.socket) -> None:
        connection.sendall(_LONG_MESSAGE)

    monkeypatch.setattr(relay, "wait_until_ready", record_wait)
    site = sites(respond)
    accepted = _accepted_by(site)
    with site.connect() as connection:
        # The kernel's limit would apply first.
        assert not accepted[0].getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        _wait_until(lambda: relay._PEER_UNREAD_TIMEOUT_S in waits_s)
        received = 0
        while part := connection.recv(1 << 20):
            received += len(part)
    assert received == len(_LONG_MESSAGE)
    assert waits_s <= {None, relay._PEER_UNREAD_TIMEOUT_S}


def test_the_peers_connection_ends_after_the_last_bytes_of_the_upstream(
    sites: Callable[[_Behaviour], _Site],
) -> None:
    with sites(_end_after_reading).connect() as connection:
        connection.sendall(b"request")
        assert (connection.recv(10), connection.recv(10)) == (b"part", b"")


def test_a_reset_by_the_upstream_does_not_look_like_an_orderly_end(
    sites: Callable[[_Behaviour], _Site],
) -> None:
    with sites(_reset_after_reading).connect() as connection:
        connection.sendall(b"request")
        with pytest.raises(ConnectionResetError):
            connection.recv(10)


def test_the_end_of_the_relaying_vm_does_not_look_like_that_of_the_upstream(
    sites: Callable[[_Behaviour], _Site],
) -> None:
    # Guards against ORDER: a stream without a length looked complete when its relay was killed.
    site = sites(_echo)
    accepted = _accepted_by(site)
    with site.connect() as connection:
        connection.sendall(b"part")
        assert connection.recv(10) == b"part"
        # What the operating system does with the connections of a process that is killed.
        accepted[0].shutdown(socket.SHUT_RDWR)
        with pytest.raises(ConnectionAbortedError):
            connection.recv(10)


def _send_until_full(connection: socket.socket) -> None:
    """Send until the upstream's not reading holds the sender up."""
    connection.settimeout(_FULL_AFTER_S)
    with pytest.raises(TimeoutError):
        connection.sendall(_LONG_MESSAGE)
    connection.settimeout(_TIMEOUT_MS / 1_000)


def test_an_early_response_is_passed_on_before_the_whole_request_is_read(
    sites: Callable[[_Behaviour], _Site],
) -> None:
    # Guards against CONFIG: a request rejected early through a relay was answered by its time-out.
    may_respond, may_end = threading.Event(), threading.Event()

    def respond_early(connection: socket.socket) -> None:
        may_respond.wait(_LONG_WAIT_S)
        connection.sendall(b"rejected")
        may_end.wait(_LONG_WAIT_S)

    with sites(respond_early).connect() as connection:
        _send_until_full(connection.socket)
        may_respond.set()
        assert connection.recv(100) == b"rejected"
        may_end.set()


def test_a_peer_that_leaves_while_the_upstream_does_not_read_is_noticed(
    sites: Callable[[_Behaviour], _Site],
) -> None:
    # Guards against GONE: the upstream of a relayed request was not told that its caller had left.
    reads_on = threading.Event()

    def read_late(connection: socket.socket) -> None:
        reads_on.wait(_LONG_WAIT_S)
        while connection.recv(65_536):
            pass

    site = sites(read_late)
    connection = site.connect()
    _send_until_full(connection.socket)
    linger = struct.pack("ii", 1, 0)
    connection.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()
    _wait_until(lambda: not site.server.open_relays)
    reads_on.set()
    assert site.ended.wait(_TIMEOUT_MS / 1_000)
    assert site.was_reset


@pytest.mark.parametrize("reads_frames", [None, False], ids=["earlier build", "no frames"])
def test_a_peer_that_reads_no_frames_gets_the_bytes_as_they_are(
    sites: Callable[[_Behaviour], _Site], reads_frames: bool | None
) -> None:
    site = sites(_echo)
    signer = EnvelopeSigner("secret", "vm-2", clock_s=lambda: 0.0)
    request = relay_request(_RUN, "vm-2", signer)
    request.reads_frames = reads_frames
    with socket.create_connection((_HOST, site.server._address[1]), timeout=2) as connection:
        send_message(connection, request, 2.0)
        assert not receive_message(connection, RelayAnswer, 2.0).sends_frames
        connection.sendall(b"bytes")
        assert connection.recv(10) == b"bytes"


class _ListenerThatFailsOnce:
    """A listening socket that has no descriptor left for the first connection."""

    def __init__(self, listener: socket.socket) -> None:
        self._listener = listener
        self._has_failed = False

    def __getattr__(self, name: str) -> object:
        return getattr(self._listener, name)

    def accept(self) -> tuple[socket.socket, object]:
        if not self._has_failed:
            self._has_failed = True
            raise OSError(errno.EMFILE, "too many open files")
        return self._listener.accept()


def test_connections_are_relayed_after_one_could_not_be_accepted(
    sites: Callable[[_Behaviour], _Site],
) -> None:
    site = sites(_echo)
    listener = site.server._listener
    assert listener is not None
    # The server still waits at the listener itself for its first connection.
    site.server._listener = _ListenerThatFailsOnce(listener)  # type: ignore[assignment]
    site.connect().close()
    with site.connect() as connection:
        connection.sendall(b"x")
        assert connection.recv(1) == b"x"


def test_an_upstream_that_refuses_connections_is_reported_to_both_vms(
    sites: Callable[[_Behaviour], _Site],
) -> None:
    site = sites(_echo)
    site.stop_upstream()
    with pytest.raises(ConnectionRefusedError):
        site.connect()
    assert site.failures == [(_RUN, True)]


@pytest.mark.parametrize(
    ("run", "secret"),
    [
        (("other", 17), "secret"),
        (("u", 18), "secret"),
        (("leaving", 17), "secret"),
        (_RUN, "forged"),
    ],
    ids=["unknown upstream", "another run", "leaving upstream", "wrong signature"],
)
def test_a_request_is_denied(
    sites: Callable[[_Behaviour], _Site], run: UpstreamRun, secret: str
) -> None:
    with pytest.raises(RelayRefusedError):
        sites(_echo).connect(run, secret=secret)


def test_a_peer_that_sends_no_valid_request_is_disconnected(
    sites: Callable[[_Behaviour], _Site],
) -> None:
    site = sites(_echo)
    with socket.create_connection((_HOST, site.server._address[1]), timeout=2) as connection:
        connection.sendall(b"\xff\xff")
        assert connection.recv(10) == b""
    assert not site.failures
