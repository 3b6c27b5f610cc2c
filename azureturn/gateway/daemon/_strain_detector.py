"""Detects when this VM is strained, i.e. lacks processor time and should get no new callers."""

from azureturn.gateway.decisions import PeerTable
from azureturn.observability import EventLog, LogEvent, Metric, Metrics
from azureturn.serving import CoreRuntime, now_ms

#: A VM becomes strained if the mean lateness of its ticks exceeds the first limit, and relaxed
#: if it falls below the second.
_STRAINED_ABOVE_MS = 10.0
_RELAXED_BELOW_MS = 3.0
#: A VM becomes strained only while less than this share of all VMs is strained or has sent no
#: recent report, so that enough VMs remain for the callers.
_MAX_UNAVAILABLE_SHARE = 0.34


class StrainDetector:
    """Reports this VM as strained while its ticks are late, if enough other VMs are available."""

    def __init__(self, runtime: CoreRuntime, log: EventLog, metrics: Metrics) -> None:
        self._runtime = runtime
        self._log = log
        self._metrics = metrics
        self._strained = False

    def is_strained(self) -> bool:
        """Return whether callers should use other VMs; logs each change."""
        lateness_ms = self._runtime.lateness_ms
        strained = lateness_ms > (_RELAXED_BELOW_MS if self._strained else _STRAINED_ABOVE_MS)
        if strained and not self._strained:
            strained = self._enough_other_vms()
        if strained != self._strained:
            self._strained = strained
            self._metrics.set(Metric.STRAINED, int(strained))
            self._log.info(
                LogEvent.STRAIN_CHANGED,
                state="strained" if strained else "relaxed",
                lateness_ms=int(lateness_ms),
            )
        return self._strained

    def _enough_other_vms(self) -> bool:
        at_ms = now_ms()

        def unavailable_share(table: PeerTable) -> float:
            live_peers = table.live_peers(at_ms)
            strained_count = sum(peer.report.strained for peer in live_peers)
            vm_count = table.vms(at_ms)
            return (vm_count - 1 - len(live_peers) + strained_count) / max(1, vm_count)

        share = self._runtime.inspect(lambda core: unavailable_share(core.board.table(PeerTable)))
        return share < _MAX_UNAVAILABLE_SHARE
