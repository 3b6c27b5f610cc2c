"""Types of the settings: those of each daemon, and those that operators change for all VMs."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated

from pydantic import ConfigDict, Field

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Port = Annotated[int, Field(ge=1, le=65_535)]
DurationMs = Annotated[int, Field(ge=1, le=7 * 24 * 3_600_000)]
Count = Annotated[int, Field(ge=1, le=1_000_000)]
ByteCount = Annotated[int, Field(ge=1, le=1 << 30)]
Secret = Annotated[str, Field(min_length=16, max_length=256)]

#: Address of a peer port as ``host:port``.
PeerPort = Annotated[str, Field(pattern=r"^[^\s:]+:[0-9]{1,5}$")]

#: In an objective: covers the tier's requests of all organisations together.
ALL_ORGANISATIONS = "*"
OrganisationOrAll = Annotated[str, Field(pattern=r"^(\*|[A-Za-z0-9][A-Za-z0-9._-]{0,62})$")]
#: Service-level counts are kept for three days, so no objective may use a longer window.
ObjectiveWindowMs = Annotated[int, Field(ge=300_000, le=3 * 24 * 3_600_000)]


class _StrictSettings:
    """Base of all settings classes; rejects unknown fields."""

    __pydantic_config__ = ConfigDict(extra="forbid")


class UpstreamKind(StrEnum):
    """The kind of an upstream, which determines the protocol."""

    MODEL_ENGINE = "model_engine"
    PLAIN_SERVICE = "plain_service"


@dataclass(frozen=True)
class VmSettings(_StrictSettings):
    """Name and addresses of this VM; each VM's overlay gives its own."""

    name: Name
    availability_zone: Name
    #: IP address at which callers and peers reach this VM.
    host: str
    #: HTTP port for callers.
    port: Port
    #: Thrift port for the other VMs of this system.
    peer_port: Port


@dataclass(frozen=True)
class PlatformSettings(_StrictSettings):
    """Addresses of the platform's services."""

    #: Base URL of the key-value service.
    key_value_url: str
    #: Base URL of the list of live and leaving VMs.
    vm_list_url: str
    #: Timeout of one request to the key-value service.
    key_value_timeout_ms: DurationMs = 1_000
    #: Peer ports queried at startup if the list of VMs is unavailable, as ``host:port``.
    seed_peers: tuple[PeerPort, ...] = ()
    #: Prefix of every key that this system writes.
    key_prefix: str = "azureturn/"


@dataclass(frozen=True)
class DaemonSettings(_StrictSettings):
    """Limits of one daemon process."""

    #: Threads that serve callers; also the maximum number of requests in progress.
    caller_threads: Count = 256
    #: Connections that may wait for a thread before further ones get ``overloaded``.
    accept_backlog: Count = 64
    body_limit_bytes: ByteCount = 1 << 20
    header_limit_bytes: ByteCount = 32_768
    #: Time limit for receiving a request's headers, from the start of the wait for the first byte.
    header_timeout_ms: DurationMs = 10_000
    #: Time limit for receiving a request's body, from the end of its headers.
    body_timeout_ms: DurationMs = 15_000
    connect_timeout_ms: DurationMs = 1_000
    #: An upstream's stream without data for this long is treated as timed out.
    silence_timeout_ms: DurationMs = 5_000
    #: Interval of the tick events that pass the current time to the core.
    tick_interval_ms: DurationMs = 50
    load_report_interval_ms: DurationMs = 500
    heartbeat_interval_ms: DurationMs = 500
    #: Bandwidth limit of heartbeats in bytes per second, sent and received together.
    control_bytes_per_s: ByteCount = 7_000
    #: How long startup waits for the configuration from the key-value service or a peer.
    start_wait_ms: DurationMs = 5_000
    #: How long a planned stop waits for the load balancer to stop sending requests.
    balancer_lag_ms: DurationMs = 1_000
    #: How long a planned stop waits for requests in flight before it cuts them off and reports it.
    stop_limit_ms: DurationMs = 120_000
    #: Shared secret by which VMs and operators authenticate to each other.
    peer_secret: Secret = "change-this-shared-secret"
    log_path: str = "-"
    statsd_host: str = ""
    statsd_port: Port = 8_125
    random_seed: int | None = None


@dataclass(frozen=True)
class TierSettings(_StrictSettings):
    """One priority class of requests."""

    name: Name
    #: Order of the tiers by urgency; 0 is the most urgent.
    rank: Annotated[int, Field(ge=0, le=15)]


@dataclass(frozen=True)
class OrganisationSettings(_StrictSettings):
    """One organisation and the bearer token of its callers."""

    name: Name
    token: Secret
    #: Weight in fair sharing between organisations.
    weight: Annotated[float, Field(gt=0, le=1_000)] = 1.0


@dataclass(frozen=True)
class RouteSettings(_StrictSettings):
    """One kind of request: its target, tier and timeout."""

    name: Name
    tier: Name
    #: Time limit from a request's arrival to its complete response.
    timeout_ms: DurationMs
    #: The model or the plain service that handles the requests.
    target: Name
    #: False for calls that may run at most once.
    idempotent: bool = True
    #: True if the upstream itself deduplicates requests by idempotency key.
    upstream_deduplicates: bool = False
    #: Plain services only.
    method: str = "POST"
    #: Path of the plain service's endpoint; empty for model engines.
    path: str = ""
    #: Expected length of a response, used until one has been learned from responses.
    expected_output_tokens: Count = 200


@dataclass(frozen=True)
class UpstreamSettings(_StrictSettings):
    """One replica of a model engine or of a plain service."""

    name: Name
    kind: UpstreamKind
    availability_zone: Name
    url: str
    #: The models, or the plain service, that it serves.
    targets: tuple[Name, ...]
    version: Name = "v1"
    hardware: Name = "default"
    #: Requests that it processes concurrently.
    slots: Count = 16
    #: Speeds assumed until measurements are available.
    prefill_tokens_per_s: Annotated[float, Field(gt=0)] = 8_000.0
    decode_tokens_per_s: Annotated[float, Field(gt=0)] = 50.0
    #: Whether it rejects orders with a fencing token lower than the highest it has received.
    checks_fence: bool = False
    draining: bool = False


@dataclass(frozen=True)
class ObjectiveSettings(_StrictSettings):
    """Service-level objective of a tier, for all organisations together or for one."""

    tier: Name
    #: Share of requests to be answered completely and in time.
    target: Annotated[float, Field(gt=0, lt=1)]
    #: One organisation, or ``*`` for the tier's requests of all organisations together.
    organisation: OrganisationOrAll = ALL_ORGANISATIONS
    #: Length of the window over which the error budget is counted.
    window_ms: ObjectiveWindowMs = 3_600_000


@dataclass(frozen=True)
class MoveSettings(_StrictSettings):
    """Parameters of moves, which shift a model's requests from one version to another in stages.

    The sizes and times of a load are estimates that apply until loads have been measured.
    """

    #: Size of the weights of one version.
    weight_bytes: Annotated[int, Field(ge=1)] = 2_000_000
    #: Total bandwidth of the weight store, shared by all its readers.
    weight_store_bytes_per_s: Annotated[float, Field(gt=0)] = 10_000_000.0
    #: Time to load a version after its weights have been transferred to the engine.
    load_time_ms: DurationMs = 1_000
    #: Timeout of one order, which tells an engine to load or unload a version. A VM that takes
    #: over a move waits for this long before its first order, so that the orders of its
    #: predecessor have ended.
    order_limit_ms: DurationMs = 30_000
    #: How long the version that no longer serves stays loaded after the end of a move.
    unload_after_ms: DurationMs = 30_000
    #: Another VM may take over a move whose holder has not renewed its lease for this long. The
    #: holder is the VM that drives the move and writes its record.
    lease_ms: DurationMs = 10_000


@dataclass(frozen=True)
class PolicySettings(_StrictSettings):
    """Which of the registered policies are in use, and their limits."""

    placement: Name = "earliest_finish"
    #: Policy by which the traffic share of a new version grows during a move.
    ramp: Name = "judged"
    moves: MoveSettings = field(default_factory=MoveSettings)
    #: Policy that limits the work outstanding at an upstream: ``work`` or ``slots``.
    limits: Name = "work"
    #: Order of the queue: ``tiers``, or ``first_come`` for order of arrival regardless of tier.
    queue_order: Name = "tiers"
    #: Whether a request is refused as soon as it is expected to miss its deadline, rather than
    #: when the deadline passes.
    early_refusal: bool = True
    queue_limit: Count = 500
    #: How long claims and their outcomes are retained. A claim is the stored right of one
    #: process to run a call that may run at most once.
    claim_retention_ms: DurationMs = 24 * 3_600_000


@dataclass(frozen=True)
class ChangeSettings(_StrictSettings):
    """Metadata of a revision, written by the tool; it recognises its own write by the nonce."""

    author: Annotated[str, Field(max_length=128)] = ""
    nonce: Annotated[str, Field(max_length=64)] = ""
    applied_at_unix_ms: Annotated[int, Field(ge=0)] = 0
    #: The revision that this one replaced; -1 if the writer did not record it.
    replaces_revision: Annotated[int, Field(ge=-1)] = -1


@dataclass(frozen=True)
class SharedSettings(_StrictSettings):
    """Settings that must be the same on every VM; stored in the key-value service."""

    site: Name
    tiers: tuple[TierSettings, ...]
    organisations: tuple[OrganisationSettings, ...]
    routes: tuple[RouteSettings, ...]
    upstreams: tuple[UpstreamSettings, ...]
    objectives: tuple[ObjectiveSettings, ...] = ()
    policy: PolicySettings = field(default_factory=PolicySettings)
    change: ChangeSettings = field(default_factory=ChangeSettings)


@dataclass(frozen=True)
class Settings(_StrictSettings):
    """All settings that a daemon reads at startup."""

    vm: VmSettings
    platform: PlatformSettings
    shared: SharedSettings
    daemon: DaemonSettings = field(default_factory=DaemonSettings)
