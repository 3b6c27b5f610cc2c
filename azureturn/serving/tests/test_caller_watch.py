"""The watch for callers that close their connections."""

import socket
import threading
from functools import partial

from azureturn.serving import LoopCallerWatch, ThreadCallerWatch
from azureturn.tasks import TaskLoop

_WAIT_S = 10.0


def test_a_late_event_of_an_earlier_connection_does_not_concern_the_next_one() -> None:
    """A connection may have the descriptor of one that was closed while its event was handled."""
    disconnected = threading.Event()
    watch = ThreadCallerWatch()
    own_end, callers_end = socket.socketpair()
    with own_end, callers_end:
        descriptor = watch.watch(own_end, disconnected.set)
        watch._notify(descriptor)
        assert not disconnected.is_set()
        callers_end.close()
        assert disconnected.wait(_WAIT_S)
        watch.unwatch(descriptor)


def test_the_end_of_a_connection_is_reported_once_it_is_watched() -> None:
    disconnected = threading.Event()
    watch = ThreadCallerWatch()
    own_end, callers_end = socket.socketpair()
    with own_end:
        callers_end.close()
        descriptor = watch.watch(own_end, disconnected.set)
        assert disconnected.wait(_WAIT_S)
        watch.unwatch(descriptor)


def test_a_caller_that_leaves_is_reported_on_the_loop() -> None:
    loop = TaskLoop("test-loop", lambda _error: None)
    loop.start()
    disconnected = threading.Event()
    watch = LoopCallerWatch(loop)
    own_end, callers_end = socket.socketpair()
    with own_end, callers_end:
        loop.spawn(lambda: watch.watch(own_end, disconnected.set) and None)
        callers_end.close()
        assert disconnected.wait(_WAIT_S)


def test_a_caller_that_has_left_is_reported_at_once() -> None:
    watch = LoopCallerWatch(TaskLoop("test-loop", lambda _error: None))
    calls: list[str] = []
    own_end, callers_end = socket.socketpair()
    with own_end:
        callers_end.close()
        watch.watch(own_end, partial(calls.append, "left"))
    assert calls == ["left"]
