"""Tasks of a loop: waiting, being woken from other threads, timeouts, and errors."""

import queue
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from functools import partial

import pytest

from azureturn.tasks import (
    HUNG_UP,
    READABLE,
    Mailbox,
    MailboxFullError,
    Priority,
    TaskLoop,
    connect,
    current_task,
    new_signal,
    receive,
    send_all,
    sleep,
    wait_until_ready,
)

#: How long a test waits for what must happen; not a measured time.
_WAIT_S = 10.0
#: A timeout that is certain to pass.
_SHORT_S = 0.01
_REQUESTS = 20


class _Runner:
    """A loop whose tasks' results and errors a test can wait for."""

    def __init__(self) -> None:
        self.errors: queue.SimpleQueue[BaseException] = queue.SimpleQueue()
        self.loop = TaskLoop("test-loop", self.errors.put)
        self.loop.start()

    def run(self, function: Callable[[], object]) -> object:
        """Run a function as a task and return its result."""
        results: queue.SimpleQueue[object] = queue.SimpleQueue()

        def run() -> None:
            try:
                results.put(function())
            except Exception as error:  # noqa: BLE001
                results.put(error)

        self.loop.spawn(run)
        return results.get(timeout=_WAIT_S)


@pytest.fixture
def runner() -> _Runner:
    return _Runner()


@pytest.fixture
def sockets() -> Iterator[tuple[socket.socket, socket.socket]]:
    """Return two connected non-blocking sockets."""
    pair = socket.socketpair()
    for end in pair:
        end.setblocking(False)
    yield pair
    for end in pair:
        end.close()


def test_only_code_on_the_loop_has_a_task(runner: _Runner) -> None:
    assert current_task() is None
    assert runner.run(current_task) is not None


def test_a_task_gets_what_another_thread_puts_into_a_mailbox(runner: _Runner) -> None:
    mailbox: Mailbox[int] = Mailbox()
    threading.Timer(_SHORT_S, mailbox.put, [7]).start()
    assert runner.run(lambda: mailbox.get(timeout_s=_WAIT_S)) == 7


def test_a_thread_gets_what_a_task_puts_into_a_mailbox(runner: _Runner) -> None:
    mailbox: Mailbox[int] = Mailbox()
    runner.loop.spawn(lambda: mailbox.put(7))
    assert mailbox.get(timeout_s=_WAIT_S) == 7


def test_an_item_that_nobody_waited_for_is_kept(runner: _Runner) -> None:
    mailbox: Mailbox[int] = Mailbox(limit=1)
    assert isinstance(runner.run(lambda: mailbox.get(timeout_s=_SHORT_S)), TimeoutError)
    mailbox.put(7)
    with pytest.raises(MailboxFullError):
        mailbox.put(8)
    assert runner.run(lambda: mailbox.get(timeout_s=_SHORT_S)) == 7


def test_many_threads_and_tasks_share_a_mailbox(runner: _Runner) -> None:
    mailbox: Mailbox[int] = Mailbox()
    taken: queue.SimpleQueue[int] = queue.SimpleQueue()

    def take() -> None:
        for _ in range(50):
            taken.put(mailbox.get(timeout_s=_WAIT_S))

    for _ in range(4):
        runner.loop.spawn(take)
        threading.Thread(target=take, daemon=True).start()
    for number in range(400):
        mailbox.put(number)
    assert sorted(taken.get(timeout=_WAIT_S) for _ in range(400)) == list(range(400))


def test_a_wake_up_for_an_earlier_wait_does_not_end_a_later_one(runner: _Runner) -> None:
    def wait_twice() -> tuple[bool, bool]:
        first, second = new_signal(), new_signal()
        first_was_set = first.wait(_SHORT_S)
        first.set()
        return first_was_set, second.wait(_SHORT_S)

    assert runner.run(wait_twice) == (False, False)


def test_a_signal_that_was_set_before_the_wait_ends_it_at_once(runner: _Runner) -> None:
    def set_and_wait() -> bool:
        signal = new_signal()
        signal.set()
        return signal.wait(None)

    assert runner.run(set_and_wait) is True


@pytest.mark.parametrize("on_a_task", [True, False], ids=["task", "thread"])
def test_receiving_waits_for_data_and_times_out(
    runner: _Runner, sockets: tuple[socket.socket, socket.socket], on_a_task: bool
) -> None:
    near, far = sockets
    run = runner.run if on_a_task else (lambda function: function())
    with pytest.raises(TimeoutError):
        raise_result(run(lambda: result_of(receive, near, 10, _SHORT_S)))
    threading.Timer(_SHORT_S, far.send, [b"data"]).start()
    assert run(lambda: receive(near, 10, _WAIT_S)) == b"data"
    far.close()
    assert run(lambda: receive(near, 10, _WAIT_S)) == b""


@pytest.mark.parametrize("on_a_task", [True, False], ids=["task", "thread"])
def test_sending_waits_for_a_slow_reader_and_times_out(
    runner: _Runner, sockets: tuple[socket.socket, socket.socket], on_a_task: bool
) -> None:
    near, far = sockets
    run = runner.run if on_a_task else (lambda function: function())
    data = bytes(8 << 20)
    with pytest.raises(TimeoutError):
        raise_result(run(lambda: result_of(send_all, near, data, _SHORT_S)))

    def read_all() -> None:
        far.settimeout(_WAIT_S)
        with suppress(OSError):
            while far.recv(1 << 16):
                pass

    threading.Thread(target=read_all, daemon=True).start()
    assert run(lambda: send_all(near, data, _WAIT_S)) is None


def test_a_connection_that_is_refused_is_reported_as_such(runner: _Runner) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = listener.getsockname()
        connection = runner.run(lambda: connect(address, _WAIT_S))
        assert isinstance(connection, socket.socket)
        connection.close()
    assert isinstance(runner.run(lambda: connect(address, _WAIT_S)), ConnectionRefusedError)


def test_the_first_of_several_sockets_that_is_ready_ends_the_wait(runner: _Runner) -> None:
    pairs = [socket.socketpair() for _ in range(3)]
    interests = {near.fileno(): READABLE for near, _ in pairs}
    pairs[1][1].send(b"x")
    assert runner.run(lambda: wait_until_ready(interests, _WAIT_S)) == [pairs[1][0].fileno()]
    # The others can be waited for again.
    pairs[2][1].send(b"x")
    pairs[1][0].recv(1)
    assert runner.run(lambda: wait_until_ready(interests, _WAIT_S)) == [pairs[2][0].fileno()]
    for near, far in pairs:
        near.close()
        far.close()


def test_a_socket_with_the_number_of_a_closed_one_is_waited_for_anew(runner: _Runner) -> None:
    def use_number_again() -> bytes:
        for number in range(20):
            near, far = socket.socketpair()
            for end in (near, far):
                end.setblocking(False)
            far.send(b"%d" % number)
            data = receive(near, 10, _WAIT_S)
            near.close()
            far.close()
        return data

    assert runner.run(use_number_again) == b"19"


def test_a_task_is_resumed_when_its_socket_is_shut_down(
    runner: _Runner, sockets: tuple[socket.socket, socket.socket]
) -> None:
    near, _ = sockets
    threading.Timer(_SHORT_S, near.shutdown, [socket.SHUT_RDWR]).start()
    assert runner.run(lambda: receive(near, 10, _WAIT_S)) == b""


@pytest.mark.parametrize("error_type", [ValueError, SystemExit, KeyboardInterrupt])
def test_an_error_ends_only_its_task(runner: _Runner, error_type: type[BaseException]) -> None:
    def fail() -> None:
        raise error_type("unexpected")

    runner.loop.spawn(fail)
    assert isinstance(runner.errors.get(timeout=_WAIT_S), error_type)
    assert runner.run(lambda: "still running") == "still running"


def test_a_later_deadline_replaces_an_earlier_one(
    runner: _Runner, sockets: tuple[socket.socket, socket.socket]
) -> None:
    near, far = sockets

    def wait_longer_than_before() -> bytes:
        with pytest.raises(TimeoutError):
            receive(near, 10, _SHORT_S)
        sleep(_SHORT_S)
        far.send(b"data")
        return receive(near, 10, _WAIT_S)

    assert runner.run(wait_longer_than_before) == b"data"


def test_an_earlier_deadline_is_kept_in_time(runner: _Runner) -> None:
    def wait_shorter_than_before() -> float:
        signal = new_signal()
        threading.Timer(_SHORT_S, signal.set).start()
        assert signal.wait(100 * _WAIT_S)
        started_s = time.monotonic()
        assert not new_signal().wait(_SHORT_S)
        return time.monotonic() - started_s

    waited_s = runner.run(wait_shorter_than_before)
    assert isinstance(waited_s, float)
    assert waited_s >= _SHORT_S


def test_ended_tasks_are_not_counted(runner: _Runner) -> None:
    stop = threading.Event()
    mailbox: Mailbox[int] = Mailbox()
    for _ in range(100):
        runner.loop.spawn(lambda: mailbox.get(timeout_s=_WAIT_S) and None)
    assert runner.run(lambda: runner.loop.task_count) == 101
    for _ in range(100):
        mailbox.put(1)
    ends_at_s = time.monotonic() + _WAIT_S
    while runner.run(lambda: runner.loop.task_count) != 1:
        assert time.monotonic() < ends_at_s
        stop.wait(_SHORT_S)


def result_of(function: Callable[..., object], *arguments: object) -> object:
    """Return the function's result, or the error that it raises."""
    try:
        return function(*arguments)
    except Exception as error:  # noqa: BLE001
        return error


def raise_result(result: object) -> None:
    """Raise a result that is an error."""
    if isinstance(result, Exception):
        raise result


def test_what_arrived_while_the_loop_was_busy_is_not_taken_for_a_timeout(
    runner: _Runner, sockets: tuple[socket.socket, socket.socket]
) -> None:
    near, far = sockets
    results: queue.SimpleQueue[object] = queue.SimpleQueue()
    start: Mailbox[None] = Mailbox()

    def be_busy() -> None:
        start.get()
        far.send(b"data")
        time.sleep(20 * _SHORT_S)

    def wait() -> None:
        start.put(None)
        results.put(result_of(receive, near, 10, 10 * _SHORT_S))

    runner.loop.spawn(be_busy)
    runner.loop.spawn(wait)
    assert results.get(timeout=_WAIT_S) == b"data"


def test_ready_tasks_of_control_are_resumed_first(runner: _Runner) -> None:
    order: list[str] = []
    goes_on = threading.Event()
    runner.loop.spawn(goes_on.wait)
    for name in ("first", "second"):
        runner.loop.spawn(partial(order.append, name))
    runner.loop.spawn(partial(order.append, "control"), priority=Priority.CONTROL)
    goes_on.set()
    runner.run(lambda: None)
    assert order == ["control", "first", "second"]


def test_a_task_of_control_does_not_wait_for_all_ready_tasks(
    runner: _Runner, sockets: tuple[socket.socket, socket.socket]
) -> None:
    near, far = sockets
    order: list[str] = []

    def follow() -> None:
        receive(near, 10, _WAIT_S)
        order.append("control")

    def compute() -> None:
        time.sleep(_SHORT_S)
        order.append("request")

    goes_on = threading.Event()
    runner.loop.spawn(follow, priority=Priority.CONTROL)
    runner.loop.spawn(goes_on.wait)
    runner.loop.spawn(partial(far.send, b"change"))
    for _ in range(_REQUESTS):
        runner.loop.spawn(compute)
    goes_on.set()
    runner.run(lambda: None)
    assert order.index("control") < _REQUESTS / 2


def test_a_callback_is_called_once_while_a_task_waits_for_the_same_descriptor(
    runner: _Runner, sockets: tuple[socket.socket, socket.socket]
) -> None:
    near, far = sockets
    order: list[str] = []

    def wait() -> list[str]:
        runner.loop.watch(near.fileno(), HUNG_UP, partial(order.append, "hung up"))
        far.send(b"data")
        order.append(receive(near, 10, _WAIT_S).decode())
        far.shutdown(socket.SHUT_RDWR)
        sleep(_SHORT_S)
        return order

    assert runner.run(wait) == ["data", "hung up"]


def test_a_callback_that_is_not_wanted_any_more_is_not_called(
    runner: _Runner, sockets: tuple[socket.socket, socket.socket]
) -> None:
    near, far = sockets
    calls: list[str] = []

    def wait() -> list[str]:
        runner.loop.watch(near.fileno(), HUNG_UP, partial(calls.append, "hung up"))
        runner.loop.unwatch(near.fileno())
        far.shutdown(socket.SHUT_RDWR)
        sleep(_SHORT_S)
        return calls

    assert runner.run(wait) == []


def test_a_task_gets_its_data_if_the_callback_is_given_up_before_it_is_resumed(
    runner: _Runner, sockets: tuple[socket.socket, socket.socket]
) -> None:
    near, far = sockets
    goes_on = threading.Event()
    results: queue.SimpleQueue[object] = queue.SimpleQueue()

    def wait() -> None:
        runner.loop.watch(near.fileno(), HUNG_UP, lambda: None)
        runner.loop.spawn(send)
        results.put(result_of(receive, near, 10, _WAIT_S))

    def send() -> None:
        far.send(b"data")
        # A control task runs between the poll that finds the data and the task that waits for it.
        runner.loop.spawn(give_up, priority=Priority.CONTROL)
        goes_on.wait(_SHORT_S)

    def give_up() -> None:
        runner.loop.unwatch(near.fileno())

    runner.loop.spawn(wait)
    assert results.get(timeout=_WAIT_S) == b"data"
    assert runner.errors.empty()


def test_a_loop_that_is_stopped_resumes_no_task(runner: _Runner) -> None:
    resumed: list[str] = []
    goes_on: Mailbox[None] = Mailbox()

    def wait() -> None:
        goes_on.get()
        resumed.append("resumed")

    runner.loop.spawn(wait)
    thread = runner.run(threading.current_thread)
    assert isinstance(thread, threading.Thread)
    runner.loop.stop()
    goes_on.put(None)
    thread.join(_WAIT_S)
    assert (thread.is_alive(), resumed) == (False, [])


def test_a_task_keeps_nothing_of_the_function_that_it_ran_before(runner: _Runner) -> None:
    # Guards against a priority, timer or wake-up that is meant for a function that has ended.
    ended_signals = []

    def run_as_control() -> None:
        task = current_task()
        assert task is not None
        task.priority = Priority.CONTROL
        ended_signals.append(new_signal())
        assert not ended_signals[-1].wait(_SHORT_S)
        raise ValueError

    def wait_and_describe() -> tuple[bool, Priority]:
        task, signal = current_task(), new_signal()
        assert task is not None
        for ended in ended_signals:
            ended.set()
        return signal.wait(5 * _SHORT_S), task.priority

    for _ in range(40):
        runner.run(run_as_control)
    assert runner.run(wait_and_describe) == (False, Priority.REQUEST)
    assert runner.run(lambda: runner.loop.task_count) == 1
