"""In-memory models of the key-value service and the engines, as far as a move uses them."""

import random
from dataclasses import dataclass, field

from azureturn.core.moves import MoveRecord, OrderKind, StoredMove, WriteResult


@dataclass
class ServiceModel:
    """Service with compare-and-swap on one record per model, with outages and lost answers."""

    random: random.Random
    lost_answer_share: float = 0.01
    outage_from_ms: int = 0
    outage_to_ms: int = 0
    revision: int = 1
    records: dict[str, StoredMove] = field(default_factory=dict)
    #: Every record written, with the time of the write in milliseconds.
    history: list[tuple[int, MoveRecord]] = field(default_factory=list)

    def is_down(self, now_ms: int) -> bool:
        """Return whether the service is in its outage."""
        return self.outage_from_ms <= now_ms < self.outage_to_ms

    def read(self) -> tuple[StoredMove, ...]:
        """Return every record."""
        return tuple(self.records.values())

    def write(
        self, record: MoveRecord, expected_revision: int, now_ms: int
    ) -> tuple[WriteResult, int]:
        """Write a record if its revision is the expected one, and return result and revision.

        The answer may be lost although the write took effect.
        """
        if self.is_down(now_ms):
            return WriteResult.UNKNOWN, 0
        stored = self.records.get(record.model)
        if (stored.revision if stored else 0) != expected_revision:
            return WriteResult.CONFLICT, 0
        self.revision += 1
        self.records[record.model] = StoredMove(record, self.revision)
        self.history.append((now_ms, record))
        if self.random.random() < self.lost_answer_share:
            return WriteResult.UNKNOWN, 0
        return WriteResult.WRITTEN, self.revision


@dataclass
class EnginesModel:
    """Engines that load versions from one weight store, which serves one engine at a time."""

    names: tuple[str, ...]
    fetch_ms: int
    load_ms: int
    versions: dict[str, set[str]] = field(default_factory=dict)
    store_free_at_ms: int = 0

    def __post_init__(self) -> None:
        self.versions = {name: {"v1"} for name in self.names}

    def order_end_ms(self, kind: OrderKind, now_ms: int) -> int:
        """Reserve the weight store for an order sent now and return when the order completes."""
        if kind is OrderKind.UNLOAD:
            return now_ms + 5
        self.store_free_at_ms = max(now_ms, self.store_free_at_ms) + self.fetch_ms
        return self.store_free_at_ms + self.load_ms

    def execute(self, name: str, kind: OrderKind, version: str) -> None:
        """Load or unload a version."""
        if kind is OrderKind.LOAD:
            self.versions[name].add(version)
        else:
            self.versions[name].discard(version)
