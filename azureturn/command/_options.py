"""Options shared by several commands."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

DEFAULT_WAIT_S = 30.0


@dataclass(frozen=True, kw_only=True)
class SiteOptions:
    """The settings files of the site, which are the same as those of its daemons.

    They contain the platform's addresses and the secret shared by operators and VMs.
    """

    config: Annotated[Path, cappa.Arg(long=True, help="The daemons' JSON base file.")]
    overlay: Annotated[
        list[Path], cappa.Arg(long=True, help="A JSON overlay file; may be repeated.")
    ] = field(default_factory=list)
    json: Annotated[
        bool, cappa.Arg(long=True, show_default=False, help="Print JSON instead of text.")
    ] = False


@dataclass(frozen=True, kw_only=True)
class WaitOptions:
    """Whether and how long a command waits for its change to complete."""

    wait: Annotated[
        bool,
        cappa.Arg(long=True, show_default=False, help="Wait for completion and show progress."),
    ] = False
    wait_s: Annotated[float, cappa.Arg(long=True, help="Stop waiting after this many seconds.")] = (
        DEFAULT_WAIT_S
    )
