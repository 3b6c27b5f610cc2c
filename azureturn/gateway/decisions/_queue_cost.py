"""Cost of a request in the queue of its service: the work that its organisation is charged for.

Load pattern: prompts and answers differ in length by orders of magnitude. An organisation with long
ones got several times its share while each request cost the same.
"""

from azureturn.gateway.decisions._requests import GatewayRequest
from azureturn.gateway.decisions._work import request_work
from azureturn.gateway.settings import EnginePolicy

#: Cost of a request without a prompt. Its service has no others.
_PLAIN_COST = 1.0
#: Bound of the cost, so that a false statement of a caller does not stop its organisation's queue.
_MAX_COST = 100_000.0


def queue_cost(request: GatewayRequest, engine: EnginePolicy) -> float:
    """Return the expected time that a request takes at an idle engine, in ms.

    Only proportions between the requests of one service matter.
    """
    if request.prompt is None:
        return _PLAIN_COST
    return min(_MAX_COST, request_work(request, engine, cached_tokens=0).duration_ms(1.0))
