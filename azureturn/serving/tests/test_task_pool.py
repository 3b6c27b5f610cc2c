"""The pool of tasks: what counts as unfinished, what is refused, and errors of connections."""

import queue
import threading
from collections.abc import Callable

from azureturn.serving._task_pool import TaskPool
from azureturn.tasks import TaskLoop

_WAIT_S = 10.0


class _Connection:
    """A connection whose request is served by a function of the test."""

    def __init__(self, serve: Callable[[], bool]) -> None:
        self.communicate = serve
        self.closed = threading.Event()

    def close(self) -> None:
        self.closed.set()


class _Server:
    """Records the connections that are kept open, and the errors that are logged."""

    def __init__(self) -> None:
        self.kept: queue.SimpleQueue[_Connection] = queue.SimpleQueue()
        self.errors: queue.SimpleQueue[str] = queue.SimpleQueue()
        self.put_conn = self.kept.put
        self.error_log = self.errors.put


def _pool(server: _Server, refused: list[_Connection], limit: int = 10) -> TaskPool:
    loop = TaskLoop("test-loop", lambda error: server.errors.put(repr(error)))
    loop.start()
    return TaskPool(server, loop, limit=limit, refuse=refused.append)


def test_an_accepted_connection_counts_until_its_task_runs() -> None:
    server = _Server()
    pool = _pool(server, [])
    is_busy, goes_on = threading.Event(), threading.Event()

    def compute_for_long() -> bool:
        is_busy.set()
        return goes_on.wait(_WAIT_S)

    # It occupies the loop itself, as a long computation does.
    pool.put(_Connection(compute_for_long))
    assert is_busy.wait(_WAIT_S)
    assert pool.qsize == 0
    accepted = _Connection(lambda: True)
    pool.put(accepted)
    assert pool.qsize == 1
    goes_on.set()
    server.kept.get(timeout=_WAIT_S)
    assert server.kept.get(timeout=_WAIT_S) is accepted
    assert (pool.qsize, pool.open_connections) == (0, 0)


def test_connections_beyond_the_limit_are_refused() -> None:
    server, refused = _Server(), list[_Connection]()
    pool = _pool(server, refused, limit=1)
    is_busy, goes_on = threading.Event(), threading.Event()
    pool.put(_Connection(lambda: bool(is_busy.set()) or goes_on.wait(_WAIT_S)))
    assert is_busy.wait(_WAIT_S)
    surplus = _Connection(lambda: True)
    pool.put(surplus)
    goes_on.set()
    server.kept.get(timeout=_WAIT_S)
    pool.put(_Connection(lambda: True))
    server.kept.get(timeout=_WAIT_S)
    assert refused == [surplus]


def test_a_connection_that_fails_is_closed_and_the_pool_goes_on() -> None:
    server = _Server()
    pool = _pool(server, [])

    def fail() -> bool:
        raise ConnectionResetError("reset by the caller")

    failing = _Connection(fail)
    pool.put(failing)
    assert failing.closed.wait(_WAIT_S)
    assert "ConnectionResetError" in server.errors.get(timeout=_WAIT_S)
    pool.put(_Connection(lambda: True))
    server.kept.get(timeout=_WAIT_S)
    assert pool.open_connections == 0
