"""Excludes upstreams that are much slower than others with the same hardware."""

from statistics import median

from azureturn.core._controllers import controller
from azureturn.core._upstreams import Upstream, UpstreamTable
from azureturn.core.placement import LearnedSpeed, SpeedTable
from azureturn.framework import Context, Controller, Tick, on
from azureturn.settings import Settings

#: Maximum number of upstreams compared in one check, which bounds its cost.
_BATCH_SIZE = 64
_CHECK_INTERVAL_MS = 250
#: An upstream is excluded above the first ratio of its decode time per token to the median, and
#: readmitted below the second.
_EXCLUDE_RATIO = 2.5
_READMIT_RATIO = 1.6
_MIN_SAMPLES = 5
_MIN_COMPARED = 3
#: Maximum share of the upstreams with the same hardware that is excluded at once.
_MAX_EXCLUDED_SHARE = 0.25
_INITIAL_PROBE_DELAY_MS = 2_000
_MAX_PROBE_DELAY_MS = 30_000
#: Relative increase of the decode time per token in a full batch over an empty one.
_FULL_BATCH_SLOWDOWN = 0.5


@controller("stragglers")
class StragglerController(Controller[Settings]):
    """Compares load-corrected decode times per token; excludes, probes and readmits stragglers.

    A straggler is an upstream much slower than the median of the upstreams with the same hardware.
    While it is excluded, it gets only single probe requests.
    """

    reads = (SpeedTable,)
    writes = (UpstreamTable,)
    after = ("learning",)

    _checked_at_ms = 0
    _next_start = 0

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        if context.now_ms - self._checked_at_ms < _CHECK_INTERVAL_MS:
            return
        self._checked_at_ms = context.now_ms
        by_hardware: dict[str, list[Upstream]] = {}
        for upstream in self._next_batch():
            by_hardware.setdefault(upstream.settings.hardware, []).append(upstream)
        for same_hardware in by_hardware.values():
            self._compare(same_hardware, context.now_ms)

    def _next_batch(self) -> list[Upstream]:
        """Return the next batch of upstreams to compare, in rotation."""
        rows = list(self.board.read(UpstreamTable).rows())
        if len(rows) <= _BATCH_SIZE:
            return rows
        start = self._next_start % len(rows)
        self._next_start = start + _BATCH_SIZE
        return (rows + rows[:_BATCH_SIZE])[start : start + _BATCH_SIZE]

    def _compare(self, same_hardware: list[Upstream], now_ms: int) -> None:
        speeds = {
            upstream.settings.name: self.board.read(SpeedTable).of(upstream)
            for upstream in same_hardware
        }
        ms_per_token = {
            upstream.settings.name: _unloaded_ms_per_token(
                upstream, speeds[upstream.settings.name], now_ms
            )
            for upstream in same_hardware
            if speeds[upstream.settings.name].samples >= _MIN_SAMPLES
        }
        if len(ms_per_token) < _MIN_COMPARED:
            return
        median_ms_per_token = median(ms_per_token.values())
        exclusions_left = max(1, int(len(same_hardware) * _MAX_EXCLUDED_SHARE)) - sum(
            upstream.excluded for upstream in same_hardware
        )
        slowest_first = sorted(
            same_hardware, key=lambda upstream: -ms_per_token.get(upstream.settings.name, 0.0)
        )
        for upstream in slowest_first:
            name = upstream.settings.name
            if name not in ms_per_token:
                continue
            ratio = ms_per_token[name] / median_ms_per_token
            if upstream.excluded:
                self._reevaluate(upstream, speeds[name], ratio, now_ms)
            elif ratio > _EXCLUDE_RATIO and exclusions_left > 0:
                exclusions_left -= 1
                self._put(
                    upstream.with_exclusion(True, probe_at_ms=now_ms + _INITIAL_PROBE_DELAY_MS)
                )

    def _reevaluate(
        self, upstream: Upstream, speed: LearnedSpeed, ratio: float, now_ms: int
    ) -> None:
        if ratio < _READMIT_RATIO:
            self._put(upstream.with_exclusion(False))
            return
        probed = speed.sampled_at_ms > upstream.probe_at_ms
        if probed and upstream.outstanding_requests == 0:
            delay_ms = min(_MAX_PROBE_DELAY_MS, _INITIAL_PROBE_DELAY_MS << upstream.probes)
            self._put(upstream.with_exclusion(True, probe_at_ms=now_ms + delay_ms))

    def _put(self, upstream: Upstream) -> None:
        self.board.write(UpstreamTable).put(upstream.settings.name, upstream)


def _unloaded_ms_per_token(upstream: Upstream, speed: LearnedSpeed, now_ms: int) -> float:
    occupancy = min(1.0, upstream.estimated_requests(now_ms) / upstream.settings.slots)
    return speed.decode_ms_per_token / (1.0 + _FULL_BATCH_SLOWDOWN * occupancy)
