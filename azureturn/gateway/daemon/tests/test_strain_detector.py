"""Tests of when a VM reports itself strained for lack of processor time."""

from collections.abc import Callable
from io import StringIO
from typing import Any

import pytest

from azureturn.gateway.daemon._strain_detector import StrainDetector
from azureturn.gateway.decisions import PeerReportReceived
from azureturn.gateway.decisions.tests.gateway_core_harness import (
    GatewayCoreHarness,
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
        self._site = GatewayCoreHarness(view(upstream("u1")))
        for number in range(peers):
            report = peer_report(f"vm-{number + 2}", strained=number < strained_peers)
            self._site.handle_event(PeerReportReceived(report), at_ms=now_ms())

    def inspect(self, reader: Callable[[Any], Any]) -> Any:
        return reader(self._site.core)


@pytest.mark.parametrize(
    ("lateness_ms", "expected"),
    [
        # Ticks of a healthy VM are less than a millisecond late, under bursts as well.
        ([1.0, 5.0], [False, False]),
        # A VM running at a fifth of its speed under a burst shows 14 ms after 0.7 s.
        ([0.5, 14.0, 35.0], [False, True, True]),
        # It stays strained until the lateness is below the lower threshold.
        ([14.0, 6.0, 2.0, 6.0], [True, True, False, False]),
    ],
    ids=["healthy", "slow", "recovered"],
)
def test_a_vm_with_late_ticks_is_strained(lateness_ms: list[float], expected: list[bool]) -> None:
    runtime = _Runtime(strained_peers=0, peers=5)
    detector = StrainDetector(runtime, _LOG, Metrics(None))  # type: ignore[arg-type]
    results = []
    for sample_ms in lateness_ms:
        runtime.lateness_ms = sample_ms
        results.append(detector.is_strained())
    assert results == expected


def test_a_vm_with_late_ticks_is_not_strained_if_too_many_others_are() -> None:
    runtime = _Runtime(strained_peers=2, peers=5)
    detector = StrainDetector(runtime, _LOG, Metrics(None))  # type: ignore[arg-type]
    runtime.lateness_ms = 50.0
    assert detector.is_strained() is True
    second_runtime = _Runtime(strained_peers=3, peers=5)
    second_runtime.lateness_ms = 50.0
    second_detector = StrainDetector(second_runtime, _LOG, Metrics(None))  # type: ignore[arg-type]
    assert second_detector.is_strained() is False
