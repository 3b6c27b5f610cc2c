"""Enumerations that classify refusals and failures."""

from enum import StrEnum


class RunState(StrEnum):
    """Whether the upstream may have executed a request that got no complete response.

    ``NOT_RUN`` is a guarantee: no byte of the request reached an upstream and none ever will.
    """

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ErrorKind(StrEnum):
    """Every kind of error that is reported to a caller or an operator.

    Responses, log lines and metrics use only these values. Each member has an entry in
    ``ERROR_RESPONSES``.

    >>> ErrorKind("overloaded") is ErrorKind.OVERLOADED
    True
    """

    MALFORMED_REQUEST = "malformed_request"
    MALFORMED_JSON = "malformed_json"
    BAD_HEADER = "bad_header"
    HEADERS_TOO_LARGE = "headers_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    BODY_TOO_LARGE = "body_too_large"
    UNKNOWN_ORGANISATION = "unknown_organisation"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_ROUTE = "unknown_route"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    NOT_FOUND = "not_found"
    FORBIDDEN = "forbidden"
    IDEMPOTENCY_KEY_REQUIRED = "idempotency_key_required"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    TICKET_INVALID = "ticket_invalid"
    KEY_VALUE_UNAVAILABLE = "key_value_unavailable"
    OVERLOADED = "overloaded"
    SHED = "shed"
    OVER_ALLOTMENT = "over_allotment"
    CONFIGURATION_UNKNOWN = "configuration_unknown"
    CONFIGURATION_OUTDATED = "configuration_outdated"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_PASSED = "deadline_passed"
    NO_UPSTREAM = "no_upstream"
    REQUEST_QUARANTINED = "request_quarantined"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_SILENT = "upstream_silent"
    ANSWER_TRUNCATED = "answer_truncated"
    ANSWER_MISMATCHED = "answer_mismatched"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CALLER_GONE = "caller_gone"
    STOPPING = "stopping"
    CONFLICT = "conflict"
    INTERNAL = "internal"
