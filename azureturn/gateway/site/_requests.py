"""The information that the headers of requests, attempts and responses contain."""

from dataclasses import dataclass

from azureturn.gateway.site._prompts import Prompt


@dataclass(frozen=True)
class RequestFacts:
    """Information in the headers of a caller's request."""

    request_id: str
    #: Time-out stated by the caller for the response; None if it states none.
    caller_timeout_ms: int | None
    #: Empty if there is none.
    api_key: str
    prompt: Prompt | None
    #: Number of the last event that the caller has received; None to start the stream from its
    #: beginning.
    last_event_number: int | None


@dataclass(frozen=True)
class AttemptHeaders:
    """Contents of the headers that the gateway adds to a request for one attempt."""

    #: The only upstream that may run the request.
    upstream: str
    organisation: str
    #: How long the upstream may take for its response.
    time_left_ms: int
    #: Number of the event after which the stream is to continue; None for the whole stream.
    last_event_number: int | None


@dataclass(frozen=True)
class StatedLimits:
    """What an upstream's response states of its limits; None where it states nothing."""

    #: Requests per second that the upstream takes from all VMs together.
    requests_per_s: float | None = None
    #: Rejections per second, for lack of room, above which the upstream falls over.
    rejections_per_s: float | None = None

    @property
    def is_brittle(self) -> bool:
        """Return whether the upstream falls over if it has to reject too many requests."""
        return self.rejections_per_s is not None


@dataclass(frozen=True)
class StatedAvailability:
    """What an upstream's response states of whether it takes further requests."""

    #: Whether the upstream is draining: it completes its requests and must get no new ones.
    is_leaving: bool = False
    #: Time for which it wants no further request from this VM; None if it states none.
    retry_after_ms: int | None = None
    #: Beginning of a stated time that cannot be read; empty if there is none.
    invalid_retry_after: str = ""
    #: How much longer it stays cold; None if it does not say.
    cold_left_ms: int | None = None


@dataclass(frozen=True)
class ResponseFacts:
    """Information in the headers of an upstream's response."""

    #: Id of the request that the response belongs to; empty if the response states none.
    request_id: str
    #: Whether the upstream did not execute the request and will not execute it later.
    not_executed: bool
    #: Whether the response carries the seal: a header by which an upstream marks a response as its
    #: own. A successful response without it is not relayed.
    is_sealed: bool
    limits: StatedLimits = StatedLimits()
    availability: StatedAvailability = StatedAvailability()
