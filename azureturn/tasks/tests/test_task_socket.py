"""Sockets that libraries use in tasks as they would on threads."""

import queue
import socket
from collections.abc import Callable

import pytest

from azureturn.tasks import TaskLoop, TaskSocket, current_task

_WAIT_S = 10.0
_SHORT_S = 0.01


def _run_in_task(function: Callable[[], object]) -> object:
    results: queue.SimpleQueue[object] = queue.SimpleQueue()
    loop = TaskLoop("test-loop", results.put)
    loop.start()
    loop.spawn(lambda: results.put(function()))
    return results.get(timeout=_WAIT_S)


def _run_on_thread(function: Callable[[], object]) -> object:
    return function()


_RUNNERS = pytest.mark.parametrize("run", [_run_in_task, _run_on_thread], ids=["task", "thread"])


def _connect(port: int) -> TaskSocket:
    connection = TaskSocket(socket.AF_INET, socket.SOCK_STREAM)
    connection.settimeout(_WAIT_S)
    connection.connect(("127.0.0.1", port))
    return connection


@_RUNNERS
def test_a_library_reads_and_writes_through_a_file(
    run: Callable[[Callable[[], object]], object],
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:

        def exchange() -> bytes:
            with _connect(server.getsockname()[1]) as connection:
                connection.sendall(b"question\n")
                accepted, _ = server.accept()
                accepted.sendall(accepted.recv(100) + b"answer\n")
                accepted.close()
                with connection.makefile("rb") as file:
                    return file.read()

        assert run(exchange) == b"question\nanswer\n"


@_RUNNERS
def test_a_timeout_is_that_of_a_blocking_socket(
    run: Callable[[Callable[[], object]], object],
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:

        def wait() -> str:
            with _connect(server.getsockname()[1]) as connection:
                connection.settimeout(_SHORT_S)
                try:
                    connection.recv(1)
                except TimeoutError:
                    return "timed out"
            return "received"

        assert run(wait) == "timed out"


@_RUNNERS
def test_a_refused_connection_is_reported(run: Callable[[Callable[[], object]], object]) -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        port = server.getsockname()[1]

    def connect() -> str:
        try:
            _connect(port)
        except ConnectionRefusedError:
            return "refused"
        return "connected"

    assert run(connect) == "refused"


def test_other_tasks_run_while_one_waits() -> None:
    order: list[str] = []
    with socket.create_server(("127.0.0.1", 0)) as server:

        def wait() -> list[str]:
            connection = _connect(server.getsockname()[1])
            task = current_task()
            assert task is not None
            task.loop.spawn(send)
            connection.recv(1)
            order.append("received")
            connection.close()
            return order

        def send() -> None:
            order.append("sent")
            server.accept()[0].sendall(b"x")

        assert _run_in_task(wait) == ["sent", "received"]
