"""Limits how much of the VM's link is taken up by what this VM sends of its own accord."""

#: Share of the link; the rest is for requests, and for what is sent back to callers.
_LINK_SHARE = 1 / 8
#: How long the link may be taken up without a break, counted at that share. What requests send
#: waits for no longer than that.
_BURST_S = 0.05
_BITS_PER_BYTE = 8
_BITS_PER_MEGABIT = 1_000_000


class SendBudget:
    """Bytes that may be sent now; they accrue with time, and a datagram may overdraw them.

    >>> budget = SendBudget(link_mbps=8.0, now_s=0.0)
    >>> budget.spend(10_000, now_s=0.0)
    >>> budget.wait_s(now_s=0.0)
    0.03
    >>> budget.wait_s(now_s=0.03)
    0.0
    """

    def __init__(self, *, link_mbps: float, now_s: float) -> None:
        self._bytes_per_s = link_mbps * _BITS_PER_MEGABIT / _BITS_PER_BYTE * _LINK_SHARE
        self._burst_bytes = self._bytes_per_s * _BURST_S
        self._left_bytes = self._burst_bytes
        self._counted_at_s = now_s

    def spend(self, size_bytes: int, *, now_s: float) -> None:
        """Count bytes that are sent."""
        self._accrue(now_s)
        self._left_bytes -= size_bytes

    def wait_s(self, *, now_s: float) -> float:
        """Return how long to wait before the next datagram is sent; 0 if it may be sent now."""
        self._accrue(now_s)
        return max(0.0, -self._left_bytes / self._bytes_per_s)

    def _accrue(self, now_s: float) -> None:
        added_bytes = (now_s - self._counted_at_s) * self._bytes_per_s
        self._left_bytes = min(self._burst_bytes, self._left_bytes + added_bytes)
        self._counted_at_s = now_s
