"""Whether an upstream may be sent a request at this moment."""

from azureturn.framework import Blackboard
from azureturn.gateway.decisions._availability import PauseTable
from azureturn.gateway.decisions._cold_upstreams import ColdUpstreamTable
from azureturn.gateway.decisions._tables import ViewTable
from azureturn.gateway.site import RegisteredUpstream


def may_send(
    board: Blackboard, upstream: RegisteredUpstream, now_ms: int, request_id: str = ""
) -> bool:
    """Return whether an upstream may be sent a request that was placed on it.

    It is called just before the request is sent: what the upstream says may have arrived after the
    request was placed. While the upstream is cold, only a request with a slot may be sent.
    """
    if not _is_available(board, upstream, now_ms):
        return False
    return board.table(ColdUpstreamTable).may_begin(upstream, request_id, now_ms)


def may_relay(board: Blackboard, upstream: RegisteredUpstream, now_ms: int) -> bool:
    """Return whether an upstream may be sent something now that is no request of this VM.

    That is a request of a peer, or one for its status. If the upstream is cold, it uses up a slot:
    the peer may not know that it is.
    """
    if not _is_available(board, upstream, now_ms):
        return False
    return board.table(ColdUpstreamTable).take_slot(upstream, now_ms)


def cold_upstreams(board: Blackboard, now_ms: int) -> list[RegisteredUpstream]:
    """Return the registered upstreams that this VM sends only its share of requests."""
    cold = board.table(ColdUpstreamTable)
    upstreams = board.table(ViewTable).current().upstreams.values()
    return [upstream for upstream in upstreams if cold.is_limited(upstream, now_ms)]


def may_relay_another(board: Blackboard, upstream: RegisteredUpstream, now_ms: int) -> bool:
    """Return whether a peer may send another request on a connection that is relayed for it.

    The peer may not know what has changed since the connection was opened. That an upstream leaves
    or wants a pause it learns from the upstream's responses.
    """
    if board.table(ViewTable).is_evacuated(upstream, now_ms):
        return False
    return board.table(ColdUpstreamTable).take_slot(upstream, now_ms)


def may_probe(
    board: Blackboard, upstream: RegisteredUpstream, now_ms: int, *, sends_request: bool
) -> bool:
    """Return whether an upstream may be probed now; a request for its status counts as one."""
    if board.table(ViewTable).is_evacuated(upstream, now_ms):
        return False
    return not sends_request or board.table(ColdUpstreamTable).take_slot(upstream, now_ms)


def _is_available(board: Blackboard, upstream: RegisteredUpstream, now_ms: int) -> bool:
    views = board.table(ViewTable)
    if views.is_leaving(upstream) or views.is_evacuated(upstream, now_ms):
        return False
    return not board.table(PauseTable).is_paused(upstream.run, now_ms)
