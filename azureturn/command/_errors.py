"""Reports the error of a failed command: one line with a remedy, and an exit code."""

import sys

from azureturn.command._exit_codes import ExitCode, exit_code_for
from azureturn.errors import AzureturnError, ErrorKind, SettingsError


class CommandError(AzureturnError):
    """A command failed; ``advice`` says what the operator can do about it."""

    def __init__(
        self, kind: ErrorKind, message: str, *, advice: str, exit_code: ExitCode | None = None
    ) -> None:
        super().__init__(kind, message)
        self.advice = advice
        self.exit_code = exit_code_for(kind) if exit_code is None else exit_code


def report_error(error: AzureturnError) -> ExitCode:
    """Write an error to standard error and return its exit code.

    Mistakes in settings are written one per line; every other error is one line.
    """
    if isinstance(error, CommandError):
        sys.stderr.write(f"azureturn: {error.message}; {error.advice}\n")
        return error.exit_code
    if isinstance(error, SettingsError):
        sys.stderr.write(error.message + "\n")
        return ExitCode.MISTAKE
    if error.kind is ErrorKind.KEY_VALUE_UNAVAILABLE:
        sys.stderr.write(
            f"azureturn: the platform did not respond ({error.message}); "
            "check platform.key_value_url, or try again after the outage\n"
        )
        return ExitCode.UNAVAILABLE
    sys.stderr.write(f"azureturn: {error.message}\n")
    return exit_code_for(error.kind)
