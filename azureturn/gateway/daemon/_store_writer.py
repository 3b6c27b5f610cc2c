"""Writes what must last: where this VM is, what is said of moves, and what was used."""

import queue
import threading
import time

from azureturn.errors import CompareFailedError, PlatformError
from azureturn.gateway.daemon._store_follower import ViewKeeper
from azureturn.gateway.daemon._threads import run_forever
from azureturn.gateway.decisions import WriteAllotmentRecord, WriteStatus
from azureturn.gateway.settings import GatewayVm
from azureturn.gateway.site import RegisteredVm, SiteDocuments
from azureturn.observability import EventLog, LogEvent
from azureturn.store import ConditionalStore

_QUEUE_LIMIT = 64
_REGISTER_AGAIN_S = 2.0
_MS_PER_S = 1_000


class StoreWriter:
    """A thread that writes under conditions; a write without an answer is never sent again.

    Whether it took effect is seen in the view, which follows the store; if it did not, the
    decisions ask anew with the revision that is then there.
    """

    def __init__(
        self, store: ConditionalStore, keeper: ViewKeeper, documents: SiteDocuments, log: EventLog
    ) -> None:
        self._store = store
        self._keeper = keeper
        self._documents = documents
        self._log = log
        self._waiting: queue.Queue[WriteStatus | WriteAllotmentRecord] = queue.Queue(_QUEUE_LIMIT)

    def start(self, vm: GatewayVm) -> None:
        """Begin to write, the place of this VM first."""
        run_forever(self._write_forever, "store-writer", self._log)
        threading.Thread(target=self._register, args=(vm,), name="register", daemon=True).start()

    def take(self, action: WriteStatus | WriteAllotmentRecord) -> None:
        """Write a document soon; it does not wait."""
        try:
            self._waiting.put_nowait(action)
        except queue.Full:
            # The decisions ask again.
            self._log.error(LogEvent.KEY_VALUE_UNAVAILABLE, error="too many writes wait")

    def _write_forever(self) -> None:
        while True:
            action = self._waiting.get()
            if isinstance(action, WriteStatus):
                self._write_status(action)
            else:
                self._write_record(action)

    def _write_status(self, action: WriteStatus) -> None:
        key, value = self._documents.encode_status(action.status)
        outcome = self._write(key, value, action.expected_revision)
        self._log.info(
            LogEvent.MOVE_STATUS_WRITTEN,
            service=action.status.service,
            version=action.status.version,
            state=action.status.state.value,
            revision=action.expected_revision,
            outcome=outcome,
        )

    def _write_record(self, action: WriteAllotmentRecord) -> None:
        key, value = self._documents.encode_allotment_record(action.record)
        outcome = self._write(key, value, action.expected_revision)
        self._log.info(
            LogEvent.ALLOTMENT_RECORD_WRITTEN,
            processes=len(action.record.processes),
            revision=action.expected_revision,
            outcome=outcome,
        )

    def _write(self, key: str, value: bytes, expected_revision: int) -> str:
        try:
            self._store.compare_and_swap(key, value, expected_revision=expected_revision)
        except CompareFailedError:
            return "another was first"
        except PlatformError as error:
            return f"not known: {error.message}"
        return "written"

    def _register(self, vm: GatewayVm) -> None:
        key, value = self._documents.encode_vm(RegisteredVm(vm.name, vm.host, vm.peer_port))
        while True:
            known = self._keeper.view.facts.get(key)
            if known is not None and known.value == value:
                return
            if self._keeper.view.revision:
                self._write(key, value, known.revision if known else 0)
            time.sleep(_REGISTER_AGAIN_S)
