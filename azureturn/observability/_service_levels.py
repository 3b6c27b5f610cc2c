"""Service levels: counts of good and bad requests over several windows, in bounded memory.

Each VM keeps its own; windows of several VMs add up by :meth:`LevelWindow.merge`. The time of
day is passed in, and buckets begin at its multiples, so that buckets of all VMs are the same.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from azureturn.errors import ErrorKind
from azureturn.observability._latency import LatencySketch

MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS

#: The error kind of a good request.
NO_ERROR = ""
#: The tier of requests that were refused before it was known, as by a full accept queue.
UNKNOWN_TIER = "(unknown)"
#: Stands for names that were too many to keep apart.
OTHER_NAMES = "(other)"
#: Cells of one bucket that are kept apart; beyond it names are folded into ``OTHER_NAMES``.
CELL_LIMIT = 400
#: Cells of a window that are kept apart, so that an answer to an operator stays small.
WINDOW_CELL_LIMIT = 1_000

#: Kinds that are the caller's own doing and count neither as good nor as bad.
NOT_COUNTED = frozenset(
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
class LevelKey:
    """What requests are counted by."""

    tier: str
    organisation: str
    route: str
    upstream: str = ""
    version: str = ""
    error_kind: str = NO_ERROR

    def folded(self) -> "LevelKey":
        """Return a copy whose unbounded names are folded together."""
        return replace(self, organisation=OTHER_NAMES, upstream=OTHER_NAMES, version=OTHER_NAMES)


@dataclass(frozen=True)
class LevelCounts:
    """How many requests were answered whole and in time, and how many were not."""

    good_count: int = 0
    bad_count: int = 0

    @property
    def total_count(self) -> int:
        """Return all requests that count."""
        return self.good_count + self.bad_count

    @property
    def bad_share(self) -> float:
        """Return the share of bad requests, 0 where there were none at all."""
        return self.bad_count / self.total_count if self.total_count else 0.0

    def __add__(self, other: "LevelCounts") -> "LevelCounts":
        return LevelCounts(self.good_count + other.good_count, self.bad_count + other.bad_count)


GOOD = LevelCounts(good_count=1)
BAD = LevelCounts(bad_count=1)


@dataclass
class LevelWindow:
    """Counts and latencies over one span of time."""

    cells: dict[LevelKey, LevelCounts] = field(default_factory=dict)
    #: Latency of good requests by tier.
    latencies: dict[str, LatencySketch] = field(default_factory=dict)

    def add(self, key: LevelKey, counts: LevelCounts) -> None:
        """Add counts to a cell."""
        self.cells[key] = self.cells.get(key, LevelCounts()) + counts

    def add_latency(self, tier: str, latency_ms: float) -> None:
        """Count a good request's latency."""
        sketch = self.latencies.get(tier)
        if sketch is None:
            sketch = self.latencies[tier] = LatencySketch()
        sketch.add(latency_ms)

    def copy(self) -> "LevelWindow":
        """Return a window that later changes of this one leave as it is."""
        copied = LevelWindow()
        copied.merge(self)
        return copied

    def merge(self, other: "LevelWindow") -> None:
        """Add all that another window holds."""
        for key, counts in other.cells.items():
            self.add(key, counts)
        for tier, sketch in other.latencies.items():
            self.latencies.setdefault(tier, LatencySketch()).merge(sketch)

    def compacted(self, kept_organisations: frozenset[str], *, cell_limit: int) -> "LevelWindow":
        """Return a window small enough to send, with every total of tiers as it is.

        Organisations without an objective of their own are folded together; of the cells that
        are left, those with the most bad requests stay, and the others lose their upstream.
        """
        folded = LevelWindow(latencies=self.latencies)
        for key, counts in self.cells.items():
            if key.organisation not in kept_organisations:
                key = replace(key, organisation=OTHER_NAMES)
            folded.add(key, counts)
        if len(folded.cells) <= cell_limit:
            return folded
        compact = LevelWindow(latencies=self.latencies)
        by_badness = sorted(
            folded.cells.items(), key=lambda cell: (-cell[1].bad_count, -cell[1].good_count)
        )
        for place, (key, counts) in enumerate(by_badness):
            if place >= cell_limit:
                key = replace(key, upstream=OTHER_NAMES, version=OTHER_NAMES)
            compact.add(key, counts)
        return compact

    def total(self, wanted: Callable[[LevelKey], bool]) -> LevelCounts:
        """Return the sum of the cells whose key is wanted."""
        chosen = (counts for key, counts in self.cells.items() if wanted(key))
        return sum(chosen, LevelCounts())


@dataclass(frozen=True)
class RingSize:
    """The step and the number of buckets of one ring."""

    step_ms: int
    bucket_count: int

    @property
    def span_ms(self) -> int:
        """Return the longest window that the ring can answer for."""
        return self.step_ms * self.bucket_count


#: The latest buckets of a ring, to which a thread may still add.
CHANGING_BUCKETS = 2

#: Finest first: one hour by minutes, six hours by ten minutes, three days by hours.
RING_SIZES = (
    RingSize(MINUTE_MS, 60),
    RingSize(10 * MINUTE_MS, 36),
    RingSize(HOUR_MS, 72),
)
LONGEST_WINDOW_MS = RING_SIZES[-1].span_ms


class _Ring:
    """Buckets of one step; those older than the ring's span are dropped."""

    def __init__(self, size: RingSize) -> None:
        self.size = size
        self._buckets: dict[int, LevelWindow] = {}

    def bucket(self, now_unix_ms: int) -> LevelWindow:
        """Return the bucket of the present moment."""
        began_at = now_unix_ms - now_unix_ms % self.size.step_ms
        bucket = self._buckets.get(began_at)
        if bucket is None:
            bucket = self._buckets[began_at] = LevelWindow()
            self._drop_old(now_unix_ms)
        return bucket

    def since(self, from_unix_ms: int) -> list[tuple[int, LevelWindow]]:
        """Return the buckets that began at or after a moment, oldest first.

        Those that may still change are copied, the others are final.
        """
        begun = [began_at for began_at in sorted(self._buckets) if began_at >= from_unix_ms]
        changing = begun[-CHANGING_BUCKETS:]
        return [
            (at, self._buckets[at].copy() if at in changing else self._buckets[at]) for at in begun
        ]

    def _drop_old(self, now_unix_ms: int) -> None:
        oldest = now_unix_ms - self.size.span_ms
        for began_at in [at for at in self._buckets if at <= oldest]:
            del self._buckets[began_at]


class ServiceLevels:
    """One VM's windows, fed with each request's end.

    Memory is bounded by the rings' buckets times :data:`CELL_LIMIT`; organisations that have an
    objective of their own are never folded together with others.
    """

    def __init__(self, *, started_at_unix_ms: int) -> None:
        self.started_at_unix_ms = started_at_unix_ms
        self._rings = [_Ring(size) for size in RING_SIZES]
        self._lock = threading.Lock()
        self._kept_organisations: frozenset[str] = frozenset()

    def keep_apart(self, organisations: frozenset[str]) -> None:
        """Name the organisations that have an objective of their own."""
        self._kept_organisations = organisations

    def record(self, key: LevelKey, *, latency_ms: float, now_unix_ms: int) -> None:
        """Count one request's end; kinds that are the caller's doing are left out."""
        if key.error_kind in NOT_COUNTED:
            return
        good = key.error_kind == NO_ERROR
        with self._lock:
            for ring in self._rings:
                bucket = ring.bucket(now_unix_ms)
                bucket.add(self._bounded(key, bucket), GOOD if good else BAD)
                if good:
                    bucket.add_latency(key.tier, latency_ms)

    def window(self, window_ms: int, *, now_unix_ms: int) -> LevelWindow:
        """Return the sum over the latest ``window_ms``, by the finest ring that spans it.

        The bucket under way counts as a whole one, so that a window is short by at most one
        step of its ring.
        """
        fitting = [ring for ring in self._rings if ring.size.span_ms >= window_ms]
        ring = fitting[0] if fitting else self._rings[-1]
        from_unix_ms = _first_bucket(now_unix_ms, window_ms, ring.size.step_ms)
        with self._lock:
            buckets = ring.since(from_unix_ms)
        # Adding up takes long enough that requests must not wait for it at the lock.
        total = LevelWindow()
        for _, bucket in buckets:
            total.merge(bucket)
        return total.compacted(self._kept_organisations, cell_limit=WINDOW_CELL_LIMIT)

    def series(
        self, step_ms: int, window_ms: int, *, now_unix_ms: int
    ) -> list[tuple[int, str, LevelCounts]]:
        """Return counts by bucket and tier, for the ring whose step is asked for."""
        rings = [ring for ring in self._rings if ring.size.step_ms == step_ms]
        ring = rings[0] if rings else self._rings[0]
        from_unix_ms = _first_bucket(now_unix_ms, window_ms, ring.size.step_ms)
        with self._lock:
            buckets = ring.since(from_unix_ms)
        return [
            (began_at, tier, counts)
            for began_at, bucket in buckets
            for tier, counts in _by_tier(bucket).items()
        ]

    def _bounded(self, key: LevelKey, bucket: LevelWindow) -> LevelKey:
        if key in bucket.cells or len(bucket.cells) < CELL_LIMIT:
            return key
        folded = key.folded()
        if key.organisation in self._kept_organisations:
            return replace(folded, organisation=key.organisation)
        return folded


def _first_bucket(now_unix_ms: int, window_ms: int, step_ms: int) -> int:
    present = now_unix_ms - now_unix_ms % step_ms
    return present - window_ms + step_ms


def _by_tier(bucket: LevelWindow) -> dict[str, LevelCounts]:
    totals: dict[str, LevelCounts] = {}
    for key, counts in bucket.cells.items():
        totals[key.tier] = totals.get(key.tier, LevelCounts()) + counts
    return totals
