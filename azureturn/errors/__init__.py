"""Error kinds, their HTTP responses, and the exception hierarchy."""

from azureturn.errors._exceptions import (
    AzureturnError,
    CallerError,
    CompareFailedError,
    KeyValueUnavailableError,
    PeerUnavailableError,
    PeerUnreachableError,
    PlatformError,
    RefusedError,
    SettingsError,
    UpstreamError,
    UpstreamUnreachableError,
)
from azureturn.errors._kinds import ErrorKind, RunState
from azureturn.errors._table import (
    DEFAULT_RETRY_AFTER_MS,
    ERROR_RESPONSES,
    STOPPING_RETRY_AFTER_MS,
    ErrorResponse,
)

__all__ = [
    "AzureturnError",
    "CallerError",
    "CompareFailedError",
    "DEFAULT_RETRY_AFTER_MS",
    "ERROR_RESPONSES",
    "ErrorKind",
    "ErrorResponse",
    "KeyValueUnavailableError",
    "PeerUnavailableError",
    "PeerUnreachableError",
    "PlatformError",
    "RefusedError",
    "RunState",
    "STOPPING_RETRY_AFTER_MS",
    "SettingsError",
    "UpstreamError",
    "UpstreamUnreachableError",
]
