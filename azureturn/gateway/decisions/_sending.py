"""Whether an upstream may be sent a request at this moment."""

from azureturn.framework import Blackboard
from azureturn.gateway.decisions._availability import PauseTable
from azureturn.gateway.decisions._tables import ViewTable
from azureturn.gateway.site import RegisteredUpstream


def may_send(board: Blackboard, upstream: RegisteredUpstream, now_ms: int) -> bool:
    """Return whether an upstream may be sent a request, as far as it has said.

    It is called just before a request is sent, or a connection is relayed for a peer: what the
    upstream says may have arrived after the request was placed.
    """
    if board.table(ViewTable).is_leaving(upstream):
        return False
    return not board.table(PauseTable).is_paused(upstream.run, now_ms)
