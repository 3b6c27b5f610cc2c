"""Reads and writes claim segments, and decides claims from the stored content."""

from azureturn.core._actions import ClaimAbandoned, ReadSegment, SwapSegment
from azureturn.core._claim_progress import (
    ClaimIntent,
    Operation,
    SegmentProgress,
    SegmentProgressTable,
)
from azureturn.core._claim_segments import BODIES_LIMIT_BYTES, ClaimSegment
from azureturn.core._claim_service import PROBE_INTERVAL_MS, ClaimServiceTable
from azureturn.core._claims import Claim, ClaimResult, ClaimState
from azureturn.core._configuration import ConfigurationTable
from azureturn.core._controllers import controller
from azureturn.core._events import (
    CallSettled,
    ClaimDecided,
    ClaimRequested,
    SegmentCallLost,
    SegmentChanged,
    SegmentRead,
    SegmentSwapped,
)
from azureturn.core._held_calls import HeldCallTable, HeldState
from azureturn.framework import Context, Controller, Tick, on
from azureturn.settings import Settings

_PROBED_SEGMENT = 0


@controller("claim_segments")
class ClaimSegmentsController(Controller[Settings]):
    """Keeps at most one call to the key-value service in flight for each segment.

    Claims that arrive while a call is in flight are batched into the next write.
    """

    reads = (ConfigurationTable,)
    writes = (SegmentProgressTable, HeldCallTable, ClaimServiceTable)
    after = ("claims",)

    @on(ClaimRequested)
    def _on_claim_requested(self, event: ClaimRequested, context: Context) -> None:
        self._advance_all(context)

    @on(CallSettled)
    def _on_settled(self, event: CallSettled, context: Context) -> None:
        self._advance_all(context)

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        self._advance_all(context)
        service = self.board.read(ClaimServiceTable).only()
        due = context.now_ms - service.probed_at_ms >= PROBE_INTERVAL_MS
        if due and service.is_down(context.now_ms) and service.in_flight == 0:
            progress = self.board.write(SegmentProgressTable).of(_PROBED_SEGMENT)
            self._read(_PROBED_SEGMENT, progress, context)

    @on(SegmentRead)
    def _on_read(self, event: SegmentRead, context: Context) -> None:
        progress = self._complete_operation(event.segment, event.operation_id)
        if progress is None:
            return
        progress.record_content(event.content, event.revision, now_ms=context.now_ms)
        self._decide(progress, context)
        self._advance_all(context)

    @on(SegmentSwapped)
    def _on_swapped(self, event: SegmentSwapped, context: Context) -> None:
        progress = self._complete_operation(event.segment, event.operation_id)
        if progress is None:
            return
        assert progress.operation is not None
        content = progress.operation.content
        progress.record_content(content, event.revision, now_ms=context.now_ms)
        self._decide(progress, context)
        self._advance_all(context)

    @on(SegmentChanged)
    def _on_changed(self, event: SegmentChanged, context: Context) -> None:
        # An earlier write of the same claims may have taken effect, so the segment is read first.
        progress = self._complete_operation(event.segment, event.operation_id)
        if progress is not None:
            progress.record_conflict()
            self._advance_all(context)

    @on(SegmentCallLost)
    def _on_call_lost(self, event: SegmentCallLost, context: Context) -> None:
        progress = self.board.write(SegmentProgressTable).of(event.segment)
        if progress.operation is None or progress.operation.operation_id != event.operation_id:
            return
        begun_at_ms = progress.operation.begun_at_ms
        self.board.write(ClaimServiceTable).only().record_lost_call(begun_at_ms=begun_at_ms)
        progress.record_lost_call(now_ms=context.now_ms)

    def _complete_operation(self, segment: int, operation_id: int) -> SegmentProgress | None:
        progress = self.board.write(SegmentProgressTable).of(segment)
        if progress.operation is None or progress.operation.operation_id != operation_id:
            return None
        self.board.write(ClaimServiceTable).only().record_answer()
        return progress

    def _decide(self, progress: SegmentProgress, context: Context) -> None:
        for intent in list(progress.intents.values()):
            present = progress.content.claims.get(intent.digest)
            result = self._result_of(intent, present, progress.content.floor_ms)
            if result is None:
                continue
            progress.pop_intent(intent.claim.nonce)
            if result is not ClaimResult.OURS:
                progress.compared_revisions.pop(intent.claim.nonce, None)
            self._resolve_intent(intent, result, context)
            claim = present if result is ClaimResult.FOREIGN else None
            context.post(ClaimDecided(intent.request_id, result, claim))
        calls = self.board.write(HeldCallTable)
        for nonce in progress.drop_redundant_write_backs():
            held_call = calls.get(nonce)
            if held_call is not None:
                calls.put(nonce, held_call.with_written_back(now_ms=context.now_ms))

    def _result_of(
        self, intent: ClaimIntent, present: Claim | None, floor_ms: int
    ) -> ClaimResult | None:
        """Return the result of a requested claim, or None while the claim has to be written.

        ``present`` is the claim that the segment holds for the same call, if any.
        """
        if present is None:
            return ClaimResult.EXPIRED if intent.claim.issued_at_ms <= floor_ms else None
        if present.nonce == intent.claim.nonce:
            return ClaimResult.OURS
        if self._is_released(intent, present):
            return None
        if present.body_digest != intent.claim.body_digest:
            return ClaimResult.REUSED
        return ClaimResult.FOREIGN

    def _is_released(self, intent: ClaimIntent, present: Claim) -> bool:
        """Return whether the claim's holder has declared that it will never run the call."""
        if present.outcome.state is ClaimState.RELEASED:
            return True
        if present.nonce == intent.released_nonce:
            return True
        return self.board.read(HeldCallTable).abandoned(present.nonce)

    def _resolve_intent(self, intent: ClaimIntent, result: ClaimResult, context: Context) -> None:
        calls = self.board.write(HeldCallTable)
        held_call = calls.get(intent.claim.nonce)
        assert held_call is not None and held_call.state is HeldState.SEEKING
        if result is ClaimResult.OURS:
            calls.put(held_call.nonce, held_call.with_state(HeldState.SENT))
            return
        abandoned_call = held_call.with_state(HeldState.ABANDONED).with_written_back(
            now_ms=context.now_ms
        )
        calls.put(held_call.nonce, abandoned_call)
        context.act(ClaimAbandoned(held_call.nonce))

    def _advance_all(self, context: Context) -> None:
        segments = self.board.write(SegmentProgressTable)
        due_segments = [
            (progress.written_at_ms, number, progress)
            for number, progress in segments.items()
            if progress.operation is None
            and progress.retry_at_ms <= context.now_ms
            and progress.has_work(context.now_ms)
        ]
        due_segments.sort(key=lambda entry: entry[:2])
        for _, number, progress in due_segments:
            self._advance(number, progress, context)

    def _advance(self, number: int, progress: SegmentProgress, context: Context) -> None:
        service = self.board.write(ClaimServiceTable).only()
        if not service.may_call(context.now_ms):
            return
        # The write is reserved before the read: content read first would be stale by the time that
        # the rate limit allowed the write.
        if not progress.has_reserved_write:
            progress.has_reserved_write = service.acquire_write(
                context.now_ms, low_priority=not progress.intents
            )
        if not progress.has_reserved_write:
            return
        if not progress.is_fresh(context.now_ms):
            self._read(number, progress, context)
            return
        self._decide(progress, context)
        if progress.has_work(context.now_ms):
            self._swap(number, progress, context)
        else:
            progress.has_reserved_write = False
            service.release_write()

    def _read(self, number: int, progress: SegmentProgress, context: Context) -> None:
        service = self.board.write(ClaimServiceTable).only()
        service.probed_at_ms = context.now_ms
        operation_id = service.begin_operation()
        progress.operation = Operation(operation_id, context.now_ms)
        context.act(ReadSegment(number, operation_id))

    def _swap(self, number: int, progress: SegmentProgress, context: Context) -> None:
        content = self._next_content(progress)
        if not content.within_limit():
            self._reject_intents(progress, context)
            content = self._next_content(progress)
        operation_id = self.board.write(ClaimServiceTable).only().begin_operation()
        progress.operation = Operation(operation_id, context.now_ms, content)
        progress.written_at_ms = context.now_ms
        progress.has_reserved_write = False
        for nonce in progress.intents:
            progress.compared_revisions[nonce] = progress.revision
        context.act(SwapSegment(number, operation_id, progress.revision, content))

    def _next_content(self, progress: SegmentProgress) -> ClaimSegment:
        configuration = self.board.read(ConfigurationTable).get_active()
        retention_ms = configuration.shared.policy.claim_retention_ms
        content = progress.content
        arrivals = [intent.claim.claimed_at_ms for intent in progress.intents.values()]
        if arrivals:
            content = content.without_expired(max(arrivals) - retention_ms)
        content = content.with_claims(progress.changed_claims())
        if content.size_bytes > BODIES_LIMIT_BYTES:
            content = content.without_bodies()
        return content

    def _reject_intents(self, progress: SegmentProgress, context: Context) -> None:
        for intent in list(progress.intents.values()):
            progress.pop_intent(intent.claim.nonce)
            context.post(ClaimDecided(intent.request_id, ClaimResult.FULL))
