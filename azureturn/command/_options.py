"""The options that commands share."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

DEFAULT_WAIT_S = 30.0


@dataclass(frozen=True, kw_only=True)
class SiteOptions:
    """Where a command's site is: the same files that its daemons read.

    They give the platform's addresses and the secret that operators share with the VMs.
    """

    config: Annotated[Path, cappa.Arg(long=True, help="The JSON base file of the daemons.")]
    overlay: Annotated[
        list[Path], cappa.Arg(long=True, help="A JSON overlay; may be given more than once.")
    ] = field(default_factory=list)
    json: Annotated[
        bool, cappa.Arg(long=True, show_default=False, help="Print JSON instead of text.")
    ] = False


@dataclass(frozen=True, kw_only=True)
class WaitOptions:
    """How long a command waits for what it began."""

    wait: Annotated[
        bool,
        cappa.Arg(long=True, show_default=False, help="Wait until done, and show progress."),
    ] = False
    wait_s: Annotated[
        float, cappa.Arg(long=True, help="Give up waiting after this many seconds.")
    ] = DEFAULT_WAIT_S
