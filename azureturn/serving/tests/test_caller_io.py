"""Writes to callers: how long they wait, and what follows one that has failed."""

import socket
from collections.abc import Iterator, Mapping
from unittest.mock import MagicMock

import pytest

from azureturn.serving import UNREAD_TIMEOUT_S, CallerConnectionError
from azureturn.serving import _caller_io as caller_io
from azureturn.serving._bounded_server import _CallerConnection
from azureturn.serving._caller_io import CallerWriter

#: More than the kernel takes at once.
_ANSWER = bytes(range(256)) * 8_192
_BUFFER_BYTES = 4_096


class _SlowCaller:
    """The other end of a connection, which reads so much a second of a simulated time."""

    def __init__(self, bytes_per_s: int, monkeypatch: pytest.MonkeyPatch) -> None:
        self.socket, own_socket = socket.socketpair()
        own_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _BUFFER_BYTES)
        own_socket.setblocking(False)
        self.own_socket = own_socket
        self.writer = CallerWriter(own_socket)
        self.bytes_per_s = bytes_per_s
        self.received = b""
        self.now_s = 1_000.0
        self._began_s = self.now_s
        monkeypatch.setattr(caller_io.time, "monotonic", lambda: self.now_s)
        monkeypatch.setattr(caller_io, "wait_until_ready", self._wait)

    @property
    def elapsed_s(self) -> float:
        """Return how much time has passed."""
        return self.now_s - self._began_s

    def read_rest(self) -> None:
        """Read all that the kernel holds."""
        self.socket.setblocking(False)
        try:
            while part := self.socket.recv(65_536):
                self.received += part
        except BlockingIOError:
            return

    def _wait(self, events: Mapping[int, int], timeout_s: float) -> list[int]:
        """Let the time pass, and read; the kernel takes more only once it has passed on all."""
        self.now_s += timeout_s
        if self.bytes_per_s:
            self.received += self.socket.recv(int(self.bytes_per_s * timeout_s))
        if caller_io._unacknowledged_bytes(self.own_socket):
            raise TimeoutError
        return list(events)


@pytest.fixture
def callers(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[_SlowCaller]]:
    """Return the callers of a test, whose connections are closed after it."""
    opened: list[_SlowCaller] = []
    yield opened
    for caller in opened:
        caller.socket.close()
        caller.own_socket.close()


@pytest.mark.parametrize("bytes_per_s", [50_000, 10_000, 2_000])
def test_a_caller_that_reads_on_gets_its_whole_answer_however_slowly(
    bytes_per_s: int, callers: list[_SlowCaller], monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against MIXED (review/11): the write as a whole had a time limit.
    caller = _SlowCaller(bytes_per_s, monkeypatch)
    callers.append(caller)
    assert caller.writer.write(_ANSWER) == len(_ANSWER)
    caller.read_rest()
    assert caller.received == _ANSWER
    assert caller.elapsed_s > UNREAD_TIMEOUT_S


@pytest.mark.parametrize(
    ("time_left_s", "waits_s"),
    [(0.0, UNREAD_TIMEOUT_S), (10.0, UNREAD_TIMEOUT_S), (100.0, 100.0)],
    ids=["usual", "short time limit", "long time limit"],
)
def test_a_caller_that_reads_nothing_is_given_up(
    time_left_s: float,
    waits_s: float,
    callers: list[_SlowCaller],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    caller = _SlowCaller(0, monkeypatch)
    callers.append(caller)
    caller.writer.patient_until_s = caller.now_s + time_left_s
    with pytest.raises(CallerConnectionError):
        caller.writer.write(_ANSWER)
    assert waits_s <= caller.elapsed_s <= waits_s + 2


def test_nothing_follows_a_write_of_which_the_caller_has_a_part(
    callers: list[_SlowCaller], monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against MIXED (review/11): what came next stood inside a chunk.
    caller = _SlowCaller(0, monkeypatch)
    callers.append(caller)
    with pytest.raises(CallerConnectionError):
        caller.writer.write(_ANSWER)
    caller.read_rest()
    received = caller.received
    assert _ANSWER.startswith(received)
    with pytest.raises(CallerConnectionError):
        caller.writer.write(b"another run")
    caller.read_rest()
    assert caller.received == received


def test_a_caller_without_room_is_told_apart_from_a_silent_upstream(
    callers: list[_SlowCaller], monkeypatch: pytest.MonkeyPatch
) -> None:
    class _NoRoom:
        def begin(self, size_bytes: int) -> None:
            raise TimeoutError("no room")

        def record_progress(self, size_bytes: int) -> None:
            raise AssertionError

        def end(self) -> None:
            raise AssertionError

    caller = _SlowCaller(0, monkeypatch)
    callers.append(caller)
    caller.writer.room = _NoRoom()
    with pytest.raises(CallerConnectionError, match="no room"):
        caller.writer.write(_ANSWER)


@pytest.mark.parametrize("time_left_ms", [-1, 5_000, 100_000, 1 << 40])
def test_the_kernel_awaits_a_caller_for_as_long_as_its_request_may_take(time_left_ms: int) -> None:
    with socket.socket() as caller_socket:
        connection = _CallerConnection(MagicMock(), caller_socket)
        connection.set_time_limit(time_left_ms)
        option = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        expected_ms = min(max(time_left_ms, int(1_000 * UNREAD_TIMEOUT_S)), (1 << 31) - 1)
        assert caller_socket.getsockopt(*option) == expected_ms
        # The next request on the connection has a time limit of its own.
        connection.set_time_limit(0)
        assert caller_socket.getsockopt(*option) == int(1_000 * UNREAD_TIMEOUT_S)
