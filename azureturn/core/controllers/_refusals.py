"""Offers dropped requests to peers with less urgent work, or refuses them immediately.

An offer asks a peer to take over a request that this VM would otherwise refuse. If a peer accepts,
the request is forwarded to it and its answer is relayed to the caller.
"""

from azureturn.core._actions import AnswerOffer, ForwardToPeer, OfferToPeers
from azureturn.core._controllers import controller
from azureturn.core._events import (
    CallerDisconnected,
    PeerOfferDecided,
    RequestDropped,
    RequestEnded,
    RequestOffered,
)
from azureturn.core._peers import PeerQueueTable
from azureturn.core._queue import QueueTable
from azureturn.core._requests import Request, RequestTable
from azureturn.errors import DEFAULT_RETRY_AFTER_MS, ErrorKind
from azureturn.framework import Context, Controller, Refuse, Tick, on
from azureturn.settings import Settings

#: Maximum number of peers that are offered a request before it is refused.
_MAX_OFFERED_PEERS = 3
#: Time after which unanswered offers are treated as declined.
OFFER_TIMEOUT_MS = 200
#: Kinds of error for which a request is offered to peers, since a peer with less urgent work may be
#: able to serve the request.
_OFFERED_KINDS = frozenset({ErrorKind.SHED, ErrorKind.OVERLOADED, ErrorKind.DEADLINE_UNREACHABLE})


@controller("refusals")
class RefusalController(Controller[Settings]):
    """Offers a request once to peers of the zone with less urgent work before refusing it."""

    reads = (QueueTable, PeerQueueTable)
    writes = (RequestTable,)
    after = ("admission",)

    @on(RequestDropped)
    def _on_dropped(self, event: RequestDropped, context: Context) -> None:
        request = event.request
        peers = self._peers_for(event, context.now_ms)
        if not peers:
            self._refuse(request, event.kind, event.retry_after_ms, context)
            return
        offered = request.with_offer(now_ms=context.now_ms)
        self.board.write(RequestTable).put(request.request_id, offered)
        context.act(OfferToPeers(request.request_id, offered, peers))

    @on(PeerOfferDecided)
    def _on_peer_offer_decided(self, event: PeerOfferDecided, context: Context) -> None:
        request = self._offered_request(event.request_id)
        if request is None:
            return
        if not event.accepting_vm:
            self._refuse(request, ErrorKind.OVERLOADED, DEFAULT_RETRY_AFTER_MS, context)
            return
        self.board.write(RequestTable).remove(request.request_id)
        context.act(ForwardToPeer(request.request_id, event.accepting_vm))
        context.post(RequestEnded(request))

    @on(RequestOffered)
    def _on_offered(self, event: RequestOffered, context: Context) -> None:
        queue = self.board.read(QueueTable).get(event.request.target)
        accepted = queue is not None and queue.has_below(event.request.tier_rank)
        context.act(AnswerOffer(event.request.request_id, event.from_vm, accepted))

    @on(CallerDisconnected)
    def _on_caller_disconnected(self, event: CallerDisconnected, context: Context) -> None:
        request = self._offered_request(event.request_id)
        if request is not None:
            self._refuse(request, ErrorKind.CALLER_GONE, DEFAULT_RETRY_AFTER_MS, context)

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        offered = self.board.read(RequestTable).offered
        timed_out = [
            request
            for request in offered.values()
            if self._offer_timed_out(request, context.now_ms)
        ]
        for request in timed_out:
            self._refuse(request, ErrorKind.OVERLOADED, DEFAULT_RETRY_AFTER_MS, context)

    @staticmethod
    def _offer_timed_out(request: Request, now_ms: int) -> bool:
        return now_ms - request.offered_at_ms >= OFFER_TIMEOUT_MS

    def _peers_for(self, event: RequestDropped, now_ms: int) -> tuple[str, ...]:
        request = event.request
        if request.offered or event.kind not in _OFFERED_KINDS or not request.idempotent:
            return ()
        peers = self.board.read(PeerQueueTable)
        return peers.peers_with_less_urgent_work(request.target, request.tier_rank, now_ms)[
            :_MAX_OFFERED_PEERS
        ]

    def _offered_request(self, request_id: str) -> Request | None:
        return self.board.read(RequestTable).offered.get(request_id)

    def _refuse(
        self, request: Request, kind: ErrorKind, retry_after_ms: int, context: Context
    ) -> None:
        self.board.write(RequestTable).remove(request.request_id)
        context.act(Refuse(request.request_id, kind, retry_after_ms))
        context.post(RequestEnded(request))
