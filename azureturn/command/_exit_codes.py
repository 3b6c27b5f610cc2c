"""Exit codes of the tool; they are stable, and scripts may rely on them."""

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
        ExitCode.FAILED: "The command failed; no more specific code applies.",
        ExitCode.MISTAKE: "The command line or the settings are invalid; nothing was changed.",
        ExitCode.CONFLICT: "Conflict with another operator's change; nothing was changed.",
        ExitCode.UNAVAILABLE: "The key-value service or all VMs did not respond.",
        ExitCode.PARTIAL: "Some VMs did not respond; the output omits them.",
        ExitCode.TIMEOUT: "The condition that --wait waits for was not met within the time limit.",
        ExitCode.NOT_FOUND: "No object with the given name exists.",
        ExitCode.UNKNOWN: "A write was sent, and whether it took effect is unknown.",
    }
)

_CODES_BY_KIND: Mapping[ErrorKind, ExitCode] = MappingProxyType(
    {
        ErrorKind.MALFORMED_JSON: ExitCode.MISTAKE,
        ErrorKind.MALFORMED_REQUEST: ExitCode.MISTAKE,
        ErrorKind.CONFLICT: ExitCode.CONFLICT,
        ErrorKind.KEY_VALUE_UNAVAILABLE: ExitCode.UNAVAILABLE,
        ErrorKind.NOT_FOUND: ExitCode.NOT_FOUND,
        ErrorKind.OUTCOME_UNKNOWN: ExitCode.UNKNOWN,
    }
)


def exit_code_for(kind: ErrorKind) -> ExitCode:
    """Return the exit code for an error kind."""
    return _CODES_BY_KIND.get(kind, ExitCode.FAILED)
