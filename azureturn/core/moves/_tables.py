"""Blackboard tables of version moves."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from ddsketch import DDSketch

from azureturn.core._upstreams import Upstream
from azureturn.core.moves._assignment import is_assigned_to_new_version
from azureturn.core.moves._evidence import MoveEvidence
from azureturn.core.moves._judging import Judge, Verdict
from azureturn.core.moves._messages import ReportMove
from azureturn.core.moves._types import MoveReason, MoveRecord, MoveState, SlowThresholds
from azureturn.framework import Table

#: After this time without a successful read of the key-value service, a VM treats its copies of
#: the move records as stale.
FRESHNESS_LIMIT_MS = 5_000


@dataclass(frozen=True)
class Move:
    """The move of a model as last read by this VM."""

    record: MoveRecord
    #: Revision of the record in the key-value service.
    revision: int
    #: Time at which this VM first read this revision.
    revision_seen_at_ms: int
    #: Time at which this VM first read the move.
    seen_at_ms: int = 0


class MoveTable(Table[str, Move]):
    """Moves by model, and the condemned and completed moves, known independently of the records.

    A move is condemned if its new version was judged bad or an operator ended it: the new version
    then gets no requests. Neither condemnation nor completion of a move is ever revoked, so VMs
    can agree on them without the key-value service: VMs exchange them together with the evidence
    and only add to them.
    """

    def __init__(self) -> None:
        super().__init__()
        #: Verdicts of the condemned moves by move id.
        self.condemned: dict[str, Verdict] = {}
        #: Ids of the completed moves.
        self.completed: set[str] = set()
        #: The last report on each model's move, by model.
        self.reported: dict[str, ReportMove] = {}
        #: Offset from the core's clock to Unix time.
        self.unix_offset_ms = 0
        #: Time of the last successful read or write of the key-value service; None before the
        #: first.
        self.service_reached_at_ms: int | None = None

    def is_fresh(self, now_ms: int) -> bool:
        """Return whether the key-value service answered within ``FRESHNESS_LIMIT_MS``."""
        return (
            self.service_reached_at_ms is not None
            and now_ms - self.service_reached_at_ms <= FRESHNESS_LIMIT_MS
        )

    def share(self, record: MoveRecord) -> float:
        """Return the share of requests that this VM assigns to the new version."""
        if record.move_id in self.completed:
            return 1.0
        return 0.0 if record.move_id in self.condemned else record.share

    def version_of(self, model: str, request_id: str) -> str:
        """Return the version assigned to a request; empty if the model has no known move."""
        move = self.get(model)
        if move is None:
            return ""
        record = move.record
        if is_assigned_to_new_version(request_id, record.move_id, self.share(record)):
            return record.to_version
        return record.from_version

    def with_version(
        self, upstreams: Sequence[Upstream], model: str, version: str
    ) -> Sequence[Upstream]:
        """Return the ``upstreams`` that are not known to lack a version."""
        move = self.get(model)
        if move is None or version != move.record.to_version:
            return upstreams
        missing = move.record.missing
        return [upstream for upstream in upstreams if upstream.settings.name not in missing]

    def state_to_report(self, move: Move, now_ms: int) -> tuple[MoveState, MoveReason]:
        """Return the state and reason that are reported to operators.

        After the deadline, a VM that cannot reach the key-value service reports ``frozen`` and
        keeps the share unchanged. The share is not raised, because another VM may have taken the
        move back, and not lowered, because the move may be completed. As a consequence, both
        versions keep serving for the duration of the outage, the new one with at most the share of
        the last stage that this VM has read.
        """
        record = move.record
        if record.move_id in self.completed:
            return MoveState.COMPLETED, MoveReason.NONE
        verdict = self.condemned.get(record.move_id)
        if verdict is not None and not record.ended:
            return MoveState.TAKEN_BACK, verdict.reason
        past_deadline = now_ms + self.unix_offset_ms >= record.deadline_unix_ms
        in_progress = record.state in (MoveState.LOADING, MoveState.RAMPING)
        if in_progress and past_deadline and not self.is_fresh(now_ms):
            return MoveState.FROZEN, MoveReason.NO_WORD_FROM_SERVICE
        return record.state, record.reason


@dataclass(frozen=True)
class LatestVerdict:
    """The latest verdict on a new version, and the state of the evidence it is based on."""

    verdict: Verdict = Verdict()
    #: ``defect_updates`` of the evidence when the verdict was computed.
    defect_updates: int = 0
    judged_at_ms: int = 0


class EvidenceTable(Table[str, MoveEvidence]):
    """Evidence by move id."""

    def __init__(self) -> None:
        super().__init__()
        self.judges: dict[str, Judge] = {}
        #: The latest verdicts by move id.
        self.verdicts: dict[str, LatestVerdict] = {}

    def of(self, move_id: str) -> MoveEvidence:
        """Return the evidence of a move, creating it on first use."""
        move_evidence = self.get(move_id)
        if move_evidence is None:
            move_evidence = MoveEvidence(move_id)
            self.put(move_id, move_evidence)
        return move_evidence


@dataclass(frozen=True)
class TrackedRequest:
    """A request in progress of a model that has a move."""

    move_id: str
    #: Stage of the move at dispatch; -1 before the first.
    stage: int
    route: str
    #: Whether the request was assigned to the new version.
    is_new: bool
    dispatched_at_ms: int
    #: Whether the model's load at this VM was high at dispatch (``ModelLoad.busy``).
    busy: bool = False
    first_token_ms: int | None = None

    def with_first_token(self, first_token_ms: int) -> "TrackedRequest":
        """Return a copy with the time to the first token."""
        return replace(self, first_token_ms=first_token_ms)


class TrackedRequestTable(Table[str, TrackedRequest]):
    """Dispatched requests of models that have a move, by request id."""


@dataclass(frozen=True)
class ObservedUpstream:
    """The versions loaded at an upstream, as last queried."""

    #: None if the upstream did not respond.
    versions: frozenset[str] | None = None
    #: Time of the last query for the versions; 0 if a query is due.
    queried_at_ms: int = 0
    observed_at_ms: int = 0
    #: Time at which the order in progress was sent; 0 if there is none.
    ordered_at_ms: int = 0


@dataclass(frozen=True)
class MoveLease:
    """This VM's lease on the move record of one model, and its write in progress.

    The VM that holds the lease advances the move and sends orders to engines.
    """

    #: End of the lease unless renewed; its duration is counted from before the write was sent.
    lease_ends_ms: int = 0
    #: Fencing number under which this VM last took over the record.
    fence: int = 0
    #: Earliest time for orders; until then the last order of an earlier holder may still arrive.
    earliest_order_ms: int = 0
    #: The record being written; None if no write is in progress.
    pending: MoveRecord | None = None
    #: Start of the write in progress.
    writing_since_ms: int = 0


class MoveLeaseTable(Table[str, MoveLease]):
    """This VM's leases by model, and the upstreams observed while holding them."""

    def __init__(self) -> None:
        super().__init__()
        #: Observed upstreams by name.
        self.observed: dict[str, ObservedUpstream] = {}
        #: Longest time observed for loading a version, used instead of the configured estimate; 0
        #: before the first.
        self.longest_load_ms = 0


class LatencySketches:
    """Quantile sketches of the old version's latencies at this VM.

    The latencies are measured before the new version gets requests.
    """

    #: An answer is slow if its latency exceeds this quantile.
    QUANTILE = 0.9

    def __init__(self) -> None:
        self._first_token: dict[str, DDSketch] = {}
        self._per_token: dict[str, DDSketch] = {}
        self.samples = 0

    def add(self, route: str, first_token_ms: float | None, per_token_ms: float | None) -> None:
        """Add the latencies of one answer to its route and to all routes together."""
        self.samples += 1
        for name in (route, ""):
            if first_token_ms is not None:
                self._first_token.setdefault(name, DDSketch()).add(first_token_ms)
            if per_token_ms is not None:
                self._per_token.setdefault(name, DDSketch()).add(per_token_ms)

    def thresholds(self) -> tuple[SlowThresholds, ...]:
        """Return the slow thresholds of each route; 0 for a latency without samples."""
        names = sorted(set(self._first_token) | set(self._per_token))
        return tuple(
            SlowThresholds(
                name, self._quantile(self._first_token, name), self._quantile(self._per_token, name)
            )
            for name in names
        )

    def _quantile(self, sketches: dict[str, DDSketch], name: str) -> float:
        sketch = sketches.get(name)
        return 0.0 if sketch is None else float(sketch.get_quantile_value(self.QUANTILE))


class LatencyTable(Table[str, LatencySketches]):
    """Latencies of the old version by move id."""


@dataclass(frozen=True)
class ModelLoad:
    """Outstanding requests of a model at this VM."""

    outstanding: int = 0
    #: Recent maximum of ``outstanding``, which decays slowly.
    peak: float = 0.0

    #: Factor applied to the peak at each dispatch.
    _PEAK_DECAY = 0.998

    @property
    def busy(self) -> bool:
        """Return whether the load is at least half of the recent peak."""
        return self.outstanding * 2 >= self.peak

    def with_dispatch(self) -> "ModelLoad":
        """Return a copy with one more outstanding request."""
        outstanding = self.outstanding + 1
        return ModelLoad(outstanding, max(outstanding, self.peak * self._PEAK_DECAY))

    def with_end(self) -> "ModelLoad":
        """Return a copy with one outstanding request less."""
        return replace(self, outstanding=max(0, self.outstanding - 1))


class ModelLoadTable(Table[str, ModelLoad]):
    """Outstanding requests by model."""
