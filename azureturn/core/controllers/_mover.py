"""Drives moves: one VM at a time changes a move's record and orders engines to load versions.

A move shifts a model's requests from one version to another in stages. An engine is an upstream
that serves models. The VM that may change a move's record is the move's holder.

The record's revision serves as the lease: a VM that sees the revision unchanged for ``lease_ms`` by
its own clock takes the record over by compare-and-swap, under the next fencing number. A holder
counts its lease from before it sent its last write, so its lease ends before another VM's wait
does, whichever clock is used. The consistency of records relies on compare-and-swap alone; the
lease only prevents two VMs from sending orders at the same time.

A holder that is paused between checking its lease and sending the last byte of an order can still
deliver that order arbitrarily late. An engine that checks fencing numbers refuses it. An engine
that ignores them executes it, which the holder cannot prevent. Four rules limit the effect: a
new holder waits out the old lease and ``order_limit_ms`` before its first order; during a move,
orders only add versions; a version is unloaded only after the record is final; and the versions
loaded on the engines are read back every :data:`OBSERVE_INTERVAL_MS` and corrected. A late
``load`` therefore costs memory until it is found and unloaded. A late ``unload`` can hit a version
that a newer move has loaded again: from the time this is observed until the version is reloaded,
the engine is listed as missing and gets no request for that version.
"""

from dataclasses import replace

from azureturn.core._configuration import ConfigurationTable
from azureturn.core._controllers import controller
from azureturn.core._events import Started
from azureturn.core._upstreams import UpstreamTable
from azureturn.core.moves._evidence import MoveEvidence
from azureturn.core.moves._judging import Verdict
from azureturn.core.moves._messages import (
    MovesRead,
    MoveWritten,
    ObserveVersions,
    OrderEnded,
    OrderKind,
    SendOrder,
    VersionsObserved,
    WriteMove,
    WriteResult,
)
from azureturn.core.moves._planning import LoadingWork, stages_needed_ms
from azureturn.core.moves._policies import RAMP_POLICIES, Advance, RampInputs, TakeBack
from azureturn.core.moves._tables import (
    EvidenceTable,
    LatencyTable,
    LatestVerdict,
    Move,
    MoveLease,
    MoveLeaseTable,
    MoveTable,
    ObservedUpstream,
)
from azureturn.core.moves._types import MoveReason, MoveRecord, MoveState
from azureturn.framework import Context, Controller, Tick, on
from azureturn.settings import MoveSettings, Settings, UpstreamKind

#: Interval at which a VM evaluates each move.
DECIDE_INTERVAL_MS = 200
#: Interval at which the versions loaded on each engine are read.
OBSERVE_INTERVAL_MS = 2_000
#: After this long an unanswered write no longer blocks the next one.
WRITE_TIMEOUT_MS = 3_000
#: Probability that a VM attempts a takeover in one evaluation, so that not all VMs try at once.
TAKEOVER_PROBABILITY = 0.2
#: Maximum number of load or unload orders of one move in flight at once.
MAX_ORDERS_IN_FLIGHT = 2
#: Number of answers of the old version needed to set the latency thresholds.
THRESHOLD_SAMPLES = 20
#: Answers in progress are not counted yet, so this much of the elapsed time is left out of the
#: request rates.
RATE_LAG_MS = 20_000
_MS_PER_S = 1_000


@controller("mover")
class MoverController(Controller[Settings]):
    """Drives the moves whose lease this VM holds.

    It loads versions, increases the new version's share of the requests, and ends moves.
    """

    reads = (ConfigurationTable, UpstreamTable, EvidenceTable, LatencyTable)
    writes = (MoveTable, MoveLeaseTable)
    after = ("moves",)
    _boot_id = ""
    _decided_at_ms: int | None = None

    @on(Started)
    def _on_started(self, event: Started, context: Context) -> None:
        self._boot_id = event.boot_id

    @on(MovesRead)
    def _on_read(self, event: MovesRead, context: Context) -> None:
        for stored in event.moves:
            lease = self._lease(stored.record.model)
            if lease.pending == stored.record:
                self._apply_write(stored.record, lease, context.now_ms)

    @on(MoveWritten)
    def _on_written(self, event: MoveWritten, context: Context) -> None:
        lease = self._lease(event.record.model)
        if lease.pending != event.record:
            return
        if event.result is WriteResult.WRITTEN:
            self._apply_write(event.record, lease, context.now_ms)
        elif event.result is WriteResult.CONFLICT:
            self._put_lease(event.record.model, replace(lease, pending=None))

    @on(OrderEnded)
    def _on_order_ended(self, event: OrderEnded, context: Context) -> None:
        table = self.board.write(MoveLeaseTable)
        observed = table.observed.get(event.upstream, ObservedUpstream())
        table.observed[event.upstream] = replace(observed, ordered_at_ms=0, queried_at_ms=0)
        if event.done and event.kind is OrderKind.LOAD:
            table.longest_load_ms = max(table.longest_load_ms, event.took_ms)

    @on(VersionsObserved)
    def _on_observed(self, event: VersionsObserved, context: Context) -> None:
        table = self.board.write(MoveLeaseTable)
        observed = table.observed.get(event.upstream, ObservedUpstream())
        table.observed[event.upstream] = replace(
            observed, versions=event.versions, observed_at_ms=context.now_ms
        )

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        last_ms = self._decided_at_ms
        if last_ms is not None and context.now_ms - last_ms < DECIDE_INTERVAL_MS:
            return
        self._decided_at_ms = context.now_ms
        moves = self.board.read(MoveTable)
        if not moves.is_fresh(context.now_ms):
            return
        for move in moves.rows():
            if not move.record.settled:
                self._decide(move, context)

    def _decide(self, move: Move, context: Context) -> None:
        record = move.record
        lease = self._lease(record.model)
        writing = lease.pending is not None
        if writing and context.now_ms - lease.writing_since_ms < WRITE_TIMEOUT_MS:
            return
        verdict = self.board.read(MoveTable).condemned.get(record.move_id)
        if verdict is not None and not record.ended:
            self._write_record(move, self._rolled_back_record(record, verdict, context), context)
        elif self._is_holder(record) and context.now_ms < lease.lease_ends_ms:
            self._advance(move, lease, context)
        elif self._may_take_over(move, context):
            vm = self.settings.vm.name
            self._write_record(move, record.with_holder(vm, self._boot_id), context)

    def _may_take_over(self, move: Move, context: Context) -> bool:
        silent_ms = context.now_ms - move.revision_seen_at_ms
        lapsed = not move.record.holder_vm or silent_ms >= self._move_settings().lease_ms
        return lapsed and context.random.random() < TAKEOVER_PROBABILITY

    def _advance(self, move: Move, lease: MoveLease, context: Context) -> None:
        """Take the next step of a move whose lease this VM holds, with one write at a time."""
        record = move.record
        engines = self._engines(record.model)
        self._observe_versions(engines, context)
        if context.now_ms >= lease.earliest_order_ms:
            self._send_orders(record, engines, context)
        next_record = self._next_record(move, engines, context)
        if next_record is not None:
            self._write_record(move, next_record, context)
        elif lease.lease_ends_ms - context.now_ms < self._move_settings().lease_ms * 2 // 3:
            self._write_record(move, record.with_renewal(), context)

    def _next_record(
        self, move: Move, engines: tuple[str, ...], context: Context
    ) -> MoveRecord | None:
        """Return the changed record, or None if it needs no change."""
        record = move.record
        unix_ms = self._unix_ms(context)
        if record.ended:
            return record.with_settled() if self._is_settled(record, engines, context) else None
        if record.state is MoveState.BAKING:
            if unix_ms >= record.moved_unix_ms + record.baking_ms:
                return record.with_end(MoveState.COMPLETED, unix_ms=unix_ms)
        else:
            advanced = self._next_ramp_record(move, engines, context)
            if advanced is not None:
                return advanced
        missing = self._engines_without_version(record, engines)
        return record.with_missing(missing) if missing != record.missing else None

    def _next_ramp_record(
        self, move: Move, engines: tuple[str, ...], context: Context
    ) -> MoveRecord | None:
        record, unix_ms = move.record, self._unix_ms(context)
        view = self._view(record, unix_ms, known_for_ms=context.now_ms - move.seen_at_ms)
        policy = RAMP_POLICIES[self._ramp_policy()]
        if record.state is MoveState.LOADING:
            return self._first_stage_record(view, engines, judges=policy.judges)
        decision = policy.decide(view)
        if isinstance(decision, TakeBack):
            return _rolled_back_record(record, decision, unix_ms)
        if isinstance(decision, Advance):
            return record.with_stage(record.stage + 1, unix_ms=unix_ms)
        return None

    def _first_stage_record(
        self, view: RampInputs, engines: tuple[str, ...], *, judges: bool
    ) -> MoveRecord | None:
        """Return the record at its first stage once every reachable engine has the version."""
        record, unix_ms = view.record, view.unix_ms
        rollback = self._rollback_if_too_late(view, engines)
        if rollback is not None and judges:
            return _rolled_back_record(record, rollback, unix_ms)
        missing = self._engines_without_version(record, engines)
        unreachable = [engine for engine in missing if self._observed(engine).versions is None]
        any_known = any(self._observed(engine).versions is not None for engine in engines)
        if not any_known or len(missing) > len(unreachable):
            return None
        sketches = self.board.read(LatencyTable).get(record.move_id)
        samples = 0 if sketches is None else sketches.samples
        quarter_ms = (record.deadline_unix_ms - record.started_unix_ms) // 4
        waited = unix_ms - record.started_unix_ms >= quarter_ms
        if samples < THRESHOLD_SAMPLES and not waited and judges:
            return None
        if sketches is not None:
            record = record.with_thresholds(sketches.thresholds())
        return record.with_missing(missing).with_stage(0, unix_ms=unix_ms)

    def _rollback_if_too_late(self, view: RampInputs, engines: tuple[str, ...]) -> TakeBack | None:
        record = view.record
        left_ms = record.deadline_unix_ms - view.unix_ms
        if left_ms <= 0:
            return TakeBack(
                MoveReason.DEADLINE_PASSED, "the version was not loaded before the deadline"
            )
        if not view.rates_are_known:
            return None
        replicas = len(self._engines_without_version(record, engines))
        loading_ms = self._loading_ms(replicas)
        needed_ms = loading_ms + stages_needed_ms(record, view.rates_per_s)
        if needed_ms <= left_ms:
            return None
        detail = (
            f"{replicas} loads and the stages need {needed_ms // _MS_PER_S} s, "
            f"but {left_ms // _MS_PER_S} s are left"
        )
        return TakeBack(MoveReason.DEADLINE_UNREACHABLE, detail)

    def _loading_ms(self, replicas: int) -> int:
        took_ms = self.board.read(MoveLeaseTable).longest_load_ms
        if took_ms:
            return took_ms * -(-replicas // MAX_ORDERS_IN_FLIGHT)
        return LoadingWork.from_settings(self._move_settings(), replicas=replicas).needed_ms()

    def _send_orders(self, record: MoveRecord, engines: tuple[str, ...], context: Context) -> None:
        """Send the orders that are due: loads during the move, unloads after its end."""
        kind, version = OrderKind.LOAD, record.to_version
        if record.ended:
            kind, version = OrderKind.UNLOAD, _retired_version(record)
            unload_from_ms = record.ended_unix_ms + self._move_settings().unload_after_ms
            if self._unix_ms(context) < unload_from_ms:
                return
        table = self.board.write(MoveLeaseTable)
        in_flight = sum(1 for engine in engines if self._observed(engine).ordered_at_ms)
        for name in engines:
            observed = self._observed(name)
            if observed.versions is None or observed.ordered_at_ms:
                continue
            done = (version in observed.versions) is (kind is OrderKind.LOAD)
            if done or in_flight >= MAX_ORDERS_IN_FLIGHT:
                continue
            in_flight += 1
            table.observed[name] = replace(observed, ordered_at_ms=max(1, context.now_ms))
            context.act(SendOrder(name, kind, version, record.fence))

    def _observe_versions(self, engines: tuple[str, ...], context: Context) -> None:
        table = self.board.write(MoveLeaseTable)
        for name in engines:
            observed = self._observed(name)
            if observed.ordered_at_ms:
                stuck_ms = context.now_ms - observed.ordered_at_ms
                if stuck_ms > 2 * self._move_settings().order_limit_ms:
                    table.observed[name] = replace(observed, ordered_at_ms=0)
                continue
            due_ms = observed.queried_at_ms + OBSERVE_INTERVAL_MS
            if observed.queried_at_ms == 0 or context.now_ms >= due_ms:
                table.observed[name] = replace(observed, queried_at_ms=max(1, context.now_ms))
                context.act(ObserveVersions(name))

    def _is_settled(self, record: MoveRecord, engines: tuple[str, ...], context: Context) -> bool:
        retired_version = _retired_version(record)
        unload_from_ms = record.ended_unix_ms + self._move_settings().unload_after_ms
        observations = [self._observed(engine) for engine in engines]
        recent = all(
            observed.observed_at_ms > 0 and not observed.ordered_at_ms for observed in observations
        )
        unloaded = all(
            observed.versions is None or retired_version not in observed.versions
            for observed in observations
        )
        return recent and unloaded and self._unix_ms(context) >= unload_from_ms

    def _write_record(self, move: Move, record: MoveRecord, context: Context) -> None:
        model = record.model
        lease = self._lease(model)
        self._put_lease(model, replace(lease, pending=record, writing_since_ms=context.now_ms))
        context.act(WriteMove(record, move.revision))

    def _apply_write(self, record: MoveRecord, lease: MoveLease, now_ms: int) -> None:
        """Apply a write that took effect; the lease counts from the time the write was sent."""
        updated_lease = replace(lease, pending=None)
        if self._is_holder(record):
            lease_ends_ms = lease.writing_since_ms + self._move_settings().lease_ms
            updated_lease = replace(updated_lease, lease_ends_ms=lease_ends_ms)
            if record.fence > lease.fence:
                wait_ms = self._move_settings().order_limit_ms if record.fence > 1 else 0
                updated_lease = replace(
                    updated_lease, fence=record.fence, earliest_order_ms=now_ms + wait_ms
                )
        self._put_lease(record.model, updated_lease)

    def _rolled_back_record(
        self, record: MoveRecord, verdict: Verdict, context: Context
    ) -> MoveRecord:
        decision = TakeBack(verdict.reason, verdict.detail)
        return _rolled_back_record(record, decision, self._unix_ms(context))

    def _view(self, record: MoveRecord, unix_ms: int, *, known_for_ms: int) -> RampInputs:
        evidence = self.board.read(EvidenceTable)
        ledger = evidence.get(record.move_id) or MoveEvidence(record.move_id)
        latest = evidence.verdicts.get(record.move_id) or LatestVerdict()
        rates = _rates_per_s(ledger, record, known_for_ms)
        return RampInputs(record, ledger, latest.verdict, unix_ms, rates, known_for_ms)

    def _engines_without_version(
        self, record: MoveRecord, engines: tuple[str, ...]
    ) -> tuple[str, ...]:
        return tuple(
            engine
            for engine in engines
            if record.to_version not in (self._observed(engine).versions or frozenset())
        )

    def _engines(self, model: str) -> tuple[str, ...]:
        return tuple(
            upstream.settings.name
            for upstream in self.board.read(UpstreamTable).rows()
            if model in upstream.settings.targets
            and upstream.settings.kind is UpstreamKind.MODEL_ENGINE
            and not upstream.leaving
            and not upstream.settings.draining
        )

    def _observed(self, name: str) -> ObservedUpstream:
        return self.board.read(MoveLeaseTable).observed.get(name) or ObservedUpstream()

    def _lease(self, model: str) -> MoveLease:
        return self.board.read(MoveLeaseTable).get(model) or MoveLease()

    def _put_lease(self, model: str, lease: MoveLease) -> None:
        self.board.write(MoveLeaseTable).put(model, lease)

    def _is_holder(self, record: MoveRecord) -> bool:
        holder = (record.holder_vm, record.holder_boot_id)
        return holder == (self.settings.vm.name, self._boot_id)

    def _unix_ms(self, context: Context) -> int:
        return context.now_ms + self.board.read(MoveTable).unix_offset_ms

    def _move_settings(self) -> MoveSettings:
        return self.board.read(ConfigurationTable).get_active().shared.policy.moves

    def _ramp_policy(self) -> str:
        return self.board.read(ConfigurationTable).get_active().shared.policy.ramp


def _retired_version(record: MoveRecord) -> str:
    completed = record.state is MoveState.COMPLETED
    return record.from_version if completed else record.to_version


def _rolled_back_record(record: MoveRecord, decision: TakeBack, unix_ms: int) -> MoveRecord:
    return record.with_end(MoveState.TAKEN_BACK, decision.reason, decision.detail, unix_ms=unix_ms)


def _rates_per_s(ledger: MoveEvidence, record: MoveRecord, known_for_ms: int) -> dict[str, float]:
    counted_ms = known_for_ms - min(RATE_LAG_MS, known_for_ms // 2)
    elapsed_s = max(1.0, counted_ms / _MS_PER_S)
    stages = range(-1, len(record.stages))
    rates: dict[str, float] = {}
    for route in ledger.routes():
        old = ledger.total(is_new=False, stages=stages, route=route)
        new = ledger.total(is_new=True, stages=stages, route=route)
        rates[route] = (old.requests + new.requests) / elapsed_s
    return rates
