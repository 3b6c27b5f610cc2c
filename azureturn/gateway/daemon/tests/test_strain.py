"""When a VM steps back for want of processor time."""

from collections.abc import Callable
from io import StringIO
from typing import Any

import pytest

from azureturn.gateway.daemon._strain import Strain
from azureturn.gateway.decisions import PeerReported
from azureturn.gateway.decisions.tests.gateway_site import (
    GatewaySite,
    peer_report,
    upstream,
    view,
)
from azureturn.observability import EventLog, Metrics
from azureturn.serving import now_ms

_LOG = EventLog.to_stream(StringIO(), vm="vm-1")


class _Runtime:
    """A runtime whose lateness the test sets."""

    def __init__(self, strained_peers: int, peers: int) -> None:
        self.lateness_ms = 0.0
        self._site = GatewaySite(view(upstream("u1")))
        for number in range(peers):
            report = peer_report(f"vm-{number + 2}", strained=number < strained_peers)
            self._site.tell(PeerReported(report), at_ms=now_ms())

    def inspect(self, reader: Callable[[Any], Any]) -> Any:
        return reader(self._site.core)


@pytest.mark.parametrize(
    ("lateness_ms", "expected"),
    [
        # Ticks of a VM that is well come less than a millisecond late, in bursts too.
        ([1.0, 5.0], [False, False]),
        # A VM at a fifth of its speed under a burst shows 14 ms after 0.7 s.
        ([0.5, 14.0, 35.0], [False, True, True]),
        # It stays away until it is well again.
        ([14.0, 6.0, 2.0, 6.0], [True, True, False, False]),
    ],
    ids=["well", "slow", "well again"],
)
def test_a_late_vm_steps_back(lateness_ms: list[float], expected: list[bool]) -> None:
    runtime = _Runtime(strained_peers=0, peers=5)
    strain = Strain(runtime, _LOG, Metrics(None))  # type: ignore[arg-type]
    found = []
    for one in lateness_ms:
        runtime.lateness_ms = one
        found.append(strain.is_strained())
    assert found == expected


def test_a_late_vm_stays_where_too_many_others_stepped_back() -> None:
    runtime = _Runtime(strained_peers=2, peers=5)
    strain = Strain(runtime, _LOG, Metrics(None))  # type: ignore[arg-type]
    runtime.lateness_ms = 50.0
    assert strain.is_strained() is True
    few = _Runtime(strained_peers=3, peers=5)
    few.lateness_ms = 50.0
    stays = Strain(few, _LOG, Metrics(None))  # type: ignore[arg-type]
    assert stays.is_strained() is False
