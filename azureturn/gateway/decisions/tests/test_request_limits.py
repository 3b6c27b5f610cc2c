"""Upstreams that name a limit of the requests that they take from all VMs together."""

import pytest

from azureturn.gateway.decisions.tests.simulated_site import Arrival, SimulatedSite

_CALM_MS = 3_000
_LIMITED_MS = 16_000
#: Bounds of the platform: from this time after an upstream first named its limit, it may get in any
#: such window so many times what the limit allows, and so many requests more, from the VMs that
#: were told at least so long before.
_CONTACT_MS = 3_000
_WINDOW_MS = 4_000
_MAX_RATIO = 1.5
_SLACK = 5
_TOLD_MS = 500
#: Least share of its limit that an upstream should still be sent.
_MIN_USED_SHARE = 0.5


def _play(site: SimulatedSite, duration_ms: int, interval_ms: int) -> None:
    """Send a request every ``interval_ms``, to the VMs in turn."""
    ends_at_ms = site.now_ms + duration_ms
    while site.now_ms < ends_at_ms:
        number = len(site.sent_at_ms)
        site.send(number % len(site.vms), f"r-{number}", "shared", f"own-{number}")
        site.run_until(site.now_ms + interval_ms)


def _arrivals(site: SimulatedSite, upstream: str) -> list[Arrival]:
    return [arrival for arrival in site.arrivals if arrival.upstream == upstream]


def _largest_window(site: SimulatedSite, upstream: str, named_at_ms: int) -> int:
    """Return the largest number of counted requests in a window that ends in the counted time."""
    counted_ms = [
        arrival.at_ms
        for arrival in _arrivals(site, upstream)
        if arrival.at_ms >= site.told_at_ms.get((upstream, arrival.vm), arrival.at_ms) + _TOLD_MS
    ]
    return max(
        sum(end_ms - _WINDOW_MS < at_ms <= end_ms for at_ms in counted_ms)
        for end_ms in counted_ms
        if end_ms >= named_at_ms + _CONTACT_MS
    )


def _limited_site(vm_count: int, limit_per_s: float, *, seed: int = 1) -> SimulatedSite:
    """Return a busy site whose engines e-0 and e-1 have just begun to name a limit."""
    site = SimulatedSite(vm_count=vm_count, engine_count=5, answer_ms=(20, 150), seed=seed)
    _play(site, _CALM_MS, interval_ms=20)
    for name in ("e-0", "e-1"):
        site.limit_engine(name, limit_per_s)
    return site


@pytest.mark.parametrize("vm_count", [1, 6, 20])
@pytest.mark.parametrize("limit_per_s", [1.0, 3.5])
def test_an_upstream_gets_no_more_requests_than_the_limit_that_it_named(
    vm_count: int, limit_per_s: float
) -> None:
    site = _limited_site(vm_count, limit_per_s)
    named_at_ms = site.now_ms
    _play(site, _LIMITED_MS, interval_ms=20)
    allowed = _MAX_RATIO * limit_per_s * _WINDOW_MS / 1_000 + _SLACK
    for name in ("e-0", "e-1"):
        assert _largest_window(site, name, named_at_ms) <= allowed
