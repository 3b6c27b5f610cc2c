"""Tells when this VM lacks processor time, so that it should be spared new callers."""

from azureturn.gateway.decisions import PeerTable
from azureturn.observability import EventLog, LogEvent, Metric, Metrics
from azureturn.serving import CoreRuntime, now_ms

#: Mean lateness of ticks at which a VM is strained, and below which it no longer is.
_STRAINED_MS = 10.0
_RELAXED_MS = 3.0
#: A VM steps back only while no more than this share of all VMs is strained or unheard.
_ABSENT_SHARE = 0.34


class Strain:
    """Steps back while this VM is late and enough of its peers are not."""

    def __init__(self, runtime: CoreRuntime, log: EventLog, metrics: Metrics) -> None:
        self._runtime = runtime
        self._log = log
        self._metrics = metrics
        self._strained = False

    def is_strained(self) -> bool:
        """Return whether callers had better go elsewhere."""
        lateness_ms = self._runtime.lateness_ms
        wanted = lateness_ms > (_RELAXED_MS if self._strained else _STRAINED_MS)
        if wanted and not self._strained:
            wanted = self._others_suffice()
        if wanted != self._strained:
            self._strained = wanted
            self._metrics.set(Metric.STRAINED, int(wanted))
            self._log.info(
                LogEvent.STRAIN_CHANGED,
                state="strained" if wanted else "relaxed",
                lateness_ms=int(lateness_ms),
            )
        return self._strained

    def _others_suffice(self) -> bool:
        at_ms = now_ms()

        def absent_share(table: PeerTable) -> float:
            heard = table.heard(at_ms)
            strained = sum(peer.report.strained for peer in heard)
            vms = table.vms(at_ms)
            return (vms - 1 - len(heard) + strained) / max(1, vms)

        share = self._runtime.inspect(lambda core: absent_share(core.board.table(PeerTable)))
        return share < _ABSENT_SHARE
