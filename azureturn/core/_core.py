"""The decision core of the chat-completions daemon, built from all registered controllers."""

from azureturn.core._controllers import CONTROLLERS
from azureturn.framework import Core as FrameworkCore
from azureturn.settings import Settings


class Core(FrameworkCore):
    """The decision core of one VM.

    >>> core = Core.from_settings(settings, seed=1)  # doctest: +SKIP
    >>> core.handle(Tick(), now_ms=0)  # doctest: +SKIP
    ()
    """

    @classmethod
    def from_settings(cls, settings: Settings, *, seed: int) -> "Core":
        """Return a core with every registered controller, in dependency order."""
        return cls.from_controllers(CONTROLLERS, settings, seed=seed)
