"""VMs that reach no upstream, while callers, the store and their peers reach them."""

import pytest

from azureturn.gateway.decisions.tests.simulated_site import SimulatedSite
from azureturn.gateway.decisions.tests.simulated_upstreams import Cut

_REQUEST_INTERVAL_MS = 20
_CALM_MS = 3_000
_CUT_MS = 12_000
#: Bounds of the platform: from this time after the beginning of a cut, callers' first attempts at
#: the VMs that are cut off are served at least so often in comparison with the others.
_CONTACT_MS = 3_000
_MIN_SERVED_RATIO = 2 / 3
_ANSWERED_WITHIN_MS = 2_000


def _play(site: SimulatedSite, duration_ms: int) -> None:
    """Send requests at all VMs in turn."""
    ends_at_ms = site.now_ms + duration_ms
    while site.now_ms < ends_at_ms:
        number = len(site.sent_at_ms)
        vm = number % len(site.vms)
        site.send(vm, f"{vm}-{number}", "shared", f"topic-{number % 7}", f"own-{number}")
        site.run_until(site.now_ms + _REQUEST_INTERVAL_MS)


def _served_share(site: SimulatedSite, vms: set[int], from_ms: int, until_ms: int) -> float:
    """Return the share of the requests sent at these VMs in a time that were answered."""
    sent = [
        request_id
        for request_id, at_ms in site.sent_at_ms.items()
        if int(request_id.partition("-")[0]) in vms and from_ms <= at_ms < until_ms
    ]
    return sum(request_id in site.answered for request_id in sent) / len(sent)


def _site(vm_count: int, *, is_plain: bool) -> SimulatedSite:
    return SimulatedSite(
        vm_count=vm_count, engine_count=3 if is_plain else 9, is_plain=is_plain, answer_ms=(50, 300)
    )


_CUT_VMS = [
    pytest.param(6, {0}, id="one of six"),
    pytest.param(6, {0, 1, 2}, id="three of six"),
    pytest.param(6, {0, 1, 2, 3, 4}, id="five of six"),
    pytest.param(20, set(range(7)), id="seven of twenty"),
]


@pytest.mark.parametrize("cut", list(Cut))
@pytest.mark.parametrize(("vm_count", "cut_vms"), _CUT_VMS)
@pytest.mark.parametrize("is_plain", [True, False], ids=["plain", "engines"])
def test_vms_that_reach_no_upstream_serve_callers_as_often_as_the_others(
    is_plain: bool, vm_count: int, cut_vms: set[int], cut: Cut
) -> None:
    site = _site(vm_count, is_plain=is_plain)
    _play(site, _CALM_MS)
    site.cut_off(cut, *cut_vms)
    from_ms, until_ms = site.now_ms + _CONTACT_MS, site.now_ms + _CUT_MS
    _play(site, _CUT_MS + _ANSWERED_WITHIN_MS)
    served = _served_share(site, cut_vms, from_ms, until_ms)
    others = _served_share(site, set(range(vm_count)) - cut_vms, from_ms, until_ms)
    assert served >= _MIN_SERVED_RATIO * others
    assert others > 0


@pytest.mark.parametrize("cut", list(Cut))
def test_a_zone_that_reaches_none_of_many_upstreams_serves_callers(cut: Cut) -> None:
    """Few requests and many upstreams: most are not tried during the cut."""
    site = SimulatedSite(vm_count=30, engine_count=50, answer_ms=(50, 300), zones=("a", "b", "c"))
    zone_a = set(range(0, 30, 3))
    _play(site, _CALM_MS)
    site.cut_off(cut, *zone_a)
    from_ms, until_ms = site.now_ms + _CONTACT_MS, site.now_ms + _CUT_MS
    _play(site, _CUT_MS + _ANSWERED_WITHIN_MS)
    served = _served_share(site, zone_a, from_ms, until_ms)
    others = _served_share(site, set(range(30)) - zone_a, from_ms, until_ms)
    assert served >= _MIN_SERVED_RATIO * others


@pytest.mark.parametrize("cut", list(Cut))
def test_vms_that_reach_upstreams_again_serve_callers(cut: Cut) -> None:
    site = _site(6, is_plain=False)
    _play(site, _CALM_MS)
    site.cut_off(cut, 0, 1, 2)
    _play(site, _CUT_MS)
    site.reconnect()
    from_ms = site.now_ms + _CONTACT_MS
    _play(site, 2 * _CONTACT_MS)
    served = _served_share(site, {0, 1, 2}, from_ms, site.now_ms - _ANSWERED_WITHIN_MS)
    assert served >= _MIN_SERVED_RATIO
