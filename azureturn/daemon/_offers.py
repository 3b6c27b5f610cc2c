"""Offers requests to other VMs of the zone before shedding them, and forwards accepted ones."""

import queue
import threading
from dataclasses import dataclass, replace

from azureturn.core import OfferToPeers, PeerOfferDecided, Request
from azureturn.core.membership import PeerTable
from azureturn.daemon._context import DaemonContext
from azureturn.errors import AzureturnError, ErrorKind, RefusedError
from azureturn.peers import Offer, OfferAnswer, PeerAddress
from azureturn.serving import now_ms
from azureturn.settings import UpstreamKind
from azureturn.upstreams import StreamedAnswer, UpstreamClient, UpstreamRequest

#: Threads that send offers; an unresponsive peer blocks one for ``ANSWER_TIMEOUT_MS``.
OFFER_THREADS = 2
ANSWER_TIMEOUT_MS = 100
#: Offers that may wait for a thread; further requests are refused without an offer.
QUEUE_LIMIT = 32
#: Marks a request forwarded by another VM; the value is the signed request id.
FORWARDED_HEADER = "Azureturn-Forwarded"
#: Call name under which the request id in ``FORWARDED_HEADER`` is signed.
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
        needed_headers = {name: headers[name] for name in _CALLER_HEADERS if name in headers}
        return cls(method, path, needed_headers, body)


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

    def __init__(self, context: DaemonContext) -> None:
        self._context = context
        self._queue: queue.Queue[OfferToPeers] = queue.Queue(QUEUE_LIMIT)
        self._caller_urls: dict[str, str] = {}

    def start(self) -> None:
        """Start the threads that send offers."""
        for number in range(OFFER_THREADS):
            name = f"offers-{number}"
            threading.Thread(target=self._send_offers_forever, name=name, daemon=True).start()

    def enqueue_offer(self, action: OfferToPeers) -> None:
        """Queue an offer; its result is submitted to the core as :class:`PeerOfferDecided`."""
        try:
            self._queue.put_nowait(action)
        except queue.Full:
            self._context.runtime.submit(PeerOfferDecided(action.request_id))

    def forward(self, request: Request, message: CallerMessage, vm: str) -> StreamedAnswer:
        """Send a request, once and under the same id, to the VM that accepted it.

        That VM queues the request and resumes its answer, so a silence of any length is awaited
        until the deadline. A VM that has crashed is found by the options of the socket.
        """
        url = self._caller_urls.get(vm)
        if url is None:
            raise RefusedError(ErrorKind.OVERLOADED)
        signed_request_id = self._context.signer.sign_text(FORWARD_CALL, request.request_id)
        remaining_ms = max(1, request.deadline_ms - now_ms())
        headers = {
            **message.headers,
            FORWARDED_HEADER: signed_request_id,
            "Azureturn-Timeout-Ms": str(remaining_ms),
        }
        forwarded_request = UpstreamRequest(
            method=message.method,
            path=message.path,
            headers=headers,
            body=message.body,
            request_id=request.request_id,
            connect_timeout_ms=self._context.settings.daemon.connect_timeout_ms,
            read_timeout_ms=remaining_ms,
        )
        return UpstreamClient(url).send(forwarded_request)

    def _send_offers_forever(self) -> None:
        while True:
            action = self._queue.get()
            event = PeerOfferDecided(action.request_id)
            for vm in action.vms:
                if self._peer_accepts(vm, action.request):
                    event = replace(event, accepting_vm=vm)
                    break
            self._context.runtime.submit(event)

    def _peer_accepts(self, vm: str, request: Request) -> bool:
        peer = self._context.runtime.inspect(lambda core: core.board.table(PeerTable).get(vm))
        if peer is None:
            return False
        address = PeerAddress(peer.identity.host, peer.identity.peer_port)
        try:
            answer: OfferAnswer = self._context.peers.offer_request(
                address, offer_from_request(request), timeout_ms=ANSWER_TIMEOUT_MS
            )
        except AzureturnError:
            return False
        self._caller_urls[vm] = f"http://{answer.host}:{answer.port}"
        return bool(answer.accepted)
