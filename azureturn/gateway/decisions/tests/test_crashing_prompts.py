"""Requests with a prompt part that ends each engine that begins to answer them."""

import pytest

from azureturn.gateway.decisions.tests.simulated_site import SimulatedSite

_SOUND_INTERVAL_MS = 40
#: One request in so many has the crashing part.
_CRASHING_RATIO = 5
_CALM_MS = 4_000
_CRASHING_MS = 16_000
_COUNTED_CRASHES = 5
#: Bounds of the platform: later than this time after the fifth crash, at most so many further
#: requests with the part may reach engines, and after twice this time sound requests are answered
#: by their first attempt at least half as often as before.
_CONTACT_MS = 3_000
_MAX_LATER_ARRIVALS = 3
_MIN_FIRST_ATTEMPT_RATIO = 0.5

_CRASHING_PROMPTS = [
    ("shared", "crashing"),
    ("shared", "topic-1", "crashing"),
    ("crashing", "topic-1"),
]


def _play(site: SimulatedSite, duration_ms: int, *crashing_parts: str) -> None:
    """Send sound requests at all VMs in turn, and among them some with ``crashing_parts``."""
    ends_at_ms = site.now_ms + duration_ms
    while site.now_ms < ends_at_ms:
        number = len(site.sent_at_ms)
        own_part = f"own-{number}"
        if crashing_parts and number % _CRASHING_RATIO == 0:
            vm = number // _CRASHING_RATIO % len(site.vms)
            site.send(vm, f"crashing-{number}", *crashing_parts, own_part)
        else:
            vm = number % len(site.vms)
            site.send(vm, f"sound-{number}", "shared", f"topic-{number % 7}", own_part)
        site.run_until(site.now_ms + _SOUND_INTERVAL_MS)


def _fifth_crash_ms(site: SimulatedSite) -> int:
    """Return the time of the fifth crash, or of the last one if there were fewer."""
    return site.crashes[:_COUNTED_CRASHES][-1].at_ms


@pytest.mark.parametrize("vm_count", [1, 6])
@pytest.mark.parametrize("crashing_parts", _CRASHING_PROMPTS, ids="+".join)
def test_a_prompt_part_that_ended_five_engines_ends_no_more_of_them(
    vm_count: int, crashing_parts: tuple[str, ...]
) -> None:
    site = SimulatedSite(vm_count=vm_count, engine_count=9, crashing_part="crashing")
    _play(site, _CALM_MS)
    calm_share = site.first_attempt_share("sound", 0)
    _play(site, _CRASHING_MS, *crashing_parts)
    limit_from_ms = _fifth_crash_ms(site) + _CONTACT_MS
    later = site.arrivals_with("crashing", after_ms=limit_from_ms)
    assert len(later) <= _MAX_LATER_ARRIVALS
    share = site.first_attempt_share("sound", limit_from_ms + _CONTACT_MS)
    assert share >= _MIN_FIRST_ATTEMPT_RATIO * calm_share
    assert {change.traits for change in site.quarantine_changes} == {frozenset({"crashing"})}


@pytest.mark.parametrize("vm_count", [1, 6])
def test_a_crashing_part_is_recognised_beside_other_parts_than_before(vm_count: int) -> None:
    site = SimulatedSite(vm_count=vm_count, engine_count=9, crashing_part="crashing")
    _play(site, _CALM_MS)
    _play(site, _CALM_MS, "rare-1", "crashing")
    limit_from_ms = _fifth_crash_ms(site) + _CONTACT_MS
    _play(site, _CALM_MS, "rare-1", "crashing")
    _play(site, _CALM_MS, "rare-2", "crashing")
    _play(site, _CALM_MS, "crashing", "rare-3")
    later = site.arrivals_with("crashing", after_ms=limit_from_ms)
    assert len(later) <= _MAX_LATER_ARRIVALS


def _site_with_quarantine(vm_count: int) -> SimulatedSite:
    """Return a site on which the part "crashing" has been put into quarantine."""
    site = SimulatedSite(vm_count=vm_count, engine_count=9, crashing_part="crashing")
    _play(site, _CALM_MS)
    _play(site, _CALM_MS, "shared", "crashing")
    assert site.quarantine_changes
    return site


def test_restarted_vms_send_no_quarantined_prompt_to_engines() -> None:
    site = _site_with_quarantine(vm_count=3)
    for vm in range(3):
        site.restart_vm(vm)
    _play(site, _CALM_MS, "shared", "crashing")
    assert not site.arrivals_with("crashing", after_ms=site.now_ms - _CALM_MS)


@pytest.mark.parametrize("link", ["vms_without_peers", "vms_without_store"])
def test_a_vm_learns_of_a_quarantine_from_the_store_or_from_its_peers(link: str) -> None:
    site = SimulatedSite(vm_count=3, engine_count=9, crashing_part="crashing")
    getattr(site, link).add(2)
    _play(site, _CALM_MS, "shared", "crashing")
    limit_from_ms = _fifth_crash_ms(site) + _CONTACT_MS
    _play(site, _CALM_MS, "shared", "crashing")
    assert len(site.arrivals_with("crashing", after_ms=limit_from_ms)) <= _MAX_LATER_ARRIVALS


def test_one_request_a_trial_is_sent_while_the_prompt_is_in_quarantine() -> None:
    site = _site_with_quarantine(vm_count=3)
    quarantined_at_ms = site.now_ms
    _play(site, 40_000, "shared", "crashing")
    assert len(site.arrivals_with("crashing", after_ms=quarantined_at_ms)) == 1


def test_a_prompt_is_released_when_its_trial_is_answered() -> None:
    site = _site_with_quarantine(vm_count=3)
    site.repair_engines()
    _play(site, 40_000, "shared", "crashing")
    assert [change.outcome for change in site.quarantine_changes[-3:]] == ["cleared"] * 3
    assert site.arrivals_with("crashing", after_ms=site.now_ms - 1_000)


@pytest.mark.parametrize(
    ("count", "interval_ms"), [(1, 1_500), (2, 2_500), (9, 6_000)], ids=["single", "pairs", "all"]
)
@pytest.mark.parametrize("seed", range(3))
def test_engines_that_end_from_outside_put_no_prompt_into_quarantine(
    count: int, interval_ms: int, seed: int
) -> None:
    site = SimulatedSite(vm_count=3, engine_count=9, seed=seed)
    for _ in range(6):
        _play(site, interval_ms)
        site.crash_engines(count)
    _play(site, _CALM_MS)
    assert not site.quarantine_changes
