"""Carries out version moves: stores their records, sends orders to engines, logs progress.

A move gradually replaces one version of a model by another on the model's engines.
"""

import queue
import threading

from azureturn._time_of_day import unix_now_ms
from azureturn.core import ConfigurationTable
from azureturn.core.moves import (
    MOVES_PREFIX,
    MoveRecordError,
    MovesRead,
    MoveTable,
    MoveWritten,
    ObserveVersions,
    OrderEnded,
    ReportMove,
    SendOrder,
    StoredMove,
    VersionsObserved,
    WriteMove,
    WriteResult,
    decode_record,
    encode_record,
    move_key,
)
from azureturn.daemon._context import DaemonContext
from azureturn.errors import CompareFailedError, KeyValueUnavailableError, PlatformError
from azureturn.observability import LogEvent
from azureturn.serving import now_ms
from azureturn.settings import UpstreamKind
from azureturn.store import KeyValueEntry
from azureturn.upstreams import EngineOrder, OrderClient

#: Intervals between reads of the records, with and without a move in progress.
ACTIVE_READ_INTERVAL_MS = 1_000
IDLE_READ_INTERVAL_MS = 2_000
#: Threads that call engines; loading a version occupies one until the load has ended.
ENGINE_THREADS = 6
#: Calls to engines that may wait for a thread.
QUEUE_LIMIT = 1_000
_MS_PER_S = 1_000

_EngineAction = SendOrder | ObserveVersions


class MoveAdapter:
    """Reads and writes move records, and sends orders to engines, on its own threads.

    Records are polled because a watch can stall unnoticed, and because a watch counts as a call
    in progress for as long as it waits.
    """

    def __init__(self, context: DaemonContext) -> None:
        self._context = context
        self._stopped = threading.Event()
        self._writes: queue.SimpleQueue[WriteMove] = queue.SimpleQueue()
        self._engine_calls: queue.Queue[_EngineAction] = queue.Queue(QUEUE_LIMIT)
        context.runtime.register_handler(WriteMove, self._writes.put)
        context.runtime.register_handler(SendOrder, self._call_engine)
        context.runtime.register_handler(ObserveVersions, self._call_engine)
        context.runtime.register_handler(ReportMove, self._log_progress)

    def start(self) -> None:
        """Start the threads for reads, writes and engine calls."""
        self._start_thread(self._read_loop, "moves-read")
        self._start_thread(self._write_loop, "moves-write")
        for number in range(ENGINE_THREADS):
            self._start_thread(self._engine_loop, f"moves-engines-{number}")

    def stop(self) -> None:
        """Stop reading and writing records, so that another VM takes over this VM's moves."""
        self._stopped.set()

    @staticmethod
    def _start_thread(target: object, name: str) -> None:
        threading.Thread(target=target, name=name, daemon=True).start()  # type: ignore[arg-type]

    def _read_loop(self) -> None:
        while True:
            self._read()
            active = self._context.runtime.inspect(
                lambda core: any(
                    not move.record.settled for move in core.board.table(MoveTable).rows()
                )
            )
            interval_ms = ACTIVE_READ_INTERVAL_MS if active else IDLE_READ_INTERVAL_MS
            if self._stopped.wait(interval_ms / _MS_PER_S):
                return

    def _read(self) -> None:
        try:
            entries = self._context.key_value.read_prefix(MOVES_PREFIX)
        except PlatformError:
            # The core detects that its records are outdated, and the configuration watch logs
            # the outage.
            return
        stored_moves = [
            stored_move
            for stored_move in map(self._stored_move, entries)
            if stored_move is not None
        ]
        self._context.runtime.submit(MovesRead(tuple(stored_moves), unix_now_ms()))

    def _stored_move(self, entry: KeyValueEntry) -> StoredMove | None:
        try:
            return StoredMove(decode_record(entry.value), entry.revision)
        except MoveRecordError as error:
            self._context.log.error(LogEvent.MOVE_RECORD_REFUSED, error=error.message)
            return None

    def _write_loop(self) -> None:
        while True:
            action = self._writes.get()
            if not self._stopped.is_set():
                self._context.runtime.submit(self._write(action))

    def _write(self, action: WriteMove) -> MoveWritten:
        record = action.record
        try:
            revision = self._context.key_value.compare_and_swap(
                move_key(record.model),
                encode_record(record),
                expected_revision=action.expected_revision,
            )
        except CompareFailedError:
            return MoveWritten(record, WriteResult.CONFLICT)
        except KeyValueUnavailableError:
            return MoveWritten(record, WriteResult.UNKNOWN)
        return MoveWritten(record, WriteResult.WRITTEN, revision)

    def _call_engine(self, action: _EngineAction) -> None:
        try:
            self._engine_calls.put_nowait(action)
        except queue.Full:
            # The core repeats the call: an observation at the next interval, an order as soon as
            # it is overdue.
            return

    def _engine_loop(self) -> None:
        while True:
            action = self._engine_calls.get()
            client = self._client(action.upstream)
            if client is None or self._stopped.is_set():
                continue
            if isinstance(action, ObserveVersions):
                event = VersionsObserved(action.upstream, client.versions())
                self._context.runtime.submit(event)
            else:
                self._send_order(client, action)

    def _send_order(self, client: OrderClient, action: SendOrder) -> None:
        started_at_ms = now_ms()
        timeout_ms = self._context.runtime.inspect(
            lambda core: core.board.table(ConfigurationTable)
            .get_active()
            .shared.policy.moves.order_limit_ms
        )
        order = EngineOrder(action.kind.value, action.version, action.fence)
        succeeded = client.send(order, timeout_ms=timeout_ms)
        event = OrderEnded(action.upstream, action.kind, succeeded, now_ms() - started_at_ms)
        self._context.runtime.submit(event)

    def _client(self, name: str) -> OrderClient | None:
        configuration = self._context.runtime.inspect(
            lambda core: core.board.table(ConfigurationTable).get_active()
        )
        for upstream in configuration.shared.upstreams:
            if upstream.name == name and upstream.kind is UpstreamKind.MODEL_ENGINE:
                return OrderClient(upstream.url)
        return None

    def _log_progress(self, action: ReportMove) -> None:
        self._context.log.info(
            LogEvent.MOVE_SHOWN,
            model=action.model,
            move=action.move_id,
            state=action.state.value,
            reason=action.reason.value,
            detail=action.detail,
            share=action.share,
        )
