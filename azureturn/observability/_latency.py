"""Histograms of latency that add up exactly over VMs.

They are DDSketches (C. Masson, J. E. Rim, H. K. Lee, "DDSketch: a fast and fully-mergeable
quantile sketch with relative-error guarantees", VLDB 2019): the bins' bounds are fixed, so two
histograms merge by adding counts, and a quantile is off by at most the relative accuracy.
"""

from collections.abc import Iterable, Mapping

from ddsketch.ddsketch import BaseDDSketch
from ddsketch.mapping import LogarithmicMapping
from ddsketch.store import DenseStore

RELATIVE_ACCURACY = 0.02
#: Latencies are put between these, which bounds the number of bins to about 430.
LEAST_MS = 1.0
GREATEST_MS = 24 * 3_600_000.0


class LatencySketch:
    """Counts latencies in bins of fixed bounds.

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
        self._sketch.add(min(max(latency_ms, LEAST_MS), GREATEST_MS))

    def merge(self, other: "LatencySketch") -> None:
        """Add all that another sketch has counted."""
        self._sketch.merge(other._sketch)

    def bins(self) -> dict[int, int]:
        """Return the counts by the bins' keys; a sketch can be made from them again."""
        offset = self._store.offset
        return {offset + at: int(count) for at, count in enumerate(self._store.bins) if count}

    @property
    def count(self) -> int:
        """Return how many latencies were counted."""
        return int(self._sketch.count)

    def quantile_ms(self, quantile: float) -> float:
        """Return the latency below which this share lies; 0 where nothing was counted."""
        value = self._sketch.get_quantile_value(quantile)
        return 0.0 if value is None else float(value)


def merged_sketch(sketches: Iterable[LatencySketch]) -> LatencySketch:
    """Return one sketch of all that the given ones counted."""
    total = LatencySketch()
    for sketch in sketches:
        total.merge(sketch)
    return total
