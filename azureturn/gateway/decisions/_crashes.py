"""What is known of upstreams whose processes ended while they answered requests."""

from azureturn.framework import Table

#: An upstream that breaks off several answers at once is probed once in this time.
_PROBE_INTERVAL_MS = 100


class CrashTable(Table[tuple[str, int], int]):
    """Times of the last probes of upstreams that broke off answers, keyed by their run."""

    def take_probe(self, run: tuple[str, int], now_ms: int) -> bool:
        """Return whether a run is to be probed now, and if so record that it is."""
        for probed_run in [key for key, at_ms in self.items() if self._is_over(at_ms, now_ms)]:
            self.remove(probed_run)
        if run in self:
            return False
        self.put(run, now_ms)
        return True

    @staticmethod
    def _is_over(probed_at_ms: int, now_ms: int) -> bool:
        return now_ms - probed_at_ms >= _PROBE_INTERVAL_MS
