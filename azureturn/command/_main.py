"""The entry point of ``azureturn``."""

import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from azureturn.errors import SettingsError
from azureturn.settings import load_settings

EXIT_SETTINGS = 2


@cappa.command(name="check", help="Check settings and list every mistake.")
@dataclass(frozen=True)
class ConfigCheck:
    """``azureturn config check``."""

    config: Annotated[Path, cappa.Arg(long=True, help="The JSON base file.")]
    overlay: Annotated[list[Path], cappa.Arg(long=True, help="A JSON overlay.")] = field(
        default_factory=list
    )

    def __call__(self) -> None:
        """Exit 0 where the settings can be used, 2 with every mistake where not."""
        try:
            settings = load_settings(self.config, self.overlay)
        except SettingsError as error:
            sys.stderr.write(error.message + "\n")
            raise cappa.Exit(code=EXIT_SETTINGS) from error
        sys.stdout.write(f"{settings.shared.site}: the settings can be used\n")


@cappa.command(name="config", help="Check, compare and apply settings.")
@dataclass(frozen=True)
class ConfigCommand:
    """``azureturn config``."""

    command: cappa.Subcommands[ConfigCheck]


@cappa.command(name="azureturn", help="Operate azureturn from the terminal.")
@dataclass(frozen=True)
class AzureturnCommand:
    """``azureturn``."""

    command: cappa.Subcommands[ConfigCommand]


def main() -> None:
    """Run one command."""
    cappa.invoke(AzureturnCommand)
