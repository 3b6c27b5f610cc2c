"""Until when a request may wait, and when a refused caller should return.

Load pattern: upstreams have too little capacity for some time, and callers retry early and often. A
late answer is worth less than one in time and more than none. A request that is refused after a
long wait has cost its caller the time that another attempt needs.
"""

import random

from azureturn.gateway.decisions._requests import GatewayRequest
from azureturn.gateway.decisions._work import request_work
from azureturn.gateway.settings import GatewayPolicy

#: A queued request is refused this long before its time limit, so that the refusal can still be
#: sent.
_ANSWER_MARGIN_MS = 20
#: Time that an upstream needs at least; with less left a request is not really offered to it.
_MIN_ATTEMPT_MS = 60
#: Bounds of the time after which a refused caller is told to return.
MIN_RETRY_AFTER_MS = 200
MAX_RETRY_AFTER_MS = 4_000
#: Share of the time left after which callers that were told to return later give up instead.
_HONOURED_SHARE = 1 / 3
#: Maximum share by which the stated time exceeds the forecast, or stays below the longest time that
#: callers honour if the forecast is longer, so that callers do not return at the same moment.
_SPREAD_SHARE = 0.3


def give_up_at_ms(request: GatewayRequest, policy: GatewayPolicy, *, limits_patience: bool) -> int:
    """Return until when a request may wait for an upstream.

    It waits for the configured share of its route's time limit, while its answer can begin before
    its caller leaves and end within its time limit, and for the configured multiple of its
    objective at least. That multiple is the most for requests of a service whose upstreams fall
    over if they reject many: the more requests wait at the VMs, the more of them are sent to the
    same upstream at the moment when it has room.
    """
    patience_ms = int(policy.patience_objectives * request.route.objective_ms)
    patient_until_ms = request.arrived_at_ms + patience_ms
    answerable_until_ms = request.ends_at_ms - _ANSWER_MARGIN_MS
    if limits_patience:
        return min(answerable_until_ms, patient_until_ms)
    work = request_work(request, policy.engine, cached_tokens=0)
    needed_ms = max(_MIN_ATTEMPT_MS, int(work.duration_ms(1.0)) if request.prompt else 0)
    late_until_ms = min(
        request.ends_at_ms - needed_ms,
        request.arrived_at_ms + int(policy.late_wait_share * request.route.timeout_ms),
    )
    if request.route.first_event_timeout_ms:
        begins_after_ms = max(_MIN_ATTEMPT_MS, int(work.first_event_ms(1.0)))
        leaves_at_ms = request.arrived_at_ms + request.route.first_event_timeout_ms
        late_until_ms = min(late_until_ms, leaves_at_ms - begins_after_ms)
    return min(answerable_until_ms, max(late_until_ms, patient_until_ms))


def overload_retry_after_ms(wait_ms: float, left_ms: float, generator: random.Random) -> int:
    """Return after what time a caller should retry whose expected wait is ``wait_ms``.

    ``left_ms`` is the time left until its time limit. Callers give up if they are told to return
    later than after a third of it.

    >>> 1_000 <= overload_retry_after_ms(1_000.0, 12_000.0, random.Random(1)) <= 1_300
    True
    >>> 700 <= overload_retry_after_ms(9_000.0, 3_000.0, random.Random(1)) <= 1_000
    True
    """
    longest_ms = min(MAX_RETRY_AFTER_MS, _HONOURED_SHARE * left_ms)
    spread_ms = max(MIN_RETRY_AFTER_MS, wait_ms) * generator.uniform(1.0, 1.0 + _SPREAD_SHARE)
    if spread_ms > longest_ms:
        spread_ms = longest_ms * generator.uniform(1.0 - _SPREAD_SHARE, 1.0)
    return max(MIN_RETRY_AFTER_MS, int(spread_ms))
