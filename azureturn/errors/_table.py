"""The table from error kind to the answer that a caller gets."""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

from azureturn.errors._kinds import ErrorKind, RunState

#: The caller may come back this much later when nothing better is known.
DEFAULT_RETRY_AFTER_MS = 1_000


@dataclass(frozen=True)
class ErrorAnswer:
    """How one kind of error is told over HTTP."""

    #: HTTP status code.
    status: int
    #: What is true of a request refused with this kind unless the raiser knows more.
    run_state: RunState
    #: Whether the same request can succeed later without being changed.
    retryable: bool
    #: One sentence for people, and what to do about it.
    summary: str


_NOT_RUN = RunState.NOT_RUN
_UNKNOWN = RunState.UNKNOWN

ANSWERS: Mapping[ErrorKind, ErrorAnswer] = MappingProxyType(
    {
        ErrorKind.MALFORMED_REQUEST: ErrorAnswer(
            400, _NOT_RUN, False, "The request is not valid HTTP or lacks a required part."
        ),
        ErrorKind.MALFORMED_JSON: ErrorAnswer(
            400, _NOT_RUN, False, "The body is not the JSON that this path takes."
        ),
        ErrorKind.BAD_HEADER: ErrorAnswer(
            400, _NOT_RUN, False, "A header has a value that is not allowed."
        ),
        ErrorKind.HEADERS_TOO_LARGE: ErrorAnswer(
            431, _NOT_RUN, False, "The request's headers are larger than the limit."
        ),
        ErrorKind.REQUEST_TIMEOUT: ErrorAnswer(
            408, _NOT_RUN, True, "The request did not arrive whole within the time limit."
        ),
        ErrorKind.BODY_TOO_LARGE: ErrorAnswer(
            413, _NOT_RUN, False, "The body is larger than the limit."
        ),
        ErrorKind.UNKNOWN_ORGANISATION: ErrorAnswer(
            401, _NOT_RUN, False, "The bearer token names no known organisation."
        ),
        ErrorKind.UNKNOWN_MODEL: ErrorAnswer(
            404, _NOT_RUN, False, "No route serves this model; see /v1/models."
        ),
        ErrorKind.UNKNOWN_ROUTE: ErrorAnswer(404, _NOT_RUN, False, "No route has this name."),
        ErrorKind.METHOD_NOT_ALLOWED: ErrorAnswer(
            405, _NOT_RUN, False, "The route does not take this method."
        ),
        ErrorKind.NOT_FOUND: ErrorAnswer(404, _NOT_RUN, False, "Nothing is served at this path."),
        ErrorKind.FORBIDDEN: ErrorAnswer(
            403, _NOT_RUN, False, "The organisation may not do this, or the proof is not valid."
        ),
        ErrorKind.IDEMPOTENCY_KEY_REQUIRED: ErrorAnswer(
            400, _NOT_RUN, False, "The route is not idempotent: send an Idempotency-Key."
        ),
        ErrorKind.IDEMPOTENCY_KEY_REUSED: ErrorAnswer(
            422, _NOT_RUN, False, "The idempotency key was used before with another body."
        ),
        ErrorKind.TICKET_INVALID: ErrorAnswer(
            400, _NOT_RUN, False, "The ticket is not one of this system's, or has expired."
        ),
        ErrorKind.KEY_VALUE_UNAVAILABLE: ErrorAnswer(
            503, _NOT_RUN, True, "The key-value service is down: retry, or take a ticket."
        ),
        ErrorKind.OVERLOADED: ErrorAnswer(
            503, _NOT_RUN, True, "There is no room for the request now."
        ),
        ErrorKind.SHED: ErrorAnswer(
            503, _NOT_RUN, True, "The request left the queue to make room for a higher tier."
        ),
        ErrorKind.OVER_ALLOTMENT: ErrorAnswer(
            429, _NOT_RUN, True, "The organisation has used up its allotment for now."
        ),
        ErrorKind.CONFIGURATION_UNKNOWN: ErrorAnswer(
            503, _NOT_RUN, True, "This VM does not know the configuration yet."
        ),
        ErrorKind.DEADLINE_UNREACHABLE: ErrorAnswer(
            503, _NOT_RUN, True, "The request cannot be answered by its deadline."
        ),
        ErrorKind.DEADLINE_PASSED: ErrorAnswer(
            504, _NOT_RUN, True, "The deadline passed before the request could be dispatched."
        ),
        ErrorKind.NO_UPSTREAM: ErrorAnswer(
            503, _NOT_RUN, True, "No upstream for this route is in service."
        ),
        ErrorKind.UPSTREAM_UNREACHABLE: ErrorAnswer(
            502, _NOT_RUN, True, "The upstream could not be connected to; nothing was sent."
        ),
        ErrorKind.UPSTREAM_FAILED: ErrorAnswer(
            502, RunState.RAN, True, "The upstream answered with a failure."
        ),
        ErrorKind.UPSTREAM_SILENT: ErrorAnswer(
            504, _UNKNOWN, True, "The upstream sent nothing within the time limit."
        ),
        ErrorKind.ANSWER_TRUNCATED: ErrorAnswer(
            502, _UNKNOWN, True, "The upstream's answer ended before it was whole."
        ),
        ErrorKind.ANSWER_MISMATCHED: ErrorAnswer(
            502, _UNKNOWN, True, "The upstream answered another request; the answer was dropped."
        ),
        ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(
            409, _UNKNOWN, False, "The call may have run; it will not be run again."
        ),
        ErrorKind.CALLER_GONE: ErrorAnswer(
            499, _UNKNOWN, False, "The caller closed the connection before the answer."
        ),
        ErrorKind.STOPPING: ErrorAnswer(
            503, _NOT_RUN, True, "This VM is stopping; another VM serves the request."
        ),
        ErrorKind.CONFLICT: ErrorAnswer(
            409, _NOT_RUN, True, "Another operator's change was accepted first."
        ),
        ErrorKind.INTERNAL: ErrorAnswer(
            500, _UNKNOWN, False, "azureturn failed; the log has the cause under the request id."
        ),
    }
)
