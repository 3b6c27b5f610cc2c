"""Takes a request over from a silent upstream, if another one has room for it."""

from collections.abc import Callable

from azureturn.errors import UpstreamUnreachableError
from azureturn.gateway.decisions import (
    AttemptEnded,
    AttemptStalled,
    GatewayRequest,
    OfferTakeOver,
    Relay,
    SendAttempt,
    TakeOverOffer,
    UpstreamConnectionFailed,
)
from azureturn.gateway.exchange._attempt import Attempt
from azureturn.gateway.exchange._exchange_reporter import ExchangeReporter
from azureturn.gateway.exchange._response_deadline import StallDeadline
from azureturn.gateway.exchange._response_progress import ResponseProgress
from azureturn.gateway.exchange._services import ExchangeServices
from azureturn.gateway.site import RegisteredUpstream, RequestKind, Route

#: Time without the first event of a stream after which another upstream may take the request over:
#: a minimum, and a multiple of the route's objective.
_MIN_FIRST_EVENT_PATIENCE_MS = 1_000
_FIRST_EVENT_PATIENCE_OBJECTIVES = 2.0
#: The same for the time between two events, as a multiple of the route's pause limit. A sound
#: upstream may be silent for about a second; another one would have to read the prompt again.
_MIN_PAUSE_PATIENCE_MS = 1_600
_PAUSE_PATIENCE_LIMITS = 2.0
#: The same for the head of a plain response, as a multiple of the route's objective.
_MIN_RESPONSE_PATIENCE_MS = 150
_RESPONSE_PATIENCE_OBJECTIVES = 2.0
#: Time between two questions whether another upstream has room.
_CHECK_INTERVAL_MS = 250

#: Creates an attempt at an upstream, through the peer that relays it, if any.
NewAttempt = Callable[[RegisteredUpstream, Relay | None], Attempt]


class TakeOver:
    """Decides for one request how long its silent upstream is awaited.

    ``may_leave`` returns whether another upstream may go on with the request, and ``ended`` the end
    of the current attempt if it is given up now.
    """

    def __init__(
        self,
        services: ExchangeServices,
        request: GatewayRequest,
        reporter: ExchangeReporter,
        *,
        new_attempt: NewAttempt,
        may_leave: Callable[[], bool],
        ended: Callable[[ResponseProgress], AttemptEnded],
    ) -> None:
        self._services = services
        self._request = request
        self._reporter = reporter
        self._new_attempt = new_attempt
        self._may_leave = may_leave
        self._ended = ended
        self._upstream = ""
        self._attempt: Attempt | None = None
        self._progress = ResponseProgress()
        #: The attempt at the upstream that takes the request over; it is connected already.
        self._next_attempt: Attempt | None = None
        #: Whether the core has ended the current attempt, and has placed the next one.
        self.has_happened = False

    def begin_attempt(
        self, upstream: RegisteredUpstream, relay: Relay | None, progress: ResponseProgress
    ) -> Attempt:
        """Return an attempt, which is connected if it takes the request over."""
        attempt, self._next_attempt = self._next_attempt, None
        self._attempt = attempt or self._new_attempt(upstream, relay)
        self._upstream = upstream.name
        self._progress = progress
        self.has_happened = False
        return self._attempt

    def close(self) -> None:
        """Close the connection of an attempt that has not begun."""
        if self._next_attempt is not None:
            self._next_attempt.close()

    def head_deadline(self) -> StallDeadline:
        """Return the deadline for the head of a response."""
        return self._deadline(_head_patience_ms(self._request.route))

    def event_deadline(self) -> StallDeadline:
        """Return the deadline for the events of a stream."""
        scaled_ms = _PAUSE_PATIENCE_LIMITS * self._request.route.pause_limit_ms
        return self._deadline(max(_MIN_PAUSE_PATIENCE_MS, scaled_ms))

    def _deadline(self, patience_ms: float) -> StallDeadline:
        return StallDeadline(
            self._request.ends_at_ms,
            patience_ms=int(patience_ms),
            interval_ms=_CHECK_INTERVAL_MS,
            take_over=self._try,
        )

    def _try(self, silent_ms: int) -> bool:
        """Return whether another upstream takes the request over now."""
        if not self._may_leave():
            return False
        actions = self._services.runtime.submit(AttemptStalled(self._ended(self._progress)))
        offers = [action.offer for action in actions if isinstance(action, OfferTakeOver)]
        self.has_happened = any(self._accept(offer) for offer in offers)
        self._reporter.report_stall(self._request, self._upstream, silent_ms, self.has_happened)
        return self.has_happened

    def _accept(self, offer: TakeOverOffer) -> bool:
        """Return whether an offered upstream takes the request over.

        It is connected first, since the answer that may still come is given up for it.
        """
        runtime = self._services.runtime
        attempt = self._new_attempt(offer.upstream, offer.relay)
        try:
            attempt.connect(unrepeatable=False, ends_at_ms=self._request.ends_at_ms)
        except UpstreamUnreachableError:
            if offer.relay is None:
                runtime.submit(UpstreamConnectionFailed(offer.upstream.run))
            return False
        if self._may_leave() and not self._is_answering():
            actions = runtime.submit(AttemptStalled(self._ended(self._progress), offer))
            if any(isinstance(action, SendAttempt) for action in actions):
                self._next_attempt = attempt
                return True
        attempt.cancel()
        return False

    def _is_answering(self) -> bool:
        """Return whether the upstream has gone on meanwhile.

        Bytes after the beginning of an event show nothing: they may come without end.
        """
        if self._progress.partial_event_bytes or self._attempt is None:
            return False
        return self._attempt.has_received()


def _head_patience_ms(route: Route) -> float:
    if route.kind is RequestKind.STREAM:
        scaled_ms = _FIRST_EVENT_PATIENCE_OBJECTIVES * route.objective_ms
        return max(_MIN_FIRST_EVENT_PATIENCE_MS, scaled_ms)
    return max(_MIN_RESPONSE_PATIENCE_MS, _RESPONSE_PATIENCE_OBJECTIVES * route.objective_ms)
