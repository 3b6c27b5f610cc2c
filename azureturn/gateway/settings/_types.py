"""The gateway's settings: where a VM stands, what binds it, and how it decides."""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from functools import cache
from pathlib import Path
from typing import Annotated

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError

from azureturn.errors import ErrorKind, SettingsError
from azureturn.json_files import read_merged

Positive = Annotated[float, Field(gt=0)]
Share = Annotated[float, Field(ge=0, le=1)]
Milliseconds = Annotated[int, Field(ge=0, le=600_000)]
Count = Annotated[int, Field(ge=1, le=100_000)]


class _Checked:
    """The base of settings in JSON: a field that nobody reads is a mistake."""

    __pydantic_config__ = ConfigDict(extra="forbid")


@dataclass(frozen=True)
class GatewayVm:
    """Where this VM stands; the platform says it."""

    name: str
    availability_zone: str
    #: The IP number that peers reach this VM by.
    host: str
    caller_host: str
    caller_port: int
    readiness_host: str
    readiness_port: int
    #: Port for peers, the same on every VM: thrift calls by TCP, reports by UDP.
    peer_port: int
    #: Hosts of some VMs that may be asked for the others.
    seed_hosts: tuple[str, ...] = ()
    #: The whole system starts for the first time: no process ran before.
    is_first_start: bool = False

    def with_seeds(self, seed_hosts: tuple[str, ...]) -> "GatewayVm":
        """Return a copy that knows other VMs to ask."""
        return replace(self, seed_hosts=seed_hosts)


@dataclass(frozen=True)
class RetryBounds:
    """How many second tries all VMs together may send to one service."""

    #: Share of the service's requests.
    ratio: float
    #: Tries beyond that share, for all VMs.
    slack: float


@dataclass(frozen=True)
class AllotmentBounds:
    """How an organisation's use is counted, and how far all VMs together may exceed it."""

    #: Any span of this length counts.
    window_ms: int
    #: Share of the allotment.
    overshoot: float
    #: Beyond that share, in the unit that the allotment counts.
    slack: float


@dataclass(frozen=True)
class MoveBounds:
    """What a version may get before it has shown itself good."""

    #: Share of its service's requests.
    share: float


@dataclass(frozen=True)
class GatewayBounds:
    """What the operators' rules bind."""

    #: From the signal to stop until the process is ended by force.
    stop_limit_ms: int
    retry: RetryBounds
    allotment: AllotmentBounds
    move: MoveBounds


@dataclass(frozen=True)
class EnginePolicy(_Checked):
    """What is assumed of a model engine until its own answers say more."""

    prefill_tokens_per_ms: Positive = 100.0
    #: From the end of prefill to the first event.
    first_event_ms: Positive = 50.0
    ms_per_token: Positive = 3.8
    #: Prompt tokens that it works off between two tokens of the answers that run beside them.
    chunk_tokens: Positive = 2_048.0
    #: A usual answer.
    answer_tokens: Positive = 300.0


@dataclass(frozen=True)
class GatewayPolicy(_Checked):
    """How requests are placed and given up."""

    engine: EnginePolicy = field(default_factory=EnginePolicy)
    #: Requests at an engine beyond its slots, so that a free slot is filled at once.
    ahead_requests: Annotated[float, Field(ge=0)] = 1.0
    #: Slots of an engine that are kept for the most urgent tier.
    reserved_slots: Annotated[float, Field(ge=0)] = 0.0
    #: A queued request is given up at this multiple of its objective.
    patience_objectives: Positive = 2.0
    #: Longest expected wait of a new request before it is refused, in objectives.
    refusal_objectives: Positive = 1.0


@dataclass(frozen=True)
class GatewayLimits(_Checked):
    """Limits of one process."""

    #: Threads that serve callers, and so the most requests in progress at once.
    caller_threads: Count = 200
    #: Connections that may wait for a thread before callers are told ``overloaded``.
    accept_backlog: Count = 64
    #: How often the core is given the time.
    tick_interval_ms: Annotated[int, Field(ge=5, le=1_000)] = 50
    report_interval_ms: Annotated[int, Field(ge=20, le=10_000)] = 100
    #: Longest wait of one call that watches the store.
    watch_wait_ms: Annotated[int, Field(ge=100, le=30_000)] = 2_000
    #: How long a stopping VM still serves every new request; later, only what will end in time.
    balancer_lag_ms: Milliseconds = 2_800
    #: Port at which metrics are given as text; 0 for none.
    metrics_port: Annotated[int, Field(ge=0, le=65_535)] = 0
    #: Key by which VMs authenticate to each other.
    peer_secret: Annotated[str, Field(min_length=16, max_length=256)] = "change-this-shared-secret"


@dataclass(frozen=True)
class OwnSettings(_Checked):
    """Settings of azureturn's own, in JSON."""

    limits: GatewayLimits = field(default_factory=GatewayLimits)
    policy: GatewayPolicy = field(default_factory=GatewayPolicy)


@dataclass(frozen=True)
class GatewaySettings:
    """Everything that a gateway is told at its start."""

    vm: GatewayVm
    bounds: GatewayBounds
    limits: GatewayLimits = field(default_factory=GatewayLimits)
    policy: GatewayPolicy = field(default_factory=GatewayPolicy)


@cache
def _adapter() -> TypeAdapter[OwnSettings]:
    return TypeAdapter(OwnSettings)


def load_own_settings(base: Path, overlays: Sequence[Path] = ()) -> OwnSettings:
    """Return the settings in a base file with overlays merged onto it.

    :class:`SettingsError` tells of every mistake at once.
    """
    merged = read_merged(base, overlays)
    try:
        return _adapter().validate_python(merged)
    except ValidationError as error:
        mistakes = [
            ".".join(str(part) for part in one["loc"]) + ": " + one["msg"]
            for one in error.errors(include_url=False)
        ]
        raise SettingsError(ErrorKind.MALFORMED_REQUEST, "\n".join(mistakes)) from error
