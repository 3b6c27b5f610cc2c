"""Runs a gateway until a signal ends it."""

import os
import signal
import sys
import threading
from collections.abc import Callable
from types import FrameType

from azureturn.errors import SettingsError
from azureturn.gateway.daemon._gateway import GatewayDaemon
from azureturn.gateway.settings import GatewaySettings

EXIT_CUT = 3
#: The settings file may also change without a signal.
_LOOK_INTERVAL_S = 5.0


class _SettingsWatch:
    """Reads the settings again, when asked to or when they have changed."""

    def __init__(self, daemon: GatewayDaemon, read: Callable[[], GatewaySettings]) -> None:
        self._daemon = daemon
        self._read = read
        self._seen: GatewaySettings | str = daemon.settings

    def look(self, *, asked: bool) -> None:
        """Put in force what has changed; settings that are not valid are only told of."""
        found: GatewaySettings | str
        try:
            found = self._read()
        except (SettingsError, OSError) as error:
            found = str(error)
        if found == self._seen and not asked:
            return
        self._seen = found
        if isinstance(found, str):
            self._daemon.note_wrong_settings(found)
        else:
            self._daemon.change_settings(found)


def run_gateway(daemon: GatewayDaemon, read_settings: Callable[[], GatewaySettings]) -> None:
    """Serve until SIGTERM or SIGINT, then stop in order; a second signal ends the wait.

    SIGHUP says that the settings changed, and they are read again.
    """
    woken = threading.Event()
    stop_wanted = threading.Event()
    reload_wanted = threading.Event()

    def on_stop(number: int, frame: FrameType | None) -> None:
        if stop_wanted.is_set():
            daemon.cut()
        stop_wanted.set()
        woken.set()

    def on_reload(number: int, frame: FrameType | None) -> None:
        reload_wanted.set()
        woken.set()

    for one in (signal.SIGINT, signal.SIGTERM):
        signal.signal(one, on_stop)
    signal.signal(signal.SIGHUP, on_reload)
    watch = _SettingsWatch(daemon, read_settings)
    daemon.start()
    while not stop_wanted.is_set():
        woken.wait(_LOOK_INTERVAL_S)
        woken.clear()
        asked = reload_wanted.is_set()
        reload_wanted.clear()
        if not stop_wanted.is_set():
            watch.look(asked=asked)
    whole = daemon.stop()
    sys.stdout.flush()
    # Threads that wait on silent peers must not hold the process back.
    os._exit(0 if whole else EXIT_CUT)
