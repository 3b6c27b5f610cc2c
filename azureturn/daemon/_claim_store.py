"""Reads and writes claim segments in the key-value service for the core.

A segment is one entry of the key-value service and contains the claims of many calls.
"""

import queue
import threading
from collections.abc import Callable
from functools import singledispatchmethod

from azureturn.core import (
    ClaimSegment,
    ReadSegment,
    SegmentCallLost,
    SegmentChanged,
    SegmentRead,
    SegmentSwapped,
    SwapSegment,
    segment_key,
)
from azureturn.errors import AzureturnError, CompareFailedError
from azureturn.framework import Action, Event
from azureturn.store import KeyValueClient

CLAIM_THREADS = 8


class ClaimStoreAdapter:
    """Reads and writes segments on its own threads.

    Each read or write is attempted once and results in exactly one event.
    """

    def __init__(self, key_value: KeyValueClient, submit: Callable[[Event], object]) -> None:
        self._key_value = key_value
        self._submit = submit
        self._queue: queue.SimpleQueue[ReadSegment | SwapSegment] = queue.SimpleQueue()

    def start(self) -> None:
        """Start the threads."""
        for number in range(CLAIM_THREADS):
            name = f"claims-{number}"
            threading.Thread(target=self._execute_forever, name=name, daemon=True).start()

    def enqueue(self, action: ReadSegment | SwapSegment) -> None:
        """Queue a read or write; its result is submitted to the core as an event."""
        self._queue.put(action)

    def _execute_forever(self) -> None:
        while True:
            action = self._queue.get()
            self._submit(self._result_event(action))

    def _result_event(self, action: ReadSegment | SwapSegment) -> Event:
        try:
            return self._execute(action)
        except CompareFailedError:
            return SegmentChanged(action.segment, action.operation_id)
        except AzureturnError:
            return SegmentCallLost(action.segment, action.operation_id)

    @singledispatchmethod
    def _execute(self, action: Action) -> Event:
        raise TypeError(f"{action} is not an action for the key-value service")

    @_execute.register
    def _read(self, action: ReadSegment) -> Event:
        entry = self._key_value.read(segment_key(action.segment))
        if entry is None:
            return SegmentRead(action.segment, action.operation_id, 0, ClaimSegment())
        content = ClaimSegment.from_bytes(entry.value)
        return SegmentRead(action.segment, action.operation_id, entry.revision, content)

    @_execute.register
    def _swap(self, action: SwapSegment) -> Event:
        revision = self._key_value.compare_and_swap(
            segment_key(action.segment),
            action.content.to_bytes(),
            expected_revision=action.expected_revision,
        )
        return SegmentSwapped(action.segment, action.operation_id, revision)
