"""The watch for callers that close their connections."""

import socket
import threading

from azureturn.serving import CallerWatch

_WAIT_S = 10.0


def test_a_late_event_of_an_earlier_connection_does_not_concern_the_next_one() -> None:
    """A connection may have the descriptor of one that was closed while its event was handled."""
    disconnected = threading.Event()
    watch = CallerWatch()
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
    watch = CallerWatch()
    own_end, callers_end = socket.socketpair()
    with own_end:
        callers_end.close()
        descriptor = watch.watch(own_end, disconnected.set)
        assert disconnected.wait(_WAIT_S)
        watch.unwatch(descriptor)
