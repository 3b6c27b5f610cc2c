"""What is logged when a VM can connect to no upstream of a service, or hears nothing from any."""

from azureturn.gateway.decisions import (
    AttemptEnded,
    AttemptResult,
    FirstEventReceived,
    LogReachability,
    LogSilentUpstreams,
    UpstreamReconnected,
)
from azureturn.gateway.decisions.tests.gateway_core_harness import (
    GatewayCoreHarness,
    of_type,
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
    assert not of_type(harness.tick(5_700), LogSilentUpstreams)
    (silent,) = of_type(harness.tick(6_000), LogSilentUpstreams)
    assert silent == LogSilentUpstreams(attempts=1, upstreams=1, silent_ms=6_000, live_peers=0)
    harness.handle_event(FirstEventReceived("r1"), at_ms=6_100)
    assert not of_type(harness.tick(7_500), LogSilentUpstreams)
