"""What the tool's exit codes mean; they are stable, and scripts may rely on them."""

from collections.abc import Mapping
from enum import IntEnum
from types import MappingProxyType

from azureturn.errors import ErrorKind


class ExitCode(IntEnum):
    """Every exit code of ``azureturn``."""

    OK = 0
    FAILED = 1
    MISTAKE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    PARTIAL = 5
    TIMEOUT = 6
    NOT_FOUND = 7
    UNKNOWN = 8


EXIT_CODE_MEANINGS: Mapping[ExitCode, str] = MappingProxyType(
    {
        ExitCode.OK: "Done.",
        ExitCode.FAILED: "The tool itself failed; nothing more is known.",
        ExitCode.MISTAKE: "The command line or the settings have a mistake; nothing was changed.",
        ExitCode.CONFLICT: "Another operator's change came first; nothing was changed.",
        ExitCode.UNAVAILABLE: "The key-value service or every VM gave no answer.",
        ExitCode.PARTIAL: "Some VMs gave no answer; what is shown leaves them out.",
        ExitCode.TIMEOUT: "What --wait waited for did not happen within the time limit.",
        ExitCode.NOT_FOUND: "Nothing has the name that was given.",
        ExitCode.UNKNOWN: "A write was sent and it is not known whether it took effect.",
    }
)

_OF_KIND: Mapping[ErrorKind, ExitCode] = MappingProxyType(
    {
        ErrorKind.MALFORMED_JSON: ExitCode.MISTAKE,
        ErrorKind.MALFORMED_REQUEST: ExitCode.MISTAKE,
        ErrorKind.CONFLICT: ExitCode.CONFLICT,
        ErrorKind.KEY_VALUE_UNAVAILABLE: ExitCode.UNAVAILABLE,
        ErrorKind.NOT_FOUND: ExitCode.NOT_FOUND,
        ErrorKind.OUTCOME_UNKNOWN: ExitCode.UNKNOWN,
    }
)


def exit_code_of(kind: ErrorKind) -> ExitCode:
    """Return the exit code for an error of a kind."""
    return _OF_KIND.get(kind, ExitCode.FAILED)
