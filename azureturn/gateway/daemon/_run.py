"""Runs a gateway until it is stopped by a signal."""

import gc
import os
import signal
import sys
import threading
from collections.abc import Callable
from types import FrameType

from azureturn.errors import SettingsError
from azureturn.gateway.daemon._gateway import GatewayDaemon
from azureturn.gateway.settings import GatewaySettings

EXIT_REQUESTS_CUT = 3
#: The settings file is checked this often, as it may change without a signal.
_POLL_INTERVAL_S = 5.0


class _SettingsReloader:
    """Reloads the settings when they have changed or a reload is requested."""

    def __init__(self, daemon: GatewayDaemon, read: Callable[[], GatewaySettings]) -> None:
        self._daemon = daemon
        self._read = read
        self._last_settings_or_error: GatewaySettings | str = daemon.settings

    def reload_if_changed(self, *, force: bool) -> None:
        """Apply settings that have changed; invalid settings are only logged.

        With ``force``, settings are also applied if they have not changed.
        """
        settings_or_error: GatewaySettings | str
        try:
            settings_or_error = self._read()
        except (SettingsError, OSError) as error:
            settings_or_error = str(error)
        if settings_or_error == self._last_settings_or_error and not force:
            return
        self._last_settings_or_error = settings_or_error
        if isinstance(settings_or_error, str):
            self._daemon.log_invalid_settings(settings_or_error)
        else:
            self._daemon.change_settings(settings_or_error)


def run_gateway(daemon: GatewayDaemon, read_settings: Callable[[], GatewaySettings]) -> None:
    """Serve until SIGTERM or SIGINT, then run a planned stop.

    A second signal makes the stop end without waiting for requests in flight. SIGHUP reloads the
    settings.
    """
    wake_up = threading.Event()
    stop_requested = threading.Event()
    reload_requested = threading.Event()

    def on_stop(number: int, frame: FrameType | None) -> None:
        if stop_requested.is_set():
            daemon.skip_stop_wait()
        stop_requested.set()
        wake_up.set()

    def on_reload(number: int, frame: FrameType | None) -> None:
        reload_requested.set()
        wake_up.set()

    for signal_number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(signal_number, on_stop)
    signal.signal(signal.SIGHUP, on_reload)
    reloader = _SettingsReloader(daemon, read_settings)
    daemon.start()
    # What the start has allocated stays. Each full collection would look through all of it, which
    # takes some 20 ms in which no request is served, and several times that on a slow VM.
    gc.freeze()
    while not stop_requested.is_set():
        wake_up.wait(_POLL_INTERVAL_S)
        wake_up.clear()
        force = reload_requested.is_set()
        reload_requested.clear()
        if not stop_requested.is_set():
            reloader.reload_if_changed(force=force)
    all_finished = daemon.stop()
    sys.stdout.flush()
    # Threads that wait for unresponsive peers must not delay the exit.
    os._exit(0 if all_finished else EXIT_REQUESTS_CUT)
