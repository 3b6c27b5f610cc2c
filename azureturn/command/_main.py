"""Entry point of ``azureturn``; each group of subcommands has its own module."""

import sys
from collections.abc import Sequence
from dataclasses import dataclass

import cappa

from azureturn._version import __version__
from azureturn.command._config import ConfigCommand
from azureturn.command._errors import report_error
from azureturn.command._exit_codes import ExitCode
from azureturn.command._move import MoveCommand
from azureturn.command._requests import RequestsCommand
from azureturn.command._slo import SloCommand
from azureturn.command._upstream import UpstreamCommand
from azureturn.command._vm import VmCommand
from azureturn.command._zone import ZoneCommand
from azureturn.errors import AzureturnError

#: One-line format of usage errors, with a pointer to the help.
ERROR_FORMAT = "{prog}: {message} (see '{prog} --help')"

Subcommand = (
    ConfigCommand
    | MoveCommand
    | UpstreamCommand
    | VmCommand
    | ZoneCommand
    | RequestsCommand
    | SloCommand
)


@cappa.command(name="azureturn", help="Operate azureturn from the terminal.")
@dataclass(frozen=True)
class AzureturnCommand:
    """``azureturn``."""

    command: cappa.Subcommands[Subcommand]


def run(arguments: Sequence[str]) -> int:
    """Run one command and return its exit code."""
    try:
        output = cappa.Output(error_format=ERROR_FORMAT)
        code = cappa.invoke(
            AzureturnCommand, argv=list(arguments), output=output, version=__version__
        )
    except AzureturnError as error:
        return report_error(error)
    return code if isinstance(code, ExitCode) else ExitCode.OK


def main() -> None:
    """Run the command that the command line names."""
    sys.exit(int(run(sys.argv[1:])))
