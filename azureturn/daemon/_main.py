"""Entry point of the ``azureturnd`` command."""

import os
import signal
import sys
import threading
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from azureturn.daemon._daemon import Daemon
from azureturn.errors import SettingsError
from azureturn.settings import load_settings

EXIT_SETTINGS = 2
EXIT_REQUESTS_CUT = 3


@cappa.command(name="azureturnd", help="The entry daemon of one VM.")
@dataclass(frozen=True)
class DaemonCommand:
    """Command-line options of the daemon."""

    config: Annotated[Path, cappa.Arg(long=True, help="The JSON base file.")]
    overlay: Annotated[
        list[Path],
        cappa.Arg(long=True, help="A JSON overlay: the site's, then the VM's own."),
    ] = field(default_factory=list)


def main() -> None:
    """Run the daemon until SIGTERM or SIGINT.

    A second signal stops waiting for requests in flight. The exit status is 3 if requests were
    still in flight when the daemon stopped.
    """
    command = cappa.parse(DaemonCommand)
    try:
        settings = load_settings(command.config, command.overlay)
    except SettingsError as error:
        sys.stderr.write(error.message + "\n")
        sys.exit(EXIT_SETTINGS)
    stop_requested = threading.Event()
    daemon = Daemon.from_settings(settings)

    def on_signal(*_: object) -> None:
        if stop_requested.is_set():
            daemon.skip_stop_wait()
        stop_requested.set()

    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, on_signal)
    daemon.start()
    stop_requested.wait()
    finished_cleanly = daemon.stop()
    sys.stderr.flush()
    # Threads still blocked on unresponsive peers must not delay the exit.
    os._exit(0 if finished_cleanly else EXIT_REQUESTS_CUT)
