"""Upstreams that keep no request waiting and fall over if they have to reject many in a second."""

import pytest

from azureturn.gateway.decisions.tests.simulated_site import SimulatedSite

_CALM_MS = 3_000
_BRITTLE_MS = 15_000
_BURST_INTERVAL_MS = 1_000
#: Requests of a burst for each upstream, which has four slots.
_BURST_REQUESTS = 12
_REJECTIONS_LIMIT = 3
#: Bounds of the platform: from this time after upstreams have said that they are brittle, this
#: number of them and this share of their number may fall over.
_CONTACT_MS = 3_000
_MAX_FALLS = 2
_MAX_FALLS_SHARE = 0.1


def _play(site: SimulatedSite, duration_ms: int, burst_requests: int) -> None:
    """Send bursts of requests, at all VMs in turn, and single ones in between."""
    ends_at_ms = site.now_ms + duration_ms
    while site.now_ms < ends_at_ms:
        for _ in range(burst_requests):
            _send(site)
        for _ in range(20):
            site.run_until(site.now_ms + _BURST_INTERVAL_MS // 20)
            _send(site)


def _send(site: SimulatedSite) -> None:
    number = len(site.sent_at_ms)
    vm = number % len(site.vms)
    site.send(vm, f"r-{number}", "shared", f"topic-{number % 7}", f"own-{number}")


@pytest.mark.parametrize("vm_count", [1, 3, 6, 20])
@pytest.mark.parametrize("is_plain", [True, False], ids=["plain", "engines"])
def test_brittle_upstreams_do_not_fall_over(is_plain: bool, vm_count: int) -> None:
    engine_count = 3 if is_plain else 9
    site = SimulatedSite(
        vm_count=vm_count, engine_count=engine_count, is_plain=is_plain, answer_ms=(50, 300)
    )
    _play(site, _CALM_MS, 0)
    site.make_brittle(_REJECTIONS_LIMIT)
    brittle_from_ms = site.now_ms
    _play(site, _BRITTLE_MS, engine_count * _BURST_REQUESTS)
    falls = [crash for crash in site.crashes if crash.at_ms > brittle_from_ms + _CONTACT_MS]
    assert len(falls) <= _MAX_FALLS + _MAX_FALLS_SHARE * engine_count
    assert len(site.answered) >= 0.5 * len(site.sent_at_ms)
