"""Polls until an operation completes, and shows its progress."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from azureturn.command._exit_codes import ExitCode
from azureturn.command._options import WaitOptions
from azureturn.command._output import Output

POLL_INTERVAL_S = 0.2


@dataclass(frozen=True)
class Progress:
    """Progress of an operation."""

    done: bool
    text: str


def wait_until_done(
    check: Callable[[], Progress], options: WaitOptions, output: Output
) -> ExitCode:
    """Poll until done or timed out; write a line whenever the progress text changes."""
    deadline_s = time.monotonic() + options.wait_s
    last_text = ""
    while True:
        progress = check()
        if progress.text != last_text:
            last_text = progress.text
            output.progress(last_text)
        if progress.done:
            return ExitCode.OK
        if time.monotonic() >= deadline_s:
            output.progress(
                f"timed out after {options.wait_s:g} s; the operation may still complete"
            )
            return ExitCode.TIMEOUT
        time.sleep(POLL_INTERVAL_S)
