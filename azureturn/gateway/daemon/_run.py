"""Runs a gateway until a signal ends it."""

import os
import signal
import sys
import threading
from types import FrameType

from azureturn.gateway.daemon._gateway import GatewayDaemon

EXIT_CUT = 3


def run_gateway(daemon: GatewayDaemon) -> None:
    """Serve until SIGTERM or SIGINT, then stop in order; a second signal ends the wait.

    SIGHUP says that the settings changed. Everything that may change while a gateway runs lies
    in the store, so that it is only logged.
    """
    stop_wanted = threading.Event()

    def on_stop(number: int, frame: FrameType | None) -> None:
        if stop_wanted.is_set():
            daemon.cut()
        stop_wanted.set()

    def on_reload(number: int, frame: FrameType | None) -> None:
        daemon.note_reload()

    for one in (signal.SIGINT, signal.SIGTERM):
        signal.signal(one, on_stop)
    signal.signal(signal.SIGHUP, on_reload)
    daemon.start()
    stop_wanted.wait()
    whole = daemon.stop()
    sys.stdout.flush()
    # Threads that wait on silent peers must not hold the process back.
    os._exit(0 if whole else EXIT_CUT)
