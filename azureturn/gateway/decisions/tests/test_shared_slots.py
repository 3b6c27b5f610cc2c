"""Placement on upstreams that many VMs share, whose reports are old compared with a request."""

import random

import pytest

from azureturn.gateway.decisions import (
    AttemptEnded,
    AttemptResult,
    OutstandingWork,
    PeerReportReceived,
    SendAttempt,
)
from azureturn.gateway.decisions._tables import GatewayQueueTable
from azureturn.gateway.decisions.tests.gateway_core_harness import (
    GatewayCoreHarness,
    peer_report,
    upstream,
    view,
)
from azureturn.gateway.decisions.tests.simulated_speeds import SimulatedUpstream, SpeedSite

_SLOTS = 6
_PLAIN_UPSTREAMS = 4
#: Time after which the load has filled the upstreams.
_WARM_UP_MS = 1_500
_PLAY_MS = 1_500
#: Requests per second that one upstream can serve.
_ENGINE_CAPACITY = 10.3
_PLAIN_CAPACITY = 133


def _tokens(generator: random.Random) -> tuple[int, int]:
    prompt_tokens = min(20_000, int(generator.lognormvariate(7, 1)))
    return prompt_tokens, min(1_500, max(10, int(generator.lognormvariate(4.6, 0.8))))


def _played(vm_count: int, engine_count: int, load: float) -> SpeedSite:
    """Return a site after a while of a load; without engines it has a plain service."""
    count, queue_limit = (engine_count, 2) if engine_count else (_PLAIN_UPSTREAMS, 3)
    site = SpeedSite(
        vm_count=vm_count,
        upstreams=[SimulatedUpstream(f"u-{n}", _SLOTS, queue_limit) for n in range(count)],
        is_plain=not engine_count,
    )
    rate_per_s = load * count * (_ENGINE_CAPACITY if engine_count else _PLAIN_CAPACITY)
    site.play(_WARM_UP_MS, rate_per_s, _tokens)
    site.reset_counts()
    site.play(_PLAY_MS, rate_per_s, _tokens)
    return site


@pytest.mark.parametrize(
    ("vm_count", "engine_count", "load"), [(31, 24, 0.85), (31, 24, 1.3), (73, 56, 0.85)]
)
def test_engines_reject_few_requests_of_many_vms(
    vm_count: int, engine_count: int, load: float
) -> None:
    """At 73 VMs engines rejected 18 in 100 requests at a load of 0.85, and 41 at one of 1.3."""
    site = _played(vm_count, engine_count, load)
    assert site.rejected_share < 0.03
    served_per_s = site.results["answered"] / _PLAY_MS * 1_000
    assert served_per_s > 0.9 * min(1.0, load) * engine_count * _ENGINE_CAPACITY


def test_plain_upstreams_reject_few_requests_of_many_vms() -> None:
    """Every VM chose the upstream that was idle by the same reports; 7 in 100 were rejected."""
    assert _played(73, 0, 0.5).rejected_share < 0.03


def test_a_request_without_a_slot_does_not_keep_others_from_the_vms_own_slot() -> None:
    """A request that had tried the VM's own upstream could only borrow; all behind it waited."""
    names = [f"m-{number:02}" for number in range(20)]
    view_of_all = view(*(upstream(name, slots=1) for name in names))
    harness = GatewayCoreHarness(view_of_all, vm_name="vm-00")
    for number, name in enumerate(names[1:], 1):
        work = {name: OutstandingWork(1, 0)} if number > 1 else {}
        report = peer_report(f"vm-{number:02}", work=work)
        harness.handle_event(PeerReportReceived(report))
    assert _sent_to(harness.submit_request("first")) == ["m-00"]
    actions = harness.handle_event(AttemptEnded("first", AttemptResult.WITHHELD))
    assert not _sent_to(actions)
    assert _sent_to(harness.submit_request("second")) == ["m-00"]
    assert "first" in harness.core.board.table(GatewayQueueTable).of("models")


def _sent_to(actions: tuple[object, ...]) -> list[str]:
    return [action.upstream.name for action in actions if isinstance(action, SendAttempt)]
