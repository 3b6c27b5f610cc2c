"""Which requests that wait are refused in a planned stop, and when.

Guards against LOST (review/12): requests that the stop left no time for waited until its end.
"""

from dataclasses import replace

import pytest

from azureturn.errors import STOPPING_RETRY_AFTER_MS, ErrorKind, RunState
from azureturn.framework import Action, Refuse
from azureturn.gateway.decisions import (
    AttemptEnded,
    AttemptResult,
    ReturnLastResult,
    SendAttempt,
    VmLeaving,
)
from azureturn.gateway.decisions.tests.gateway_core_harness import (
    STATUS_ROUTE,
    GatewayCoreHarness,
    of_type,
    upstream,
    view,
)

#: Requests that the only upstream of one slot is sent at the same time.
_AT_UPSTREAM = 3
_ROUTE = replace(STATUS_ROUTE, timeout_ms=600_000, objective_ms=60_000)
_TICK_MS = 50


class _Site:
    """A VM with plain upstreams, which end a request every ``interval_ms``."""

    def __init__(self, *upstreams: str, interval_ms: int = 500) -> None:
        names = upstreams or ("desk-1",)
        registered = [upstream(name, "desk", slots=1) for name in names]
        self.vm = GatewayCoreHarness(view(*registered))
        self.sent: list[str] = []
        self.refused: dict[str, Refuse] = {}
        self.returned: list[str] = []
        self._interval_ms = interval_ms
        self.answered = 0

    def submit(self, *request_ids: str) -> None:
        for request_id in request_ids:
            self._apply(self.vm.submit_request(request_id, route=_ROUTE))

    def run(self, duration_ms: int) -> None:
        ends_at_ms = self.vm.now_ms + duration_ms
        while self.vm.now_ms < ends_at_ms:
            self._apply(self.vm.tick(self.vm.now_ms + _TICK_MS))
            if self.vm.now_ms % self._interval_ms == 0:
                self.end_first(AttemptResult.ANSWERED)

    def end_first(self, result: AttemptResult) -> None:
        if self.answered < len(self.sent):
            ended = AttemptEnded(self.sent[self.answered], result, answering_ms=0)
            self.answered += 1
            self._apply(self.vm.handle_event(ended))

    def stop(self, *, in_ms: int) -> None:
        self._apply(self.vm.handle_event(VmLeaving(self.vm.now_ms + in_ms)))

    def _apply(self, actions: tuple[Action, ...]) -> None:
        self.sent += [row.request_id for row in actions if isinstance(row, SendAttempt)]
        refusals = [row for row in actions if isinstance(row, Refuse)]
        self.refused.update({row.request_id: row for row in refusals})
        self.returned += [row.request_id for row in actions if isinstance(row, ReturnLastResult)]


def _names(count: int, first: int = 0) -> list[str]:
    return [f"r-{number:02}" for number in range(first, first + count)]


def test_requests_that_can_be_answered_before_the_stop_ends_are() -> None:
    site = _Site()
    site.submit(*_names(12))
    site.run(3_000)
    site.stop(in_ms=7_300)
    site.run(7_300)
    assert sorted(site.sent) == _names(12)
    assert not site.refused


def test_requests_that_cannot_be_placed_before_the_stop_ends_are_refused_at_once() -> None:
    site = _Site()
    site.submit(*_names(60))
    site.run(3_000)
    site.stop(in_ms=7_300)
    # Two a second: more than twice as many as could be placed wait.
    assert set(_names(26, first=34)) <= set(site.refused)
    assert not set(_names(20)) & set(site.refused)
    for refusal in site.refused.values():
        assert refusal.kind is ErrorKind.STOPPING
        assert refusal.run_state is RunState.NOT_RUN
        assert refusal.retry_after_ms == STOPPING_RETRY_AFTER_MS


def test_no_request_is_sent_whose_answer_would_not_end_before_the_stop_does() -> None:
    site = _Site()
    site.submit(*_names(60))
    site.run(3_000)
    site.stop(in_ms=7_300)
    site.run(7_300)
    assert site.answered == len(site.sent)
    assert len(site.sent) + len(site.refused) == 60
    # Two a second, until the time that the last three take at the upstream is left.
    assert len(site.sent) >= 2 * (3.0 + 7.3) - 2


@pytest.mark.parametrize("waits_ms", [0, 1_500], ids=["nothing waited", "not for long"])
def test_without_a_measured_rate_no_request_is_refused_early(waits_ms: int) -> None:
    site = _Site(interval_ms=1_000_000)
    site.submit(*_names(_AT_UPSTREAM))
    site.run(5_000)
    site.submit(*_names(5, first=_AT_UPSTREAM))
    site.run(waits_ms)
    site.stop(in_ms=7_300)
    assert not site.refused


def test_a_request_that_has_run_gets_its_last_result() -> None:
    site = _Site("desk-1", "desk-2")
    site.submit(*_names(2 * _AT_UPSTREAM))
    site.run(200)
    site.stop(in_ms=100)
    site.submit("late")
    # The answers have taken longer than what is left, so that nothing is sent any more.
    site.run(200)
    site.end_first(AttemptResult.ANSWERED)
    site.end_first(AttemptResult.FAILED)
    assert site.returned == [site.sent[1]]
    assert list(site.refused) == ["late"]


def test_a_request_that_arrives_during_the_stop_is_refused_if_it_cannot_be_placed() -> None:
    site = _Site()
    site.submit(*_names(60))
    site.run(3_000)
    site.stop(in_ms=7_300)
    refused = len(site.refused)
    site.submit("new")
    assert "new" in site.refused
    assert len(site.refused) == refused + 1
    assert not of_type(site.vm.tick(site.vm.now_ms + 1), SendAttempt)
