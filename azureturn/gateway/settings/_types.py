"""The gateway's settings.

The platform states the VM and the bounds, which operators set; azureturn's own JSON file states the
limits and the policy.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from functools import cache
from pathlib import Path
from typing import Annotated, Any

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError

from azureturn.errors import ErrorKind, SettingsError
from azureturn.json_files import read_merged

Positive = Annotated[float, Field(gt=0)]
Share = Annotated[float, Field(ge=0, le=1)]
Milliseconds = Annotated[int, Field(ge=0, le=600_000)]
Count = Annotated[int, Field(ge=1, le=100_000)]


class _StrictSettings:
    """Base class of settings read from JSON; unknown fields are errors."""

    __pydantic_config__ = ConfigDict(extra="forbid")


@dataclass(frozen=True)
class GatewayVm:
    """Identity and addresses of this VM, as given by the platform."""

    name: str
    availability_zone: str
    #: IP address at which peers reach this VM.
    host: str
    caller_host: str
    caller_port: int
    readiness_host: str
    readiness_port: int
    #: Port for peers, the same on every VM: Thrift calls over TCP, reports over UDP.
    peer_port: int
    #: Port at which peers have connections to upstreams relayed, the same on every VM.
    relay_port: int
    #: Hosts of some VMs of the site; they report the hosts of the others.
    seed_hosts: tuple[str, ...] = ()
    #: Width of this VM's link.
    link_mbps: float = 1_000.0
    #: Memory of this VM, beyond which its process is killed; None if unknown.
    memory_mb: float | None = None
    #: Whether the whole site starts for the first time, so that no VM has had an earlier process.
    is_first_start: bool = False

    def with_seed_hosts(self, seed_hosts: tuple[str, ...]) -> "GatewayVm":
        """Return a copy with other seed hosts."""
        return replace(self, seed_hosts=seed_hosts)


@dataclass(frozen=True)
class RetryBounds:
    """Limits on the retries that all VMs together may send to one service."""

    #: Maximum number of retries as a share of the service's requests.
    ratio: float
    #: Number of retries allowed in addition to that share.
    slack: float


@dataclass(frozen=True)
class AllotmentBounds:
    """How usage of an allotment is counted, and by how much all VMs together may exceed it."""

    #: Length of the sliding window in which usage is counted.
    window_ms: int
    #: Maximum excess, as a share of the allotment.
    overshoot: float
    #: Excess allowed in addition to that share, in units of the allotment (tokens or requests).
    slack: float


@dataclass(frozen=True)
class MoveBounds:
    """Limits on the traffic of a new version early in a move, before it has proved reliable."""

    #: Maximum share of the service's requests that go to the new version.
    share: float


@dataclass(frozen=True)
class ColdBounds:
    """Limit of the requests that all VMs together send a cold upstream in any one second."""

    #: Limit as a multiple of the requests per second that it takes.
    overshoot: float = 1.5
    #: Requests allowed in addition to that.
    slack: float = 5.0


@dataclass(frozen=True)
class GatewayBounds:
    """Bounds set by the operators."""

    #: Time from the stop signal until the platform kills the process.
    stop_limit_ms: int
    #: Time that a VM has after its connections broke before the bounds on its knowledge apply.
    contact_ms: int
    #: Shortest time for which an upstream goes on serving after it has said that it leaves.
    drain_ms: int
    retry: RetryBounds
    allotment: AllotmentBounds
    move: MoveBounds
    cold: ColdBounds = ColdBounds()
    #: Time from the write of a configuration until it is in force on each VM; None if not stated.
    config_apply_ms: int | None = None

    @property
    def shortest_apply_ms(self) -> int:
        """Return the shortest time in which each VM has to act on a change in the store."""
        return min(self.drain_ms, self.config_apply_ms or self.drain_ms)


@dataclass(frozen=True)
class EnginePolicy(_StrictSettings):
    """Performance assumed of a model engine until it has been measured from its responses."""

    prefill_tokens_per_ms: Positive = 100.0
    #: Time from the end of prefill to the first event.
    first_event_ms: Positive = 50.0
    ms_per_token: Positive = 3.8
    #: Prompt tokens that the engine prefills before it generates the next token of the responses
    #: that it is generating concurrently.
    chunk_tokens: Positive = 2_048.0
    #: Tokens in a typical response.
    answer_tokens: Positive = 300.0


@dataclass(frozen=True)
class GatewayPolicy(_StrictSettings):
    """Policy for placing, queueing and refusing requests."""

    engine: EnginePolicy = field(default_factory=EnginePolicy)
    #: Whether the VMs share what they measure of the upstreams' speeds, and place requests by it.
    #: Otherwise each VM goes by its own answers alone.
    shares_speeds: bool = False
    #: Share of its route's time limit for which a request that misses its objective may wait for an
    #: upstream, beyond ``patience_objectives``. Late requests of a tier take up the capacity for
    #: less urgent ones that would be in time. With 0 none waits for longer.
    late_wait_share: Share = 0.0
    #: Number of requests sent to an engine in addition to its slots, so that the next one starts
    #: as soon as a slot becomes free.
    ahead_requests: Annotated[float, Field(ge=0)] = 1.0
    #: Slots of an engine that are reserved for the most urgent tier.
    reserved_slots: Annotated[float, Field(ge=0)] = 0.0
    #: A queued request waits for at least this multiple of its objective before it is refused, also
    #: if it is not expected to be answered within its time limit any more.
    patience_objectives: Positive = 2.0
    #: A new request is not refused while its expected wait is within this multiple of its
    #: objective. Beyond that it is refused if it is not expected to be answered within its time
    #: limit.
    refusal_objectives: Positive = 1.0


@dataclass(frozen=True)
class GatewayLimits(_StrictSettings):
    """Limits, intervals and ports of one process."""

    #: Callers' connections on which a request is being read or served; further ones are refused as
    #: ``overloaded`` unread. It exceeds ``requests_in_progress``, so that a request's tier is known
    #: before it is refused.
    caller_connections: Count = 1_000
    #: Requests in progress at the same time; beyond them the least urgent one that waits, or else
    #: the new one, is refused as ``overloaded``.
    requests_in_progress: Count = 400
    #: The same for requests that wait for an upstream.
    requests_waiting: Count = 250
    #: Interval at which the core receives ticks.
    tick_interval_ms: Annotated[int, Field(ge=5, le=1_000)] = 50
    #: Shortest interval at which a VM sends status reports to its peers.
    report_interval_ms: Annotated[int, Field(ge=20, le=10_000)] = 100
    #: How long one call waits at the store for changes, unless ``bounds.contact_ms`` allows more.
    watch_wait_ms: Annotated[int, Field(ge=100, le=30_000)] = 2_000
    #: How long a stopping VM still accepts every new request, since the load balancer may not have
    #: noticed yet. After that it accepts only requests whose time limit ends before the stop.
    balancer_lag_ms: Milliseconds = 2_800
    #: Port of the metrics page; 0 to serve none.
    metrics_port: Annotated[int, Field(ge=0, le=65_535)] = 0
    #: Shared secret with which VMs authenticate to each other.
    peer_secret: Annotated[str, Field(min_length=16, max_length=256)] = "change-this-shared-secret"


@dataclass(frozen=True)
class JsonSettings(_StrictSettings):
    """Settings read from azureturn's own JSON file, as opposed to the platform's."""

    limits: GatewayLimits = field(default_factory=GatewayLimits)
    policy: GatewayPolicy = field(default_factory=GatewayPolicy)


#: How long before the end of ``contact_ms`` a watch must have ended, so that a connection that has
#: gone silent is noticed and replaced in time.
_SILENT_WATCH_MARGIN_MS = 1_500


@dataclass(frozen=True)
class GatewaySettings:
    """All settings of a gateway process."""

    vm: GatewayVm
    bounds: GatewayBounds
    limits: GatewayLimits = field(default_factory=GatewayLimits)
    policy: GatewayPolicy = field(default_factory=GatewayPolicy)

    @property
    def watch_wait_ms(self) -> int:
        """Return how long one call waits at the store for changes.

        The longer it waits, the fewer calls a quiet store gets from all VMs.
        """
        return max(self.limits.watch_wait_ms, self.bounds.contact_ms - _SILENT_WATCH_MARGIN_MS)


#: Limits that no longer exist, and those that replace them.
_REMOVED_LIMITS = {
    "caller_threads": "requests_in_progress and requests_waiting",
    "accept_backlog": "caller_connections",
}


def _removed_limit_mistakes(merged: Mapping[str, Any]) -> list[str]:
    limits = merged.get("limits")
    names = limits if isinstance(limits, Mapping) else {}
    return [
        f"limits.{name}: was removed, since requests no longer have threads; use limits.{successor}"
        for name, successor in _REMOVED_LIMITS.items()
        if name in names
    ]


@cache
def _type_adapter() -> TypeAdapter[JsonSettings]:
    return TypeAdapter(JsonSettings)


def load_json_settings(base: Path, overlays: Sequence[Path] = ()) -> JsonSettings:
    """Return the settings in a base file with overlays merged onto it.

    Raises :class:`SettingsError`, which lists all mistakes at once.
    """
    merged = read_merged(base, overlays)
    try:
        return _type_adapter().validate_python(merged)
    except ValidationError as error:
        mistakes = _removed_limit_mistakes(merged) + [
            ".".join(str(part) for part in mistake["loc"]) + ": " + mistake["msg"]
            for mistake in error.errors(include_url=False)
            if mistake["loc"][-1] not in _REMOVED_LIMITS
        ]
        raise SettingsError(ErrorKind.MALFORMED_REQUEST, "\n".join(mistakes)) from error
