"""``azureturn config``."""

from dataclasses import dataclass

import cappa

from azureturn.command._exit_codes import ExitCode
from azureturn.command._options import SiteOptions
from azureturn.command._output import Output
from azureturn.settings import load_settings


@cappa.command(name="check", help="Check settings and list every mistake.")
@dataclass(frozen=True)
class ConfigCheck:
    """``azureturn config check``."""

    options: cappa.Destructured[SiteOptions]

    def __call__(self) -> ExitCode:
        """Exit 0 where the settings can be used, 2 with every mistake where not."""
        settings = load_settings(self.options.config, self.options.overlay)
        site = settings.shared.site
        Output.to_stdout(as_json=self.options.json).write(
            {"site": site, "mistakes": []}, f"{site}: the settings can be used"
        )
        return ExitCode.OK


@cappa.command(name="config", help="Check, compare and apply settings.")
@dataclass(frozen=True)
class ConfigCommand:
    """``azureturn config``."""

    command: cappa.Subcommands[ConfigCheck]
