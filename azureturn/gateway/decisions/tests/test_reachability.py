"""What is logged when a VM can connect to no upstream of a service, or hears nothing from any."""

import pytest

from azureturn.gateway.decisions import (
    AttemptEnded,
    AttemptResult,
    FirstEventReceived,
    LogReachability,
    LogSilentUpstreams,
    PeerReportReceived,
    ProbeConnection,
    SendAttempt,
    SendReport,
    UpstreamConnectionFailed,
    UpstreamReconnected,
    UpstreamSilent,
    ViewChanged,
)
from azureturn.gateway.decisions.tests.gateway_core_harness import (
    GatewayCoreHarness,
    of_type,
    peer_report,
    upstream,
    view,
)

_CHECK_MS = 300


def test_reaching_no_upstream_of_a_service_is_logged_at_its_begin_and_end() -> None:
    harness = GatewayCoreHarness(view(upstream("e-1"), upstream("d-1", "desk")))
    assert not of_type(harness.tick(harness.now_ms + _CHECK_MS), LogReachability)
    harness.submit_request("r1")
    harness.handle_event(AttemptEnded("r1", AttemptResult.UNREACHABLE))
    (lost,) = of_type(harness.tick(harness.now_ms + _CHECK_MS), LogReachability)
    assert lost == LogReachability("models", reachable=0, upstreams=1, live_peers=0)
    assert not of_type(harness.tick(harness.now_ms + _CHECK_MS), LogReachability)
    harness.handle_event(UpstreamReconnected("e-1"))
    (regained,) = of_type(harness.tick(harness.now_ms + _CHECK_MS), LogReachability)
    assert regained == LogReachability("models", reachable=1, upstreams=1, live_peers=0)


def test_silence_of_all_upstreams_is_logged_while_a_request_waits() -> None:
    harness = GatewayCoreHarness(view(upstream("e-1"), upstream("e-2")))
    harness.tick(5_000)
    harness.submit_request("r1")
    assert not of_type(harness.tick(5_500), LogSilentUpstreams)
    (silent,) = of_type(harness.tick(5_700), LogSilentUpstreams)
    assert silent == LogSilentUpstreams(attempts=1, upstreams=1, silent_ms=700, live_peers=0)
    harness.handle_event(FirstEventReceived("r1"), at_ms=5_800)
    assert not of_type(harness.tick(7_500), LogSilentUpstreams)


def test_silent_upstreams_are_asked_for_their_status() -> None:
    harness = _harness_of_five()
    harness.submit_request("r1")
    harness.tick(2_000)
    probes = of_type(harness.tick(2_300), ProbeConnection)
    assert [probe.status_path for probe in probes] == ["/status"] * 3  # type: ignore[attr-defined]


@pytest.mark.parametrize("failures", [2, 3])
def test_a_vm_whose_upstreams_are_all_silent_connects_through_a_peer(failures: int) -> None:
    harness = _harness_of_five()
    harness.handle_event(PeerReportReceived(peer_report("vm-2")))
    for number in range(failures):
        harness.handle_event(UpstreamSilent((f"e-{number}", 0)))
    is_isolated = failures == 3
    assert _is_relayed(harness.submit_request("r1")) is is_isolated
    (report,) = of_type(harness.tick(harness.now_ms + 200), SendReport)
    assert isinstance(report, SendReport)
    assert len(report.report.unreachable) == (5 if is_isolated else failures)


@pytest.mark.parametrize("has_responded", [True, False])
def test_a_vm_connects_directly_once_an_upstream_responds(has_responded: bool) -> None:
    harness = _harness_of_five()
    harness.handle_event(PeerReportReceived(peer_report("vm-2")))
    for number in range(4):
        harness.handle_event(UpstreamSilent((f"e-{number}", 0)))
    harness.handle_event(UpstreamReconnected("e-0", has_responded=has_responded))
    assert _is_relayed(harness.submit_request("r1")) is not has_responded


def test_an_isolated_vm_asks_upstreams_that_have_not_failed_for_their_status() -> None:
    """Three upstreams that end for good must not keep a VM from the others."""
    harness = _harness_of_five()
    harness.handle_event(PeerReportReceived(peer_report("vm-2")))
    for number in range(3):
        harness.handle_event(UpstreamConnectionFailed((f"e-{number}", 0)))
    assert _is_relayed(harness.submit_request("r1"))
    harness.handle_event(ViewChanged(view(upstream("e-3"), upstream("e-4"), revision=11)))
    (probe,) = of_type(harness.tick(harness.now_ms + 300), ProbeConnection)
    assert isinstance(probe, ProbeConnection)
    assert (probe.upstream.name in ("e-3", "e-4"), probe.status_path) == (True, "/status")
    harness.handle_event(UpstreamReconnected(probe.upstream.name, has_responded=True))
    assert not _is_relayed(harness.submit_request("r2"))


def _harness_of_five() -> GatewayCoreHarness:
    return GatewayCoreHarness(view(*(upstream(f"e-{number}") for number in range(5))))


def _is_relayed(actions: tuple[object, ...]) -> bool:
    (sent,) = [action for action in actions if isinstance(action, SendAttempt)]
    return sent.relay is not None
