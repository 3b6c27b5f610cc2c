"""Service-level indicators (SLIs): counts of good and bad requests over several windows.

Each VM counts its own requests in bounded memory; ``SliWindow.merge`` combines several VMs. A cell
holds the counts of all requests with one :class:`SliKey`; a bucket is the window of one step
of a ring. The time of day is passed in, and buckets begin at multiples of their step, so that they
are aligned across VMs.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from azureturn.errors import ErrorKind
from azureturn.observability._latency import LatencySketch

MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS

#: Error kind of a good request.
NO_ERROR = ""
#: Tier of requests refused before their tier was known, such as by a full accept queue.
UNKNOWN_TIER = "(unknown)"
#: Replaces names in keys that are aggregated to bound the number of cells.
OTHER_NAMES = "(other)"
#: Maximum number of separate cells in one bucket; further requests are aggregated under
#: ``OTHER_NAMES``.
CELL_LIMIT = 400
#: Maximum number of separate cells in a window, which keeps responses to operators small.
WINDOW_CELL_LIMIT = 1_000

#: Kinds caused by the caller, which count neither as good nor as bad.
EXCLUDED_KINDS = frozenset(
    {
        ErrorKind.MALFORMED_REQUEST,
        ErrorKind.MALFORMED_JSON,
        ErrorKind.BAD_HEADER,
        ErrorKind.HEADERS_TOO_LARGE,
        ErrorKind.REQUEST_TIMEOUT,
        ErrorKind.BODY_TOO_LARGE,
        ErrorKind.UNKNOWN_ORGANISATION,
        ErrorKind.UNKNOWN_MODEL,
        ErrorKind.UNKNOWN_ROUTE,
        ErrorKind.METHOD_NOT_ALLOWED,
        ErrorKind.NOT_FOUND,
        ErrorKind.FORBIDDEN,
        ErrorKind.IDEMPOTENCY_KEY_REQUIRED,
        ErrorKind.IDEMPOTENCY_KEY_REUSED,
        ErrorKind.TICKET_INVALID,
        ErrorKind.CALLER_GONE,
    }
)


@dataclass(frozen=True)
class SliKey:
    """Attributes by which requests are counted."""

    tier: str
    organisation: str
    route: str
    upstream: str = ""
    version: str = ""
    error_kind: str = NO_ERROR

    def aggregated(self) -> "SliKey":
        """Return a copy with ``OTHER_NAMES`` for the names whose number is unbounded."""
        return replace(self, organisation=OTHER_NAMES, upstream=OTHER_NAMES, version=OTHER_NAMES)


@dataclass(frozen=True)
class SliCounts:
    """Numbers of good requests, answered completely and in time, and of bad ones."""

    good_count: int = 0
    bad_count: int = 0

    @property
    def total_count(self) -> int:
        """Return the number of requests counted."""
        return self.good_count + self.bad_count

    @property
    def bad_share(self) -> float:
        """Return the share of bad requests, or 0 without requests."""
        return self.bad_count / self.total_count if self.total_count else 0.0

    def __add__(self, other: "SliCounts") -> "SliCounts":
        return SliCounts(self.good_count + other.good_count, self.bad_count + other.bad_count)


ONE_GOOD_REQUEST = SliCounts(good_count=1)
ONE_BAD_REQUEST = SliCounts(bad_count=1)


@dataclass
class SliWindow:
    """Counts by key, and latencies, of the requests that completed in one time window."""

    #: Cells: the counts of the requests with each key.
    cells: dict[SliKey, SliCounts] = field(default_factory=dict)
    #: Latency of good requests by tier.
    latencies: dict[str, LatencySketch] = field(default_factory=dict)

    def add(self, key: SliKey, counts: SliCounts) -> None:
        """Add counts to a cell."""
        self.cells[key] = self.cells.get(key, SliCounts()) + counts

    def add_latency(self, tier: str, latency_ms: float) -> None:
        """Add the latency of a good request."""
        sketch = self.latencies.get(tier)
        if sketch is None:
            sketch = self.latencies[tier] = LatencySketch()
        sketch.add(latency_ms)

    def copy(self) -> "SliWindow":
        """Return a deep copy."""
        copied = SliWindow()
        copied.merge(self)
        return copied

    def merge(self, other: "SliWindow") -> None:
        """Add the counts and latencies of another window."""
        for key, counts in other.cells.items():
            self.add(key, counts)
        for tier, sketch in other.latencies.items():
            self.latencies.setdefault(tier, LatencySketch()).merge(sketch)

    def compacted(self, separate_organisations: frozenset[str], *, cell_limit: int) -> "SliWindow":
        """Return a window that is small enough to send and has the same totals per tier.

        Organisations not in ``separate_organisations`` are aggregated. If more than ``cell_limit``
        cells remain, those with the most bad requests are kept, and the others lose their upstream
        and version.
        """
        aggregated = SliWindow(latencies=self.latencies)
        for key, counts in self.cells.items():
            if key.organisation not in separate_organisations:
                key = replace(key, organisation=OTHER_NAMES)
            aggregated.add(key, counts)
        if len(aggregated.cells) <= cell_limit:
            return aggregated
        compact = SliWindow(latencies=self.latencies)
        worst_first = sorted(
            aggregated.cells.items(), key=lambda cell: (-cell[1].bad_count, -cell[1].good_count)
        )
        for position, (key, counts) in enumerate(worst_first):
            if position >= cell_limit:
                key = replace(key, upstream=OTHER_NAMES, version=OTHER_NAMES)
            compact.add(key, counts)
        return compact

    def total(self, matches: Callable[[SliKey], bool]) -> SliCounts:
        """Return the sum of the cells whose key matches."""
        matching_counts = (counts for key, counts in self.cells.items() if matches(key))
        return sum(matching_counts, SliCounts())


@dataclass(frozen=True)
class RingSize:
    """Bucket length and number of buckets of one ring."""

    step_ms: int
    bucket_count: int

    @property
    def span_ms(self) -> int:
        """Return the longest window that the ring covers."""
        return self.step_ms * self.bucket_count


#: Number of latest buckets of a ring that threads may still modify.
MUTABLE_BUCKETS = 2

#: Finest first: one hour in minutes, six hours in steps of ten minutes, three days in hours.
RING_SIZES = (
    RingSize(MINUTE_MS, 60),
    RingSize(10 * MINUTE_MS, 36),
    RingSize(HOUR_MS, 72),
)
LONGEST_WINDOW_MS = RING_SIZES[-1].span_ms


class _Ring:
    """Buckets of equal length; those older than the ring's span are dropped."""

    def __init__(self, size: RingSize) -> None:
        self.size = size
        self._buckets: dict[int, SliWindow] = {}

    def bucket(self, now_unix_ms: int) -> SliWindow:
        """Return the bucket that contains the current time, creating it if needed."""
        began_at = now_unix_ms - now_unix_ms % self.size.step_ms
        bucket = self._buckets.get(began_at)
        if bucket is None:
            bucket = self._buckets[began_at] = SliWindow()
            self._drop_old(now_unix_ms)
        return bucket

    def since(self, from_unix_ms: int) -> list[tuple[int, SliWindow]]:
        """Return the buckets that began at or after a time, oldest first.

        Buckets that may still change are copied; the others are final.
        """
        starts = [began_at for began_at in sorted(self._buckets) if began_at >= from_unix_ms]
        mutable = starts[-MUTABLE_BUCKETS:]
        return [
            (start, self._buckets[start].copy() if start in mutable else self._buckets[start])
            for start in starts
        ]

    def _drop_old(self, now_unix_ms: int) -> None:
        oldest = now_unix_ms - self.size.span_ms
        for began_at in [start for start in self._buckets if start <= oldest]:
            del self._buckets[began_at]


class SliRecorder:
    """Counts the completed requests of one VM in rings of buckets.

    Memory is bounded by the number of buckets of all rings times :data:`CELL_LIMIT`. Organisations
    that have an objective of their own are never aggregated with others.
    """

    def __init__(self, *, started_at_unix_ms: int) -> None:
        self.started_at_unix_ms = started_at_unix_ms
        self._rings = [_Ring(size) for size in RING_SIZES]
        self._lock = threading.Lock()
        self._separate_organisations: frozenset[str] = frozenset()

    def set_separate_organisations(self, organisations: frozenset[str]) -> None:
        """Set the organisations with an objective of their own, which stay separate from others."""
        self._separate_organisations = organisations

    def record(self, key: SliKey, *, latency_ms: float, now_unix_ms: int) -> None:
        """Count one completed request; error kinds caused by the caller are ignored."""
        if key.error_kind in EXCLUDED_KINDS:
            return
        good = key.error_kind == NO_ERROR
        with self._lock:
            for ring in self._rings:
                bucket = ring.bucket(now_unix_ms)
                bucket.add(
                    self._aggregate_if_full(key, bucket),
                    ONE_GOOD_REQUEST if good else ONE_BAD_REQUEST,
                )
                if good:
                    bucket.add_latency(key.tier, latency_ms)

    def window(self, window_ms: int, *, now_unix_ms: int) -> SliWindow:
        """Return the sum over the latest ``window_ms``, from the finest ring that covers it.

        The current, incomplete bucket counts as a complete one, so a window is short by at most
        one step of its ring.
        """
        covering = [ring for ring in self._rings if ring.size.span_ms >= window_ms]
        ring = covering[0] if covering else self._rings[-1]
        from_unix_ms = _first_bucket_start(now_unix_ms, window_ms, ring.size.step_ms)
        with self._lock:
            buckets = ring.since(from_unix_ms)
        # Merging is slow, so it does not hold the lock, on which requests would wait.
        total = SliWindow()
        for _, bucket in buckets:
            total.merge(bucket)
        return total.compacted(self._separate_organisations, cell_limit=WINDOW_CELL_LIMIT)

    def series(
        self, step_ms: int, window_ms: int, *, now_unix_ms: int
    ) -> list[tuple[int, str, SliCounts]]:
        """Return counts by bucket and tier, from the ring with the given step."""
        rings = [ring for ring in self._rings if ring.size.step_ms == step_ms]
        ring = rings[0] if rings else self._rings[0]
        from_unix_ms = _first_bucket_start(now_unix_ms, window_ms, ring.size.step_ms)
        with self._lock:
            buckets = ring.since(from_unix_ms)
        return [
            (began_at, tier, counts)
            for began_at, bucket in buckets
            for tier, counts in _totals_by_tier(bucket).items()
        ]

    def _aggregate_if_full(self, key: SliKey, bucket: SliWindow) -> SliKey:
        if key in bucket.cells or len(bucket.cells) < CELL_LIMIT:
            return key
        aggregated = key.aggregated()
        if key.organisation in self._separate_organisations:
            return replace(aggregated, organisation=key.organisation)
        return aggregated


def _first_bucket_start(now_unix_ms: int, window_ms: int, step_ms: int) -> int:
    current = now_unix_ms - now_unix_ms % step_ms
    return current - window_ms + step_ms


def _totals_by_tier(bucket: SliWindow) -> dict[str, SliCounts]:
    totals: dict[str, SliCounts] = {}
    for key, counts in bucket.cells.items():
        totals[key.tier] = totals.get(key.tier, SliCounts()) + counts
    return totals
