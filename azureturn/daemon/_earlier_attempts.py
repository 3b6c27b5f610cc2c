"""Run state of calls that were refused before their claim was read.

The run state of an error says whether the call ran at the upstream. If a caller retries with the
same idempotency key, an earlier attempt may have run, on this VM or another. This is not known
to a VM that refuses the call without reading the claim, so the refusal may report "not run" only
if the caller declares that this is its first attempt.
"""

from collections.abc import Mapping

from azureturn.daemon._caller_requests import IDEMPOTENCY_HEADER
from azureturn.daemon._tickets import FIRST_ATTEMPT_HEADER
from azureturn.errors import AzureturnError, ErrorKind, RunState

#: Kinds of refusals that are made without reading the claim.
_CLAIM_NOT_READ = frozenset(
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


def downgrade_not_run(error: AzureturnError, headers: Mapping[str, str]) -> None:
    """Change "not run" to "unknown" if an earlier attempt with the same key may have run.

    >>> error = AzureturnError(ErrorKind.SHED)
    >>> downgrade_not_run(error, {"Idempotency-Key": "k"})
    >>> error.run_state
    <RunState.UNKNOWN: 'unknown'>
    """
    if IDEMPOTENCY_HEADER not in headers or error.kind not in _CLAIM_NOT_READ:
        return
    if headers.get(FIRST_ATTEMPT_HEADER) != "true" and error.run_state is RunState.NOT_RUN:
        error.run_state = RunState.UNKNOWN
