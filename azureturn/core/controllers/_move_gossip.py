"""Publishes this VM's evidence on model versions to its peers and receives the evidence of peers.

A move is the gradual shift of a model's requests from its current version to a new one. Evidence is
the number of answers, and of answers with each kind of defect, by version, route and time.
"""

from azureturn.core._configuration import ConfigurationTable
from azureturn.core._controllers import controller
from azureturn.core._events import GossipRowsReceived, ImmediateGossipRequested
from azureturn.core.membership import GossipTable, PeerIdentity, PeerTable, Topic
from azureturn.core.moves._evidence import CondemnedMove, EvidenceRow, EvidenceSource
from azureturn.core.moves._gossip import (
    evidence_from_row,
    evidence_to_rows,
    move_number,
)
from azureturn.core.moves._messages import EvidenceReceived
from azureturn.core.moves._tables import EvidenceTable, Move, MoveTable
from azureturn.core.moves._types import MoveReason, MoveRecord
from azureturn.framework import Context, Controller, Tick, on
from azureturn.settings import Settings

#: Interval at which this VM publishes all its evidence, the counts of both the old and the new
#: version.
PUBLISH_INTERVAL_MS = 4_000
#: Shorter interval for routes on which the new version has just shown a defect.
URGENT_PUBLISH_INTERVAL_MS = 300
#: Outcomes of a move as encoded in gossip rows.
_CONDEMNED_CODE, _COMPLETED_CODE = 1, 2
#: A reason is encoded as its position in the enumeration, so the order is part of the row format.
_REASON_BY_CODE = tuple(MoveReason)


@controller("move_gossip")
class MoveGossipController(Controller[Settings]):
    """Spreads evidence and the outcomes of moves as gossip rows."""

    reads = (ConfigurationTable, PeerTable, EvidenceTable, MoveTable)
    writes = (GossipTable,)
    after = ("membership", "moves", "mover")

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        #: Time of the last publication: by move id for the routes with new defects, and by move id
        #: followed by ``" all"`` for all routes.
        self._published_at_ms: dict[str, int] = {}

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        own_identity = self.board.read(PeerTable).local_identity
        if own_identity is None:
            return
        for model, move in self.board.read(MoveTable).items():
            self._publish_evidence(own_identity, move, context)
            self._publish_outcome(own_identity, model, move, context)

    @on(GossipRowsReceived)
    def _on_rows(self, event: GossipRowsReceived, context: Context) -> None:
        evidence: list[EvidenceRow] = []
        condemned: list[CondemnedMove] = []
        completed: list[str] = []
        records = [move.record for move in self.board.read(MoveTable).rows()]
        configuration = self.board.read(ConfigurationTable).get_active()
        routes = [route.name for route in configuration.shared.routes]
        for row in event.rows:
            if row.row_key.topic is Topic.EVIDENCE:
                evidence.extend(evidence_from_row(row, records, routes))
            elif row.row_key.topic is Topic.MOVE_ENDED and len(row.numbers) == 3:
                number, outcome_code, reason_code = row.numbers
                move_id = _move_id(records, row.row_key.key, number)
                if outcome_code == _COMPLETED_CODE:
                    completed.append(move_id)
                elif outcome_code == _CONDEMNED_CODE and 0 <= reason_code < len(_REASON_BY_CODE):
                    detail = f"reported by {row.row_key.owner}"
                    condemned.append(CondemnedMove(move_id, _REASON_BY_CODE[reason_code], detail))
        if evidence or condemned or completed:
            context.post(EvidenceReceived(tuple(evidence), tuple(condemned), tuple(completed)))

    def _publish_evidence(self, own_identity: PeerIdentity, move: Move, context: Context) -> None:
        """Update this VM's gossip rows.

        Routes with new defects are due at the short interval, and all routes at the long one.
        """
        record = move.record
        ledger = self.board.read(EvidenceTable).get(record.move_id)
        if ledger is None or record.ended:
            return
        all_due = self._is_publication_due(f"{record.move_id} all", PUBLISH_INTERVAL_MS, context)
        routes = set(ledger.unsent_defect_routes)
        if not all_due and not (
            routes and self._is_publication_due(record.move_id, URGENT_PUBLISH_INTERVAL_MS, context)
        ):
            return
        self._published_at_ms[record.move_id] = context.now_ms
        if all_due:
            self._published_at_ms[f"{record.move_id} all"] = context.now_ms
        ledger.unsent_defect_routes.clear()
        own_rows = ledger.rows_of(EvidenceSource(own_identity.vm, ledger.own_boot_id))
        rows = [row for row in own_rows if all_due or row[0].route in routes]
        gossip = self.board.write(GossipTable)
        for key, numbers in evidence_to_rows(record, rows):
            gossip.change_own(own_identity, Topic.EVIDENCE, key, numbers, context.now_ms)

    def _is_publication_due(self, publication_key: str, interval_ms: int, context: Context) -> bool:
        last_ms = self._published_at_ms.get(publication_key)
        return last_ms is None or context.now_ms - last_ms >= interval_ms

    def _publish_outcome(
        self, own_identity: PeerIdentity, model: str, move: Move, context: Context
    ) -> None:
        moves = self.board.read(MoveTable)
        move_id = move.record.move_id
        verdict = moves.condemned.get(move_id)
        if move_id in moves.completed:
            numbers = (move_number(move_id), _COMPLETED_CODE, 0)
        elif verdict is not None:
            numbers = (
                move_number(move_id),
                _CONDEMNED_CODE,
                _REASON_BY_CODE.index(verdict.reason),
            )
        else:
            return
        gossip = self.board.write(GossipTable)
        if gossip.change_own(own_identity, Topic.MOVE_ENDED, model, numbers, context.now_ms):
            context.post(ImmediateGossipRequested())


def _move_id(records: list[MoveRecord], model: str, number: int) -> str:
    """Return the id of the model's current move if it has this number, else an empty string."""
    for record in records:
        if record.model == model and move_number(record.move_id) == number:
            return record.move_id
    return ""
