"""The command-line tool ``azureturn`` for operators."""

from azureturn.command._exit_codes import EXIT_CODE_MEANINGS, ExitCode
from azureturn.command._main import main, run

__all__ = ["EXIT_CODE_MEANINGS", "ExitCode", "main", "run"]
