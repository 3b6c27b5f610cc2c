"""What may be said of a call that was refused before its claim was looked at.

A caller that asks again with the same idempotency key may have had an earlier attempt, at this
VM or another, that ran. A refusal that never saw the claim knows nothing of it, so it may say
"not run" only where the caller declares its first attempt.
"""

from collections.abc import Mapping

from azureturn.daemon._caller_requests import IDEMPOTENCY_HEADER
from azureturn.daemon._tickets import FIRST_ATTEMPT_HEADER
from azureturn.errors import AzureturnError, ErrorKind, RunState

#: Refusals that are given without a look at the claim.
_CLAIM_NOT_SEEN = frozenset(
    {
        ErrorKind.KEY_VALUE_UNAVAILABLE,
        ErrorKind.OVERLOADED,
        ErrorKind.SHED,
        ErrorKind.DEADLINE_UNREACHABLE,
        ErrorKind.DEADLINE_PASSED,
        ErrorKind.NO_UPSTREAM,
        ErrorKind.STOPPING,
    }
)


def doubt_earlier_attempts(error: AzureturnError, headers: Mapping[str, str]) -> None:
    """Take back "not run" where an earlier attempt with the same key may have run.

    >>> error = AzureturnError(ErrorKind.SHED)
    >>> doubt_earlier_attempts(error, {"Idempotency-Key": "k"})
    >>> error.run_state
    <RunState.UNKNOWN: 'unknown'>
    """
    if IDEMPOTENCY_HEADER not in headers or error.kind not in _CLAIM_NOT_SEEN:
        return
    if headers.get(FIRST_ATTEMPT_HEADER) != "true" and error.run_state is RunState.NOT_RUN:
        error.run_state = RunState.UNKNOWN
