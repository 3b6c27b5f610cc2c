"""Requests that end each upstream that begins to run them and that callers send repeatedly."""

import pytest

from azureturn.errors import ErrorKind
from azureturn.gateway.decisions.tests.simulated_site import SimulatedSite

_SOUND_INTERVAL_MS = 40
_CALM_MS = 4_000
_CRASHING_MS = 24_000
_COUNTED_CRASHES = 3
#: Bounds of the platform: later than this time after the third crash under a request, it may reach
#: upstreams so many times more.
_CONTACT_MS = 3_000
_MAX_LATER_ARRIVALS = 3
#: Sound requests are to be answered by their first attempt at least half as often as before, from
#: twice the contact time after the third crash on.
_MIN_FIRST_ATTEMPT_RATIO = 0.5


class _Callers:
    """Sends sound requests at all VMs in turn, and crashing ones among them."""

    def __init__(self, site: SimulatedSite, *, crashing_interval_ms: int = 700) -> None:
        self._site = site
        self._crashing_interval_ms = crashing_interval_ms
        self._crashing_sent = 0

    def play(self, duration_ms: int, *crashing_digests: str) -> None:
        """Send requests for some time; the crashing ones take turns."""
        site = self._site
        ends_at_ms = site.now_ms + duration_ms
        next_crashing_ms = site.now_ms
        while site.now_ms < ends_at_ms:
            number = len(site.sent_at_ms)
            vm = number % len(site.vms)
            if crashing_digests and site.now_ms >= next_crashing_ms:
                next_crashing_ms += self._crashing_interval_ms
                self._send_crashing(crashing_digests)
            site.send(vm, f"sound-{number}", "shared", f"topic-{number % 7}", f"own-{number}")
            site.run_until(site.now_ms + _SOUND_INTERVAL_MS)

    def _send_crashing(self, digests: tuple[str, ...]) -> None:
        number = self._crashing_sent
        self._crashing_sent += 1
        digest = digests[number % len(digests)]
        vm = number % len(self._site.vms)
        request_id = f"crashing-{number}"
        self._site.send(vm, request_id, "shared", "topic-1", f"own {digest}", digest=digest)


def _late_arrivals(site: SimulatedSite, digest: str) -> int:
    """Return how often a request reached upstreams too late after the third crash under it."""
    crashed_under = [crash.at_ms for crash in site.crashes if digest in crash.digests]
    if len(crashed_under) < _COUNTED_CRASHES:
        return 0
    limit_from_ms = crashed_under[_COUNTED_CRASHES - 1] + _CONTACT_MS
    return sum(row.at_ms > limit_from_ms for row in site.arrivals_of(digest))


def _site(*digests: str, vm_count: int, is_plain: bool, seed: int = 1) -> SimulatedSite:
    return SimulatedSite(
        vm_count=vm_count,
        engine_count=3 if is_plain else 9,
        crashing_digests=digests,
        is_plain=is_plain,
        seed=seed,
    )


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("vm_count", [1, 6, 20])
@pytest.mark.parametrize("is_plain", [True, False], ids=["plain", "engines"])
def test_a_request_that_ended_three_upstreams_ends_no_more_of_them(
    is_plain: bool, vm_count: int, seed: int
) -> None:
    site = _site("bad", vm_count=vm_count, is_plain=is_plain, seed=seed)
    callers = _Callers(site)
    callers.play(_CALM_MS)
    calm_share = site.first_attempt_share("sound", 0)
    callers.play(_CRASHING_MS, "bad")
    assert _late_arrivals(site, "bad") <= _MAX_LATER_ARRIVALS
    settled_from_ms = site.now_ms - _CRASHING_MS + 3 * _CONTACT_MS
    share = site.first_attempt_share("sound", settled_from_ms)
    assert share >= _MIN_FIRST_ATTEMPT_RATIO * calm_share


@pytest.mark.parametrize("is_plain", [True, False], ids=["plain", "engines"])
def test_several_requests_at_once_that_end_upstreams_are_all_recognised(is_plain: bool) -> None:
    digests = [f"bad-{number}" for number in range(5)]
    site = _site(*digests, vm_count=6, is_plain=is_plain)
    callers = _Callers(site)
    callers.play(_CALM_MS)
    callers.play(2 * _CRASHING_MS, *digests)
    assert max(_late_arrivals(site, digest) for digest in digests) <= _MAX_LATER_ARRIVALS


@pytest.mark.parametrize("is_plain", [True, False], ids=["plain", "engines"])
def test_restarted_vms_send_no_request_again_that_had_ended_upstreams(is_plain: bool) -> None:
    site = _site("bad", vm_count=3, is_plain=is_plain)
    callers = _Callers(site)
    callers.play(_CALM_MS)
    callers.play(_CRASHING_MS, "bad")
    before = len(site.arrivals_of("bad"))
    for vm in range(3):
        site.restart_vm(vm)
    callers.play(_CALM_MS, "bad")
    assert len(site.arrivals_of("bad")) == before


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("is_plain", [True, False], ids=["plain", "engines"])
def test_no_sound_request_is_refused_for_the_ends_of_upstreams(is_plain: bool, seed: int) -> None:
    site = _site("bad", vm_count=3, is_plain=is_plain, seed=seed)
    callers = _Callers(site, crashing_interval_ms=300)
    callers.play(_CALM_MS)
    callers.play(_CRASHING_MS, "bad")
    quarantined = {
        request_id
        for request_id, refusal in site.refused.items()
        if refusal.kind is ErrorKind.REQUEST_QUARANTINED
    }
    assert quarantined
    assert not [request_id for request_id in quarantined if request_id.startswith("sound")]
