"""Version moves: gradual rollouts of a new model version.

A move shifts the requests of one model from an old version to a new one in stages, each with a
larger share of the requests for the new version. A statistical test compares the failures and the
latencies of both versions; if the new version is worse, the move is taken back, that is, all
requests go to the old version again.

This package holds the stored record of a move, the assignment of requests to versions, the
evidence (counts of answers and their defects) on both versions, the statistical test of the
evidence, and the ramp policies.
"""

from azureturn.core.moves._assignment import is_assigned_to_new_version
from azureturn.core.moves._codec import (
    MOVES_PREFIX,
    MoveRecordError,
    check_record,
    decode_record,
    encode_record,
    move_key,
)
from azureturn.core.moves._evidence import (
    EPOCH_MS,
    OPEN_EPOCHS,
    VERY_SLOW_FACTOR,
    CondemnedMove,
    Counts,
    Defect,
    EvidenceKey,
    EvidenceRow,
    EvidenceSource,
    MoveEvidence,
    defects_of,
)
from azureturn.core.moves._filter import version_is_loaded
from azureturn.core.moves._gossip import evidence_from_row, evidence_to_rows
from azureturn.core.moves._judging import ERROR_RATE, SUSPICION_THRESHOLD, Judge, Verdict
from azureturn.core.moves._messages import (
    EvidenceReceived,
    MovesRead,
    MoveWritten,
    ObserveVersions,
    OrderEnded,
    OrderKind,
    ReportMove,
    SendOrder,
    StoredMove,
    VersionsObserved,
    WriteMove,
    WriteResult,
)
from azureturn.core.moves._planning import LoadingWork, judged_routes, stages_needed_ms
from azureturn.core.moves._policies import (
    RAMP_POLICIES,
    Advance,
    Hold,
    RampInputs,
    RampPolicy,
    TakeBack,
    ramp_policy,
)
from azureturn.core.moves._tables import (
    EvidenceTable,
    LatencyTable,
    ModelLoadTable,
    Move,
    MoveLease,
    MoveLeaseTable,
    MoveTable,
    ObservedUpstream,
    TrackedRequestTable,
)
from azureturn.core.moves._types import (
    ENDED_STATES,
    MoveChangeError,
    MoveReason,
    MoveRecord,
    MoveState,
    SlowThresholds,
)

__all__ = [
    "Advance",
    "CondemnedMove",
    "Counts",
    "Defect",
    "ENDED_STATES",
    "EPOCH_MS",
    "ERROR_RATE",
    "EvidenceKey",
    "EvidenceReceived",
    "EvidenceRow",
    "EvidenceSource",
    "EvidenceTable",
    "Hold",
    "Judge",
    "LatencyTable",
    "LoadingWork",
    "MOVES_PREFIX",
    "ModelLoadTable",
    "Move",
    "MoveChangeError",
    "MoveEvidence",
    "MoveLease",
    "MoveLeaseTable",
    "MoveReason",
    "MoveRecord",
    "MoveRecordError",
    "MoveState",
    "MoveTable",
    "MoveWritten",
    "MovesRead",
    "OPEN_EPOCHS",
    "ObserveVersions",
    "ObservedUpstream",
    "OrderEnded",
    "OrderKind",
    "RAMP_POLICIES",
    "RampInputs",
    "RampPolicy",
    "ReportMove",
    "SUSPICION_THRESHOLD",
    "SendOrder",
    "SlowThresholds",
    "StoredMove",
    "TakeBack",
    "TrackedRequestTable",
    "VERY_SLOW_FACTOR",
    "Verdict",
    "VersionsObserved",
    "WriteMove",
    "WriteResult",
    "check_record",
    "decode_record",
    "defects_of",
    "encode_record",
    "evidence_from_row",
    "evidence_to_rows",
    "is_assigned_to_new_version",
    "judged_routes",
    "move_key",
    "ramp_policy",
    "stages_needed_ms",
    "version_is_loaded",
]
