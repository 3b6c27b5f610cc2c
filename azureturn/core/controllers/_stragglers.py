"""Takes upstreams out of service that are much slower than others of the same hardware."""

from statistics import median

from azureturn.core._controllers import controller
from azureturn.core._upstreams import Upstream, UpstreamTable
from azureturn.core.placement import LearnedSpeed, SpeedTable
from azureturn.framework import Context, Controller, Tick, on
from azureturn.settings import Settings

#: Upstreams that are compared in one look, however many there are.
_COMPARED_AT_ONCE = 64
_LOOK_INTERVAL_MS = 250
#: An upstream this many times slower than the median goes out; below the second it returns.
_OUT_RATIO = 2.5
_BACK_RATIO = 1.6
_LEAST_SAMPLES = 5
_LEAST_PEERS = 3
#: At most this share of the upstreams of one hardware is out at once.
_OUT_SHARE = 0.25
_FIRST_PROBE_MS = 2_000
_PROBE_LIMIT_MS = 30_000
#: How much a full batch slows each answer, against an empty one.
_BATCH_SLOW_DOWN = 0.5


@controller("stragglers")
class StragglerController(Controller[Settings]):
    """Compares paces at the same load; drains, probes and returns what is out of line."""

    reads = (SpeedTable,)
    writes = (UpstreamTable,)
    after = ("learning",)

    _looked_at_ms = 0
    _next = 0

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        if context.now_ms - self._looked_at_ms < _LOOK_INTERVAL_MS:
            return
        self._looked_at_ms = context.now_ms
        by_hardware: dict[str, list[Upstream]] = {}
        for upstream in self._some():
            by_hardware.setdefault(upstream.settings.hardware, []).append(upstream)
        for alike in by_hardware.values():
            self._compare(alike, context.now_ms)

    def _some(self) -> list[Upstream]:
        """Return the upstreams whose turn it is to be compared."""
        rows = list(self.board.read(UpstreamTable).rows())
        if len(rows) <= _COMPARED_AT_ONCE:
            return rows
        start = self._next % len(rows)
        self._next = start + _COMPARED_AT_ONCE
        return (rows + rows[:_COMPARED_AT_ONCE])[start : start + _COMPARED_AT_ONCE]

    def _compare(self, alike: list[Upstream], now_ms: int) -> None:
        speeds = {one.settings.name: self.board.read(SpeedTable).of(one) for one in alike}
        paces = {
            one.settings.name: _pace_at_no_load(one, speeds[one.settings.name], now_ms)
            for one in alike
            if speeds[one.settings.name].samples >= _LEAST_SAMPLES
        }
        if len(paces) < _LEAST_PEERS:
            return
        usual = median(paces.values())
        room = max(1, int(len(alike) * _OUT_SHARE)) - sum(one.straggling for one in alike)
        slowest_first = sorted(alike, key=lambda one: -paces.get(one.settings.name, 0.0))
        for upstream in slowest_first:
            name = upstream.settings.name
            if name not in paces:
                continue
            ratio = paces[name] / usual
            if upstream.straggling:
                self._look_again(upstream, speeds[name], ratio, now_ms)
            elif ratio > _OUT_RATIO and room > 0:
                room -= 1
                self._put(upstream.with_straggling(True, probe_at_ms=now_ms + _FIRST_PROBE_MS))

    def _look_again(
        self, upstream: Upstream, speed: LearnedSpeed, ratio: float, now_ms: int
    ) -> None:
        if ratio < _BACK_RATIO:
            self._put(upstream.with_straggling(False))
            return
        probed = speed.sampled_at_ms > upstream.probe_at_ms
        if probed and upstream.outstanding_requests == 0:
            pause_ms = min(_PROBE_LIMIT_MS, _FIRST_PROBE_MS << upstream.probes)
            self._put(upstream.with_straggling(True, probe_at_ms=now_ms + pause_ms))

    def _put(self, upstream: Upstream) -> None:
        self.board.write(UpstreamTable).put(upstream.settings.name, upstream)


def _pace_at_no_load(upstream: Upstream, speed: LearnedSpeed, now_ms: int) -> float:
    filled = min(1.0, upstream.estimated_requests(now_ms) / upstream.settings.slots)
    return speed.decode_ms_per_token / (1.0 + _BATCH_SLOW_DOWN * filled)
