"""The exception tree; each exception carries one kind from the closed list."""

from azureturn.errors._kinds import ErrorKind, RunState
from azureturn.errors._table import ANSWERS


class AzureturnError(Exception):
    """The root of every error that azureturn raises on purpose.

    It carries what an answer needs, so that the HTTP face turns any of them into a response
    without knowing where it came from.

    >>> AzureturnError(ErrorKind.OVERLOADED, retry_after_ms=200).run_state
    <RunState.NOT_RUN: 'not_run'>
    """

    def __init__(
        self,
        kind: ErrorKind,
        message: str = "",
        *,
        run_state: RunState | None = None,
        retry_after_ms: int | None = None,
    ) -> None:
        super().__init__(message or ANSWERS[kind].summary)
        self.kind = kind
        self.run_state = ANSWERS[kind].run_state if run_state is None else run_state
        self.retry_after_ms = retry_after_ms

    @property
    def message(self) -> str:
        """Return the sentence that tells a person what happened."""
        return str(self.args[0])


class CallerError(AzureturnError):
    """The request itself is at fault; sending it again unchanged will not help."""


class RefusedError(AzureturnError):
    """The request was given up before any byte of it was sent to an upstream."""


class UpstreamError(AzureturnError):
    """A dispatched request did not come back whole."""


class UpstreamUnreachableError(UpstreamError):
    """No connection to the upstream could be made, so nothing was sent."""


class PlatformError(AzureturnError):
    """The platform's key-value service did not do what was asked of it."""


class KeyValueUnavailableError(PlatformError):
    """The key-value service gave no answer: whether a write took effect is not known."""


class CompareFailedError(PlatformError):
    """A compare-and-swap found another revision than the expected one."""


class PeerUnavailableError(AzureturnError):
    """Another VM gave no answer."""


class PeerUnreachableError(PeerUnavailableError):
    """No connection to another VM could be made, so nothing was sent."""


class SettingsError(AzureturnError):
    """The settings cannot be used; the message lists every mistake."""
