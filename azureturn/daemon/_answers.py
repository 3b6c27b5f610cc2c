"""Answers to callers: the answer type, and headers and bodies of refusals."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from azureturn.errors import DEFAULT_RETRY_AFTER_MS, ERROR_RESPONSES, AzureturnError

REQUEST_ID_HEADER = "X-Request-Id"
VM_HEADER = "Azureturn-Vm"
UPSTREAM_HEADER = "Azureturn-Upstream"
ERROR_KIND_HEADER = "Azureturn-Error-Kind"
RUN_STATE_HEADER = "Azureturn-Run-State"
RETRY_AFTER_HEADER = "Azureturn-Retry-After-Ms"

_MS_PER_S = 1_000


@dataclass(frozen=True)
class CallerAnswer:
    """An HTTP answer to the caller; a streamed body is an iterator."""

    status: int
    headers: dict[str, str]
    body: bytes | Iterator[bytes] = field(default=b"")


def identity_headers(*, request_id: str, vm: str, upstream: str = "") -> dict[str, str]:
    """Return the headers that are part of every answer."""
    return {REQUEST_ID_HEADER: request_id, VM_HEADER: vm, UPSTREAM_HEADER: upstream or "-"}


def error_headers(
    error: AzureturnError, *, request_id: str, vm: str, upstream: str = ""
) -> dict[str, str]:
    """Return the headers of a refusal."""
    headers = identity_headers(request_id=request_id, vm=vm, upstream=upstream)
    headers["Content-Type"] = "application/json"
    headers[ERROR_KIND_HEADER] = error.kind.value
    headers[RUN_STATE_HEADER] = error.run_state.value
    # The openai client retries some statuses on its own unless this header forbids it.
    headers["x-should-retry"] = "false"
    if ERROR_RESPONSES[error.kind].retryable:
        retry_after_ms = _retry_after_ms(error)
        headers[RETRY_AFTER_HEADER] = str(retry_after_ms)
        headers["Retry-After"] = str(-(-retry_after_ms // _MS_PER_S))
    return headers


def error_body(error: AzureturnError, request_id: str) -> dict[str, Any]:
    """Return the JSON body of a refusal, in the error format of chat-completions APIs."""
    retryable = ERROR_RESPONSES[error.kind].retryable
    return {
        "error": {
            "message": error.message,
            "type": error.kind.value,
            "code": error.kind.value,
            "param": None,
            "run_state": error.run_state.value,
            "retry_after_ms": _retry_after_ms(error) if retryable else None,
            "request_id": request_id,
        }
    }


def _retry_after_ms(error: AzureturnError) -> int:
    return DEFAULT_RETRY_AFTER_MS if error.retry_after_ms is None else error.retry_after_ms
