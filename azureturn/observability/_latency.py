"""Latency histograms that merge exactly across VMs.

They are DDSketches (C. Masson, J. E. Rim, H. K. Lee, "DDSketch: a fast and fully-mergeable
quantile sketch with relative-error guarantees", VLDB 2019): the bin bounds are fixed, so two
histograms merge by adding counts, and a quantile is off by at most the relative accuracy.
"""

from collections.abc import Iterable, Mapping

from ddsketch.ddsketch import BaseDDSketch
from ddsketch.mapping import LogarithmicMapping
from ddsketch.store import DenseStore

RELATIVE_ACCURACY = 0.02
#: Latencies are clamped to this range, which limits the number of bins to about 430.
MIN_LATENCY_MS = 1.0
MAX_LATENCY_MS = 24 * 3_600_000.0


class LatencySketch:
    """Counts latencies in bins with fixed bounds.

    >>> sketch = LatencySketch()
    >>> sketch.add(100.0)
    >>> 98.0 <= sketch.quantile_ms(0.5) <= 102.0
    True
    """

    def __init__(self, bins: Mapping[int, int] | None = None) -> None:
        self._store = DenseStore()
        for key, count in (bins or {}).items():
            self._store.add(key, count)
        self._sketch = BaseDDSketch(
            LogarithmicMapping(RELATIVE_ACCURACY), self._store, DenseStore(), 0.0
        )

    def add(self, latency_ms: float) -> None:
        """Count one latency."""
        self._sketch.add(min(max(latency_ms, MIN_LATENCY_MS), MAX_LATENCY_MS))

    def merge(self, other: "LatencySketch") -> None:
        """Add the counts of another sketch."""
        self._sketch.merge(other._sketch)

    def bins(self) -> dict[int, int]:
        """Return the counts by bin key; the constructor accepts them to rebuild the sketch."""
        offset = self._store.offset
        return {offset + index: int(count) for index, count in enumerate(self._store.bins) if count}

    @property
    def count(self) -> int:
        """Return the number of latencies counted."""
        return int(self._sketch.count)

    def quantile_ms(self, quantile: float) -> float:
        """Return the latency at a quantile, or 0 if nothing was counted."""
        value = self._sketch.get_quantile_value(quantile)
        return 0.0 if value is None else float(value)


def merge_sketches(sketches: Iterable[LatencySketch]) -> LatencySketch:
    """Return a new sketch with the summed counts of the given sketches."""
    total = LatencySketch()
    for sketch in sketches:
        total.merge(sketch)
    return total
