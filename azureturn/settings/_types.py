"""The settings: what a daemon is told at its start, and what operators change for all VMs."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated

from pydantic import Field

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Port = Annotated[int, Field(ge=1, le=65_535)]
DurationMs = Annotated[int, Field(ge=1, le=7 * 24 * 3_600_000)]
Count = Annotated[int, Field(ge=1, le=1_000_000)]
ByteCount = Annotated[int, Field(ge=1, le=1 << 30)]
Secret = Annotated[str, Field(min_length=16, max_length=256)]


class UpstreamKind(StrEnum):
    """What an upstream is, and so how it is spoken to."""

    MODEL_ENGINE = "model_engine"
    PLAIN_SERVICE = "plain_service"


@dataclass(frozen=True)
class VmSettings:
    """Where this daemon stands; each VM's overlay gives its own."""

    name: Name
    availability_zone: Name
    #: The IP number that callers and peers reach this VM by.
    host: str
    #: HTTP port for callers.
    port: Port
    #: Thrift port for the system's other VMs.
    peer_port: Port


@dataclass(frozen=True)
class PlatformSettings:
    """Where the platform's services are."""

    #: Base URL of the key-value service.
    key_value_url: str
    #: Base URL of the list of live and leaving VMs.
    vm_list_url: str
    #: Longest wait for one answer of the key-value service.
    key_value_timeout_ms: DurationMs = 1_000
    #: First part of every key that this system writes.
    key_prefix: str = "azureturn/"


@dataclass(frozen=True)
class DaemonSettings:
    """Limits of one daemon process."""

    #: Threads that serve callers, and so the most requests in progress at once.
    caller_threads: Count = 256
    #: Connections that may wait for a thread before callers are told ``overloaded``.
    accept_backlog: Count = 64
    body_limit_bytes: ByteCount = 1 << 20
    header_limit_bytes: ByteCount = 32_768
    #: A request's headers must be complete this long after the first byte was awaited.
    header_timeout_ms: DurationMs = 10_000
    #: A request's body must be complete this long after its headers.
    body_timeout_ms: DurationMs = 15_000
    connect_timeout_ms: DurationMs = 1_000
    #: A stream that brings nothing for this long is taken for silent.
    silence_timeout_ms: DurationMs = 5_000
    #: How often the core is given the time.
    tick_interval_ms: DurationMs = 50
    load_report_interval_ms: DurationMs = 500
    heartbeat_interval_ms: DurationMs = 500
    #: How long a planned stop waits for the balancer to stop sending.
    balancer_lag_ms: DurationMs = 1_000
    #: How long a planned stop waits for requests in flight before it reports a cut.
    stop_limit_ms: DurationMs = 120_000
    #: Key that VMs and operators share to authenticate to each other.
    peer_secret: Secret = "change-this-shared-secret"
    log_path: str = "-"
    statsd_host: str = ""
    statsd_port: Port = 8_125
    random_seed: int | None = None


@dataclass(frozen=True)
class TierSettings:
    """One class of urgency."""

    name: Name
    #: 0 is the most urgent.
    rank: Annotated[int, Field(ge=0, le=15)]


@dataclass(frozen=True)
class OrganisationSettings:
    """One organisation and the token that its callers show."""

    name: Name
    token: Secret
    #: Weight of its fair share.
    weight: Annotated[float, Field(gt=0, le=1_000)] = 1.0


@dataclass(frozen=True)
class RouteSettings:
    """One kind of request: where it goes and what it is owed."""

    name: Name
    tier: Name
    #: Time from arrival to the whole answer.
    timeout_ms: DurationMs
    #: The model or the plain service that answers.
    target: Name
    #: False for calls that may run at most once.
    idempotent: bool = True
    #: True where the upstream itself ignores a key that it has seen.
    upstream_deduplicates: bool = False
    #: Plain services only.
    method: str = "POST"
    #: Path at the plain service; empty for model engines.
    path: str = ""
    #: Usual length of the answer, used until one was learned.
    expected_output_tokens: Count = 200


@dataclass(frozen=True)
class UpstreamSettings:
    """One replica of a model engine or of a plain service."""

    name: Name
    kind: UpstreamKind
    availability_zone: Name
    url: str
    #: The models, or the plain service, that it serves.
    targets: tuple[Name, ...]
    version: Name = "v1"
    hardware: Name = "default"
    #: Requests that it works on at once.
    slots: Count = 16
    #: Speeds that are assumed until measured.
    prefill_tokens_per_s: Annotated[float, Field(gt=0)] = 8_000.0
    decode_tokens_per_s: Annotated[float, Field(gt=0)] = 50.0
    #: Whether it refuses orders with an old fencing number.
    checks_fence: bool = False
    draining: bool = False


@dataclass(frozen=True)
class ObjectiveSettings:
    """A service level that is owed to a tier."""

    tier: Name
    #: Share of requests answered whole and in time.
    target: Annotated[float, Field(gt=0, lt=1)]
    window_ms: DurationMs = 3_600_000


@dataclass(frozen=True)
class PolicySettings:
    """Which of the registered decisions are in use, and their limits."""

    placement: Name = "earliest_finish"
    #: What bounds the work outstanding at an upstream: ``work`` or ``slots``.
    limits: Name = "work"
    #: ``tiers``, or ``first_come`` for arrival order without tiers.
    queue_order: Name = "tiers"
    #: Whether a request is refused on arrival when the queue says that it would be late.
    early_refusal: bool = True
    #: Share of its time that a request of the most urgent tier may wait for less urgent ones
    #: which would be late otherwise; 0 for none.
    lend_share: Annotated[float, Field(ge=0, le=0.5)] = 0.15
    queue_limit: Count = 500
    #: How long claims and outcomes are kept.
    claim_retention_ms: DurationMs = 24 * 3_600_000


@dataclass(frozen=True)
class SharedSettings:
    """What must be the same on every VM; it lives in the key-value service."""

    site: Name
    tiers: tuple[TierSettings, ...]
    organisations: tuple[OrganisationSettings, ...]
    routes: tuple[RouteSettings, ...]
    upstreams: tuple[UpstreamSettings, ...]
    objectives: tuple[ObjectiveSettings, ...] = ()
    policy: PolicySettings = field(default_factory=PolicySettings)


@dataclass(frozen=True)
class Settings:
    """Everything that a daemon reads at its start."""

    vm: VmSettings
    platform: PlatformSettings
    shared: SharedSettings
    daemon: DaemonSettings = field(default_factory=DaemonSettings)
