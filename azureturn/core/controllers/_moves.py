"""Assigns model versions to requests, collects evidence on versions, and stops bad ones."""

from dataclasses import replace

from azureturn.core._configuration import ConfigurationTable
from azureturn.core._controllers import controller
from azureturn.core._events import (
    AnswerProgressed,
    Placed,
    RequestAnswered,
    RequestEnded,
    RequestFailed,
    RequestRequeued,
    Started,
)
from azureturn.core._requests import Request, RequestTable
from azureturn.core.moves._evidence import (
    EPOCH_MS,
    OPEN_EPOCHS,
    Counts,
    Defect,
    EvidenceKey,
    EvidenceSource,
    defects_of,
)
from azureturn.core.moves._judging import Judge, Verdict
from azureturn.core.moves._messages import (
    EvidenceReceived,
    MovesRead,
    MoveWritten,
    ReportMove,
    StoredMove,
    WriteResult,
)
from azureturn.core.moves._policies import RAMP_POLICIES
from azureturn.core.moves._tables import (
    EvidenceTable,
    LatencySketches,
    LatencyTable,
    LatestVerdict,
    ModelLoad,
    ModelLoadTable,
    Move,
    MoveTable,
    TrackedRequest,
    TrackedRequestTable,
)
from azureturn.core.moves._types import MoveRecord, MoveState
from azureturn.errors import RunState
from azureturn.framework import Context, Controller, Tick, on
from azureturn.settings import Settings

#: Minimum time between two evaluations of the new version of one move.
EVALUATION_INTERVAL_MS = 100
#: The reported status also changes with time, so it is recomputed at this interval.
REPORT_INTERVAL_MS = 250


@controller("moves")
class MovesController(Controller[Settings]):
    """Applies traffic shares and evaluates versions on every VM, without the key-value service.

    A move shifts a model's requests from one version to another in stages. Evidence is the number
    of answers and of answers with defects, by version; each VM pools its own counts with those
    received from peers. If the pooled evidence shows that the new version is bad, the move is
    condemned: the new version gets no further requests from this VM, immediately and permanently,
    and peers learn of it by gossip. Only the mover controller writes the records of moves.
    """

    reads = (ConfigurationTable,)
    writes = (
        MoveTable,
        EvidenceTable,
        LatencyTable,
        ModelLoadTable,
        TrackedRequestTable,
        RequestTable,
    )
    after = ("placement",)
    _boot_id = ""
    _reported_at_ms = 0

    @on(Started)
    def _on_started(self, event: Started, context: Context) -> None:
        self._boot_id = event.boot_id

    @on(MovesRead)
    def _on_read(self, event: MovesRead, context: Context) -> None:
        moves = self.board.write(MoveTable)
        moves.service_reached_at_ms = context.now_ms
        moves.unix_offset_ms = event.unix_ms - context.now_ms
        for stored in event.moves:
            self._accept(stored, context)
        self._report_all(context)

    @on(MoveWritten)
    def _on_written(self, event: MoveWritten, context: Context) -> None:
        if event.result is WriteResult.WRITTEN:
            self.board.write(MoveTable).service_reached_at_ms = context.now_ms
            self._accept(StoredMove(event.record, event.revision), context)
            self._report_all(context)

    @on(Placed)
    def _on_placed(self, event: Placed, context: Context) -> None:
        request = self.board.read(RequestTable).get(event.request_id)
        move = None if request is None else self.board.read(MoveTable).get(request.target)
        if request is None or move is None:
            return
        moves = self.board.read(MoveTable)
        version = moves.version_of(request.target, request.request_id)
        self.board.write(RequestTable).put(request.request_id, request.with_version(version))
        if move.record.ended:
            return
        loads = self.board.write(ModelLoadTable)
        load = (loads.get(request.target) or ModelLoad()).with_dispatch()
        loads.put(request.target, load)
        tracked = TrackedRequest(
            move.record.move_id,
            move.record.stage,
            request.route,
            version == move.record.to_version,
            context.now_ms,
            load.busy,
        )
        self.board.write(TrackedRequestTable).put(request.request_id, tracked)

    @on(AnswerProgressed)
    def _on_progressed(self, event: AnswerProgressed, context: Context) -> None:
        table = self.board.write(TrackedRequestTable)
        tracked = table.get(event.request_id)
        if tracked is not None and tracked.first_token_ms is None:
            took_ms = context.now_ms - tracked.dispatched_at_ms
            table.put(event.request_id, tracked.with_first_token(took_ms))

    @on(RequestAnswered)
    def _on_answered(self, event: RequestAnswered, context: Context) -> None:
        tracked = self.board.write(TrackedRequestTable).remove(event.request_id)
        if tracked is None:
            return
        took_ms = context.now_ms - tracked.dispatched_at_ms
        per_token_ms = took_ms / event.output_tokens if event.output_tokens else None
        self._count_answer(tracked, per_token_ms, context)

    @on(RequestFailed)
    def _on_failed(self, event: RequestFailed, context: Context) -> None:
        tracked = self.board.write(TrackedRequestTable).remove(event.request_id)
        if tracked is not None and event.run_state is not RunState.NOT_RUN:
            defects = [0] * len(Defect)
            defects[Defect.FAILED] = 1
            self._count(tracked, tuple(defects), context)

    @on(RequestEnded)
    def _on_ended(self, event: RequestEnded, context: Context) -> None:
        self._release(event.request)

    @on(RequestRequeued)
    def _on_requeued(self, event: RequestRequeued, context: Context) -> None:
        self._release(event.request)

    def _release(self, request: Request) -> None:
        self.board.write(TrackedRequestTable).remove(request.request_id)
        loads = self.board.write(ModelLoadTable)
        load = loads.get(request.target)
        if load is not None and request.version:
            loads.put(request.target, load.with_end())

    @on(EvidenceReceived)
    def _on_evidence(self, event: EvidenceReceived, context: Context) -> None:
        moves = self.board.write(MoveTable)
        records_by_id = {move.record.move_id: move.record for move in moves.rows()}
        for row in event.rows:
            record = records_by_id.get(row.move_id)
            if record is not None and -1 <= row.key.stage < len(record.stages):
                self.board.write(EvidenceTable).of(row.move_id).merge(row)
        for condemned_move in event.condemned:
            if condemned_move.move_id in records_by_id:
                verdict = Verdict(0.0, True, condemned_move.reason, condemned_move.detail)
                moves.condemned.setdefault(condemned_move.move_id, verdict)
        moves.completed.update(move_id for move_id in event.completed if move_id in records_by_id)
        self._judge_all(context)

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        self._judge_all(context)
        if context.now_ms - self._reported_at_ms >= REPORT_INTERVAL_MS:
            self._close_epochs(context.now_ms)
            self._report_all(context)

    def _accept(self, stored: StoredMove, context: Context) -> None:
        moves = self.board.write(MoveTable)
        record = stored.record
        known = moves.get(record.model)
        if known is not None and stored.revision <= known.revision:
            return
        seen_at_ms = context.now_ms
        if known is not None and known.record.move_id == record.move_id:
            seen_at_ms = known.seen_at_ms
        elif known is not None:
            self._forget(known.record.move_id)
        moves.put(record.model, Move(record, stored.revision, context.now_ms, seen_at_ms))
        if record.state is MoveState.COMPLETED:
            moves.completed.add(record.move_id)
        elif record.ended:
            verdict = Verdict(0.0, True, record.reason, record.detail)
            moves.condemned.setdefault(record.move_id, verdict)

    def _forget(self, move_id: str) -> None:
        moves, evidence = self.board.write(MoveTable), self.board.write(EvidenceTable)
        moves.condemned.pop(move_id, None)
        moves.completed.discard(move_id)
        evidence.remove(move_id)
        evidence.judges.pop(move_id, None)
        evidence.verdicts.pop(move_id, None)
        self.board.write(LatencyTable).remove(move_id)

    def _epoch(self, record: MoveRecord, now_ms: int) -> int:
        unix_ms = now_ms + self.board.read(MoveTable).unix_offset_ms
        return max(0, unix_ms - record.started_unix_ms) // EPOCH_MS

    def _count_answer(
        self, tracked: TrackedRequest, per_token_ms: float | None, context: Context
    ) -> None:
        if tracked.stage < 0:
            latencies = self.board.write(LatencyTable)
            sketches = latencies.get(tracked.move_id) or LatencySketches()
            sketches.add(tracked.route, tracked.first_token_ms, per_token_ms)
            latencies.put(tracked.move_id, sketches)
        record = self._record(tracked.move_id)
        if record is None:
            return
        defects = defects_of(record, tracked.route, tracked.first_token_ms, per_token_ms)
        self._count(tracked, defects, context)

    def _count(self, tracked: TrackedRequest, defects: tuple[int, ...], context: Context) -> None:
        record = self._record(tracked.move_id)
        if record is None:
            return
        source = EvidenceSource(self.settings.vm.name, self._boot_id)
        epoch = self._epoch(record, context.now_ms)
        key = EvidenceKey(epoch, tracked.stage, tracked.route, tracked.is_new)
        counts = Counts(1, int(tracked.busy), defects)
        self.board.write(EvidenceTable).of(tracked.move_id).add(source, key, counts)
        self._judge(record, context)

    def _record(self, move_id: str) -> MoveRecord | None:
        records = (move.record for move in self.board.read(MoveTable).rows())
        return next((record for record in records if record.move_id == move_id), None)

    def _judge_all(self, context: Context) -> None:
        for move in self.board.read(MoveTable).rows():
            self._judge(move.record, context)

    def _judge(self, record: MoveRecord, context: Context) -> None:
        """Evaluate the new version again if a defect was counted since the last evaluation."""
        moves, evidence = self.board.write(MoveTable), self.board.write(EvidenceTable)
        ledger = evidence.get(record.move_id)
        if ledger is None or record.ended or record.move_id in moves.condemned:
            return
        last = evidence.verdicts.get(record.move_id) or LatestVerdict()
        too_soon = context.now_ms - last.judged_at_ms < EVALUATION_INTERVAL_MS
        if ledger.defect_updates == last.defect_updates or too_soon:
            return
        verdict = self._judge_for(record).verdict(ledger)
        latest = LatestVerdict(verdict, ledger.defect_updates, context.now_ms)
        evidence.verdicts[record.move_id] = latest
        policy = self.board.read(ConfigurationTable).get_active().shared.policy.ramp
        if verdict.condemned and RAMP_POLICIES[policy].judges:
            moves.condemned[record.move_id] = verdict
            self._report_all(context)

    def _judge_for(self, record: MoveRecord) -> Judge:
        judges = self.board.write(EvidenceTable).judges
        if record.move_id not in judges:
            judges[record.move_id] = Judge(record)
        return judges[record.move_id]

    def _close_epochs(self, now_ms: int) -> None:
        evidence = self.board.write(EvidenceTable)
        for move in self.board.read(MoveTable).rows():
            ledger = evidence.get(move.record.move_id)
            before = self._epoch(move.record, now_ms) - OPEN_EPOCHS
            if ledger is not None and before > ledger.open_from:
                self._judge_for(move.record).close_before(before, ledger)
                ledger.close_before(before)

    def _report_all(self, context: Context) -> None:
        self._reported_at_ms = context.now_ms
        moves = self.board.write(MoveTable)
        for model, move in moves.items():
            status = moves.state_to_report(move, context.now_ms)
            share = moves.share(move.record)
            report = ReportMove(model, move.record.move_id, *status, move.record.detail, share)
            verdict = moves.condemned.get(move.record.move_id)
            if verdict is not None:
                report = replace(report, detail=verdict.detail)
            if moves.reported.get(model) != report:
                moves.reported[model] = report
                context.act(report)
