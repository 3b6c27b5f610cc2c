"""The HTTP response for each error kind."""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

from azureturn.errors._kinds import ErrorKind, RunState

#: Retry delay sent to the caller when no better estimate is available.
DEFAULT_RETRY_AFTER_MS = 1_000
#: Retry delay sent by a stopping VM. It is short because another VM can serve the request at once.
STOPPING_RETRY_AFTER_MS = 20


@dataclass(frozen=True)
class ErrorResponse:
    """How one error kind is reported over HTTP."""

    #: HTTP status code.
    status: int
    #: Default run state of a request that fails with this kind; the raised exception may set
    #: another.
    run_state: RunState
    #: Whether the unchanged request can succeed when retried later.
    retryable: bool
    #: Human-readable description in one sentence, with a remedy where there is one.
    summary: str


_NOT_RUN = RunState.NOT_RUN
_UNKNOWN = RunState.UNKNOWN

ERROR_RESPONSES: Mapping[ErrorKind, ErrorResponse] = MappingProxyType(
    {
        ErrorKind.MALFORMED_REQUEST: ErrorResponse(
            400, _NOT_RUN, False, "The request is not valid HTTP or lacks a required part."
        ),
        ErrorKind.MALFORMED_JSON: ErrorResponse(
            400, _NOT_RUN, False, "The body is not JSON in the form that this path expects."
        ),
        ErrorKind.BAD_HEADER: ErrorResponse(400, _NOT_RUN, False, "A header has an invalid value."),
        ErrorKind.HEADERS_TOO_LARGE: ErrorResponse(
            431, _NOT_RUN, False, "The request's headers exceed the size limit."
        ),
        ErrorKind.REQUEST_TIMEOUT: ErrorResponse(
            408, _NOT_RUN, True, "The request was not received completely within the time limit."
        ),
        ErrorKind.BODY_TOO_LARGE: ErrorResponse(
            413, _NOT_RUN, False, "The body exceeds the size limit."
        ),
        ErrorKind.UNKNOWN_ORGANISATION: ErrorResponse(
            401, _NOT_RUN, False, "The bearer token belongs to no known organisation."
        ),
        ErrorKind.UNKNOWN_MODEL: ErrorResponse(
            404, _NOT_RUN, False, "No route serves this model; see /v1/models."
        ),
        ErrorKind.UNKNOWN_ROUTE: ErrorResponse(404, _NOT_RUN, False, "No route has this name."),
        ErrorKind.METHOD_NOT_ALLOWED: ErrorResponse(
            405, _NOT_RUN, False, "The route does not accept this method."
        ),
        ErrorKind.NOT_FOUND: ErrorResponse(404, _NOT_RUN, False, "Nothing is served at this path."),
        ErrorKind.FORBIDDEN: ErrorResponse(
            403,
            _NOT_RUN,
            False,
            "The organisation is not permitted to do this, or a signature is not valid.",
        ),
        ErrorKind.IDEMPOTENCY_KEY_REQUIRED: ErrorResponse(
            400, _NOT_RUN, False, "The route is not idempotent: send an Idempotency-Key."
        ),
        ErrorKind.IDEMPOTENCY_KEY_REUSED: ErrorResponse(
            422, _NOT_RUN, False, "The idempotency key was already used with a different body."
        ),
        ErrorKind.TICKET_INVALID: ErrorResponse(
            400, _NOT_RUN, False, "The ticket was not issued by this system, or has expired."
        ),
        ErrorKind.KEY_VALUE_UNAVAILABLE: ErrorResponse(
            503, _NOT_RUN, True, "The key-value service is unavailable: retry, or request a ticket."
        ),
        ErrorKind.OVERLOADED: ErrorResponse(
            503, _NOT_RUN, True, "There is currently no capacity for the request."
        ),
        ErrorKind.SHED: ErrorResponse(
            503,
            _NOT_RUN,
            True,
            "The request was removed from the queue in favour of a higher tier.",
        ),
        ErrorKind.OVER_ALLOTMENT: ErrorResponse(
            429, _NOT_RUN, True, "The organisation has used up its current allotment."
        ),
        ErrorKind.CONFIGURATION_UNKNOWN: ErrorResponse(
            503, _NOT_RUN, True, "This VM has not received the configuration yet."
        ),
        ErrorKind.CONFIGURATION_OUTDATED: ErrorResponse(
            503,
            _NOT_RUN,
            True,
            "The route or credential is unknown to a configuration that may not be the latest.",
        ),
        ErrorKind.DEADLINE_UNREACHABLE: ErrorResponse(
            503, _NOT_RUN, True, "The request cannot be answered by its deadline."
        ),
        ErrorKind.DEADLINE_PASSED: ErrorResponse(
            504, _NOT_RUN, True, "The deadline passed before the request could be dispatched."
        ),
        ErrorKind.NO_UPSTREAM: ErrorResponse(
            503, _NOT_RUN, True, "No upstream for this route is in service."
        ),
        ErrorKind.REQUEST_QUARANTINED: ErrorResponse(
            503,
            _NOT_RUN,
            True,
            "Upstreams ended when they ran this request, or others with a prompt part that it has.",
        ),
        ErrorKind.UPSTREAM_UNREACHABLE: ErrorResponse(
            502, _NOT_RUN, True, "Connecting to the upstream failed; nothing was sent."
        ),
        ErrorKind.UPSTREAM_FAILED: ErrorResponse(
            502, RunState.RAN, True, "The upstream returned an error."
        ),
        ErrorKind.UPSTREAM_SILENT: ErrorResponse(
            504, _UNKNOWN, True, "The upstream sent nothing within the time limit."
        ),
        ErrorKind.ANSWER_TRUNCATED: ErrorResponse(
            502, _UNKNOWN, True, "The upstream's response ended before it was complete."
        ),
        ErrorKind.ANSWER_MISMATCHED: ErrorResponse(
            502,
            _UNKNOWN,
            True,
            "The upstream's response belongs to another request and was discarded.",
        ),
        ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(
            409, _UNKNOWN, False, "The call may have run; it will not be run again."
        ),
        ErrorKind.CALLER_GONE: ErrorResponse(
            499, _UNKNOWN, False, "The caller closed the connection before the response was sent."
        ),
        ErrorKind.STOPPING: ErrorResponse(
            503, _NOT_RUN, True, "This VM is stopping; another VM can serve the request."
        ),
        ErrorKind.CONFLICT: ErrorResponse(
            409, _NOT_RUN, True, "Another operator's change was accepted first."
        ),
        ErrorKind.INTERNAL: ErrorResponse(
            500,
            _UNKNOWN,
            False,
            "azureturn failed internally; the log states the cause under the request id.",
        ),
    }
)
