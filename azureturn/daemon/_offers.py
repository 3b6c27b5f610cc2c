"""Offers requests that would be shed to other VMs of the zone, and forwards accepted ones."""

import queue
import threading
from dataclasses import dataclass, replace

from azureturn.core import OfferToPeers, PeerOfferDecided, Request
from azureturn.core.membership import PeerTable
from azureturn.daemon._services import Services
from azureturn.errors import AzureturnError, ErrorKind, RefusedError
from azureturn.peers import Offer, OfferAnswer, PeerAddress
from azureturn.serving import now_ms
from azureturn.settings import UpstreamKind
from azureturn.upstreams import StreamedAnswer, UpstreamClient, UpstreamRequest

#: Threads that send offers; an unresponsive peer blocks one for ``ANSWER_TIMEOUT_MS``.
OFFER_THREADS = 2
ANSWER_TIMEOUT_MS = 100
#: Offers that may wait for a thread; further requests are refused without an offer.
WAITING_LIMIT = 32
#: Marks a request forwarded by another VM; the value is the signed request id.
FORWARDED_HEADER = "Azureturn-Forwarded"
FORWARD_CALL = "forward"
#: Headers of the caller that are copied to a forwarded request.
_CALLER_HEADERS = ("Authorization", "Content-Type", "Azureturn-Route", "Azureturn-Tier")


@dataclass(frozen=True)
class CallerMessage:
    """A caller's request as received, for forwarding to another VM."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    @classmethod
    def from_request(
        cls, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> "CallerMessage":
        """Return the message with only the headers that another VM needs."""
        kept = {name: headers[name] for name in _CALLER_HEADERS if name in headers}
        return cls(method, path, kept, body)


def offer_from_request(request: Request) -> Offer:
    """Return the thrift offer for a request."""
    return Offer(
        request_id=request.request_id,
        organisation=request.organisation,
        target=request.target,
        tier_rank=request.tier_rank,
    )


def request_from_offer(offer: Offer) -> Request:
    """Return a partial request with the fields that an offer contains."""
    return Request(
        request_id=offer.request_id or "",
        organisation=offer.organisation or "",
        route="",
        tier_rank=offer.tier_rank or 0,
        target=offer.target or "",
        kind=UpstreamKind.MODEL_ENGINE,
        arrived_at_ms=0,
        deadline_ms=0,
    )


class OfferAdapter:
    """Sends offers to peers on its own threads, and forwards accepted requests."""

    def __init__(self, services: Services) -> None:
        self._services = services
        self._waiting: queue.Queue[OfferToPeers] = queue.Queue(WAITING_LIMIT)
        self._caller_urls: dict[str, str] = {}

    def start(self) -> None:
        """Start the threads that send offers."""
        for number in range(OFFER_THREADS):
            name = f"offers-{number}"
            threading.Thread(target=self._serve, name=name, daemon=True).start()

    def enqueue_offer(self, action: OfferToPeers) -> None:
        """Queue an offer; the result is submitted to the core as :class:`PeersDecided`."""
        try:
            self._waiting.put_nowait(action)
        except queue.Full:
            self._services.runtime.submit(PeerOfferDecided(action.request_id))

    def forward(
        self, request: Request, message: CallerMessage, vm: str, *, read_timeout_ms: int
    ) -> StreamedAnswer:
        """Send a request, once and under the same id, to the VM that accepted it."""
        url = self._caller_urls.get(vm)
        if url is None:
            raise RefusedError(ErrorKind.OVERLOADED)
        signed = self._services.signer.sign_text(FORWARD_CALL, request.request_id)
        remaining_ms = max(1, request.deadline_ms - now_ms())
        headers = {
            **message.headers,
            FORWARDED_HEADER: signed,
            "Azureturn-Timeout-Ms": str(remaining_ms),
        }
        sent = UpstreamRequest(
            method=message.method,
            path=message.path,
            headers=headers,
            body=message.body,
            request_id=request.request_id,
            connect_timeout_ms=self._services.settings.daemon.connect_timeout_ms,
            read_timeout_ms=min(remaining_ms, read_timeout_ms),
        )
        return UpstreamClient(url).send(sent)

    def _serve(self) -> None:
        while True:
            action = self._waiting.get()
            decided = PeerOfferDecided(action.request_id)
            for vm in action.vms:
                if self._peer_accepts(vm, action.request):
                    decided = replace(decided, taken_by=vm)
                    break
            self._services.runtime.submit(decided)

    def _peer_accepts(self, vm: str, request: Request) -> bool:
        peer = self._services.runtime.inspect(lambda core: core.board.table(PeerTable).get(vm))
        if peer is None:
            return False
        address = PeerAddress(peer.identity.host, peer.identity.peer_port)
        try:
            answer: OfferAnswer = self._services.peers.offer_request(
                address, offer_from_request(request), timeout_ms=ANSWER_TIMEOUT_MS
            )
        except AzureturnError:
            return False
        self._caller_urls[vm] = f"http://{answer.host}:{answer.port}"
        return bool(answer.accepted)
