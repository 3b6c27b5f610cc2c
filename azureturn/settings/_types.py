"""The settings: what a daemon is told at its start, and what operators change for all VMs."""

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

#: A peer port as ``host:port``.
PeerPort = Annotated[str, Field(pattern=r"^[^\s:]+:[0-9]{1,5}$")]

#: In an objective: the tier's requests of all organisations together.
EVERY_ORGANISATION = "*"
OrganisationOrEvery = Annotated[str, Field(pattern=r"^(\*|[A-Za-z0-9][A-Za-z0-9._-]{0,62})$")]
#: Service levels are kept for three days, so no objective looks further back.
ObjectiveWindowMs = Annotated[int, Field(ge=300_000, le=3 * 24 * 3_600_000)]


class _Checked:
    """The base of all settings: a field that nobody reads is a mistake."""

    __pydantic_config__ = ConfigDict(extra="forbid")


class UpstreamKind(StrEnum):
    """What an upstream is, and so how it is spoken to."""

    MODEL_ENGINE = "model_engine"
    PLAIN_SERVICE = "plain_service"


@dataclass(frozen=True)
class VmSettings(_Checked):
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
class PlatformSettings(_Checked):
    """Where the platform's services are."""

    #: Base URL of the key-value service.
    key_value_url: str
    #: Base URL of the list of live and leaving VMs.
    vm_list_url: str
    #: Longest wait for one answer of the key-value service.
    key_value_timeout_ms: DurationMs = 1_000
    #: Peer ports that a start asks where the list of VMs is down, as ``host:port``.
    seed_peers: tuple[PeerPort, ...] = ()
    #: First part of every key that this system writes.
    key_prefix: str = "azureturn/"


@dataclass(frozen=True)
class DaemonSettings(_Checked):
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
    #: Bytes a second that heartbeats may take, sent and received together.
    control_bytes_per_s: ByteCount = 7_000
    #: How long a start waits for the configuration from the key-value service or a peer.
    start_wait_ms: DurationMs = 5_000
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
class TierSettings(_Checked):
    """One class of urgency."""

    name: Name
    #: 0 is the most urgent.
    rank: Annotated[int, Field(ge=0, le=15)]


@dataclass(frozen=True)
class OrganisationSettings(_Checked):
    """One organisation and the token that its callers show."""

    name: Name
    token: Secret
    #: Weight of its fair share.
    weight: Annotated[float, Field(gt=0, le=1_000)] = 1.0


@dataclass(frozen=True)
class RouteSettings(_Checked):
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
class UpstreamSettings(_Checked):
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
class ObjectiveSettings(_Checked):
    """A service level that is owed to a tier, to all organisations together or to one."""

    tier: Name
    #: Share of requests answered whole and in time.
    target: Annotated[float, Field(gt=0, lt=1)]
    #: One organisation, or ``*`` for the tier's requests of all organisations together.
    organisation: OrganisationOrEvery = EVERY_ORGANISATION
    #: The time over which the budget of failures is counted.
    window_ms: ObjectiveWindowMs = 3_600_000


@dataclass(frozen=True)
class MoveSettings(_Checked):
    """What is assumed of loading a version until the first loads were timed."""

    weight_bytes: Annotated[int, Field(ge=1)] = 2_000_000
    #: What the weight store gives to all its readers together.
    weight_store_bytes_per_s: Annotated[float, Field(gt=0)] = 10_000_000.0
    #: Time to load a version once its weights are at the engine.
    load_time_ms: DurationMs = 1_000
    #: Longest wait for the end of one order; a new holder waits it out before it orders.
    order_limit_ms: DurationMs = 30_000
    #: How long after a move's end the version that lost stays loaded.
    unload_after_ms: DurationMs = 30_000
    #: A record that its holder has not renewed for this long may be taken over.
    lease_ms: DurationMs = 10_000


@dataclass(frozen=True)
class PolicySettings(_Checked):
    """Which of the registered decisions are in use, and their limits."""

    placement: Name = "earliest_finish"
    #: How the share of a new version grows.
    ramp: Name = "judged"
    moves: MoveSettings = field(default_factory=MoveSettings)
    #: What bounds the work outstanding at an upstream: ``work`` or ``slots``.
    limits: Name = "work"
    #: ``tiers``, or ``first_come`` for arrival order without tiers.
    queue_order: Name = "tiers"
    #: Whether a request is refused as soon as it is seen that it would be late, not when it is.
    early_refusal: bool = True
    queue_limit: Count = 500
    #: How long claims and outcomes are kept.
    claim_retention_ms: DurationMs = 24 * 3_600_000


@dataclass(frozen=True)
class ChangeSettings(_Checked):
    """Who wrote a revision; the tool fills it in and finds its own write again by the nonce."""

    author: Annotated[str, Field(max_length=128)] = ""
    nonce: Annotated[str, Field(max_length=64)] = ""
    applied_at_unix_ms: Annotated[int, Field(ge=0)] = 0
    #: The revision that this one replaced; -1 where the writer did not say.
    replaces_revision: Annotated[int, Field(ge=-1)] = -1


@dataclass(frozen=True)
class SharedSettings(_Checked):
    """What must be the same on every VM; it lives in the key-value service."""

    site: Name
    tiers: tuple[TierSettings, ...]
    organisations: tuple[OrganisationSettings, ...]
    routes: tuple[RouteSettings, ...]
    upstreams: tuple[UpstreamSettings, ...]
    objectives: tuple[ObjectiveSettings, ...] = ()
    policy: PolicySettings = field(default_factory=PolicySettings)
    change: ChangeSettings = field(default_factory=ChangeSettings)


@dataclass(frozen=True)
class Settings(_Checked):
    """Everything that a daemon reads at its start."""

    vm: VmSettings
    platform: PlatformSettings
    shared: SharedSettings
    daemon: DaemonSettings = field(default_factory=DaemonSettings)
