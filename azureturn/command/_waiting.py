"""Waits, with progress, until something that a command began is done."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from azureturn.command._exit_codes import ExitCode
from azureturn.command._options import WaitOptions
from azureturn.command._output import Output

POLL_INTERVAL_S = 0.2


@dataclass(frozen=True)
class Progress:
    """How far something is."""

    done: bool
    text: str


def wait_until_done(
    check: Callable[[], Progress], options: WaitOptions, output: Output
) -> ExitCode:
    """Check until done or out of time; each change of the text is one line of progress."""
    ends_at_s = time.monotonic() + options.wait_s
    shown = ""
    while True:
        progress = check()
        if progress.text != shown:
            shown = progress.text
            output.progress(shown)
        if progress.done:
            return ExitCode.OK
        if time.monotonic() >= ends_at_s:
            output.progress(f"gave up after {options.wait_s:g} s; it may still come")
            return ExitCode.TIMEOUT
        time.sleep(POLL_INTERVAL_S)
