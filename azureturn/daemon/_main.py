"""The entry point of ``azureturnd``."""

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
EXIT_CUT = 3


@cappa.command(name="azureturnd", help="The entry daemon of one VM.")
@dataclass(frozen=True)
class DaemonCommand:
    """The daemon's command line."""

    config: Annotated[Path, cappa.Arg(long=True, help="The JSON base file.")]
    overlay: Annotated[
        list[Path],
        cappa.Arg(long=True, help="A JSON overlay: the site's, then the VM's own."),
    ] = field(default_factory=list)


def main() -> None:
    """Run the daemon until SIGTERM or SIGINT; exit 3 if requests were cut.

    A second signal ends the wait for requests in flight.
    """
    command = cappa.parse(DaemonCommand)
    try:
        settings = load_settings(command.config, command.overlay)
    except SettingsError as error:
        sys.stderr.write(error.message + "\n")
        sys.exit(EXIT_SETTINGS)
    stop_wanted = threading.Event()
    daemon = Daemon.from_settings(settings)

    def on_signal(*_: object) -> None:
        if stop_wanted.is_set():
            daemon.cut()
        stop_wanted.set()

    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, on_signal)
    daemon.start()
    stop_wanted.wait()
    whole = daemon.stop()
    sys.stderr.flush()
    # Threads that wait on silent peers must not hold the process back.
    os._exit(0 if whole else EXIT_CUT)
