"""The exception hierarchy; each exception carries one :class:`ErrorKind`."""

from azureturn.errors._kinds import ErrorKind, RunState
from azureturn.errors._table import ERROR_RESPONSES


class AzureturnError(Exception):
    """Base class of every error that azureturn raises deliberately.

    It carries everything that an HTTP response needs, so that the HTTP layer converts any of them
    without knowing where it was raised.

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
        super().__init__(message or ERROR_RESPONSES[kind].summary)
        self.kind = kind
        self.run_state = ERROR_RESPONSES[kind].run_state if run_state is None else run_state
        self.retry_after_ms = retry_after_ms

    @property
    def message(self) -> str:
        """Return the human-readable description of the error."""
        return str(self.args[0])


class CallerError(AzureturnError):
    """The request is invalid; retrying it unchanged will fail again."""


class RefusedError(AzureturnError):
    """The request was rejected before any byte of it was sent to an upstream."""


class UpstreamError(AzureturnError):
    """A dispatched request did not receive a complete response."""


class UpstreamUnreachableError(UpstreamError):
    """Connecting to the upstream failed, so nothing was sent."""


class PlatformError(AzureturnError):
    """An operation of the platform's key-value service failed."""


class KeyValueUnavailableError(PlatformError):
    """The key-value service did not respond: whether a write took effect is unknown."""


class CompareFailedError(PlatformError):
    """A compare-and-swap found a revision other than the expected one."""


class PeerUnavailableError(AzureturnError):
    """Another VM did not respond."""


class PeerUnreachableError(PeerUnavailableError):
    """Connecting to another VM failed, so nothing was sent."""


class SettingsError(AzureturnError):
    """The settings are invalid; the message lists every mistake."""
