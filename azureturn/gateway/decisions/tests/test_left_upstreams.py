"""Upstreams that leave while a VM cannot reach the store."""

import pytest

from azureturn.gateway.decisions.tests.simulated_site import SimulatedSite

_REQUEST_INTERVAL_MS = 10
_CALM_MS = 3_000
_CUT_MS = 5_000
#: Shortest time for which upstreams of the platform go on serving after they have left.
_DRAIN_MS = 2_000
#: Time in which peers' reports reach a VM that was cut off.
_SETTLED_MS = 300


def _play(site: SimulatedSite, duration_ms: int) -> None:
    """Send requests at all VMs in turn."""
    ends_at_ms = site.now_ms + duration_ms
    while site.now_ms < ends_at_ms:
        number = len(site.sent_at_ms)
        site.send(number % len(site.vms), f"r-{number}", "shared", f"own-{number}")
        site.run_until(site.now_ms + _REQUEST_INTERVAL_MS)


@pytest.mark.parametrize("cut_vms", [(0,), (0, 1, 2)], ids=str)
@pytest.mark.parametrize("lacks_peers", [False, True], ids=["store", "store and peers"])
def test_an_upstream_that_left_while_vms_were_cut_off_gets_no_request(
    cut_vms: tuple[int, ...], lacks_peers: bool
) -> None:
    site = SimulatedSite(vm_count=6, engine_count=9, answer_ms=(50, 300))
    _play(site, _CALM_MS)
    site.cut_off_from_store(*cut_vms)
    if lacks_peers:
        site.vms_without_peers.update(cut_vms)
    _play(site, _CUT_MS)
    site.unregister("e-0")
    left_at_ms = site.now_ms
    # The others know it at once; the VMs that were cut off do as soon as they read the store.
    _play(site, _DRAIN_MS)
    site.vms_without_peers.clear()
    site.reconnect_to_store(*cut_vms)
    _play(site, _DRAIN_MS + _CALM_MS)
    late = [
        arrival.at_ms - left_at_ms
        for arrival in site.arrivals
        if arrival.upstream == "e-0" and arrival.at_ms > left_at_ms + _DRAIN_MS + _SETTLED_MS
    ]
    assert not late
