"""Writes to the store: this VM's address, statuses of version moves, and shared records."""

from functools import partial

from azureturn.errors import CompareFailedError, PlatformError
from azureturn.gateway.daemon._store_watcher import ViewHolder
from azureturn.gateway.daemon._threads import run_forever
from azureturn.gateway.decisions import (
    WriteAllotmentRecord,
    WriteMoveStatus,
    WriteQuarantineRecord,
)
from azureturn.gateway.settings import GatewayVm
from azureturn.gateway.site import DocumentCodec, RegisteredVm
from azureturn.observability import EventLog, LogEvent
from azureturn.store import ConditionalStore
from azureturn.tasks import Mailbox, MailboxFullError, TaskLoop, sleep

_QUEUE_LIMIT = 64
_REGISTRATION_RETRY_S = 2.0

_Write = WriteMoveStatus | WriteAllotmentRecord | WriteQuarantineRecord


class StoreWriter:
    """A task that makes conditional writes; a write without a response is never sent again.

    The view, which is updated from the store, shows whether such a write took effect. If it did
    not, the controllers request the write again, with the revision in the view.
    """

    def __init__(
        self,
        store: ConditionalStore,
        view_holder: ViewHolder,
        documents: DocumentCodec,
        log: EventLog,
        loop: TaskLoop,
    ) -> None:
        self._store = store
        self._view_holder = view_holder
        self._documents = documents
        self._log = log
        self._loop = loop
        self._queue: Mailbox[_Write] = Mailbox(limit=_QUEUE_LIMIT)

    def start(self, vm: GatewayVm) -> None:
        """Start writing, and register this VM's address."""
        run_forever(self._write_forever, "store-writer", self._log, loop=self._loop)
        run_forever(partial(self._register, vm), "register", self._log, loop=self._loop)

    def enqueue(self, action: _Write) -> None:
        """Queue the write of a document without blocking."""
        try:
            self._queue.put(action)
        except MailboxFullError:
            # The controllers request the write again.
            self._log.error(LogEvent.KEY_VALUE_UNAVAILABLE, error="write queue is full")

    def _write_forever(self) -> None:
        while True:
            action = self._queue.get()
            if isinstance(action, WriteMoveStatus):
                self._write_move_status(action)
            elif isinstance(action, WriteAllotmentRecord):
                self._write_allotment_record(action)
            else:
                self._write_quarantine_record(action)

    def _write_move_status(self, action: WriteMoveStatus) -> None:
        key, value = self._documents.encode_status(action.status)
        outcome = self._write(key, value, action.expected_revision)
        self._log.info(
            LogEvent.MOVE_STATUS_WRITTEN,
            service=action.status.service,
            version=action.status.version,
            state=action.status.state.value,
            reason=action.reason,
            revision=action.expected_revision,
            outcome=outcome,
        )

    def _write_allotment_record(self, action: WriteAllotmentRecord) -> None:
        key, value = self._documents.encode_allotment_record(action.record)
        outcome = self._write(key, value, action.expected_revision)
        self._log.info(
            LogEvent.ALLOTMENT_RECORD_WRITTEN,
            processes=len(action.record.processes),
            revision=action.expected_revision,
            outcome=outcome,
        )

    def _write_quarantine_record(self, action: WriteQuarantineRecord) -> None:
        key, value = self._documents.encode_quarantine_record(action.record)
        outcome = self._write(key, value, action.expected_revision)
        self._log.info(
            LogEvent.QUARANTINE_RECORD_WRITTEN,
            quarantines=len(action.record.quarantined),
            revision=action.expected_revision,
            outcome=outcome,
        )

    def _write(self, key: str, value: bytes, expected_revision: int) -> str:
        try:
            self._store.compare_and_swap(key, value, expected_revision=expected_revision)
        except CompareFailedError:
            return "another VM wrote first"
        except PlatformError as error:
            return f"outcome unknown: {error.message}"
        return "written"

    def _register(self, vm: GatewayVm) -> None:
        """Keep this VM registered; a store that comes back from a copy may have lost the entry."""
        key, value = self._documents.encode_vm(RegisteredVm(vm.name, vm.host, vm.peer_port))
        while True:
            document = self._view_holder.view.stored_documents.get(key)
            is_registered = document is not None and document.value == value
            if self._view_holder.view.revision and not is_registered:
                self._write(key, value, document.revision if document else 0)
            sleep(_REGISTRATION_RETRY_S)
