"""Shares of organisations in a queue, and whose requests the expected wait counts."""

from dataclasses import replace

from azureturn.framework import Refuse
from azureturn.gateway.decisions import AttemptEnded, AttemptResult, SendAttempt
from azureturn.gateway.decisions.tests.gateway_core_harness import (
    STREAM_ROUTE,
    GatewayCoreHarness,
    upstream,
    view,
)
from azureturn.gateway.site import Prompt, PromptPart

_ROUTE = replace(STREAM_ROUTE, rank=2)


def _prompt(tokens: int, answer_tokens: int) -> Prompt:
    return Prompt("m", tokens, answer_tokens, answer_tokens, (PromptPart("p", tokens),))


class _BusySite:
    """A VM whose only engine has all slots taken, and ends one request at a time."""

    def __init__(self) -> None:
        self.vm = GatewayCoreHarness(view(upstream("m-1")))
        self.sent: list[str] = []
        self.refused: dict[str, str] = {}

    def submit(self, organisation: str, number: int, prompt: Prompt) -> None:
        request_id = f"{organisation}-{number}"
        actions = self.vm.submit_request(
            request_id, route=_ROUTE, organisation=organisation, prompt=prompt
        )
        self._apply(actions)

    def finish_one(self) -> None:
        request_id = self.sent[-4]
        self._apply(self.vm.handle_event(AttemptEnded(request_id, AttemptResult.ANSWERED)))

    def wait(self, time_ms: int) -> None:
        self._apply(self.vm.tick(self.vm.now_ms + time_ms))

    def _apply(self, actions: tuple[object, ...]) -> None:
        self.sent += [a.request_id for a in actions if isinstance(a, SendAttempt)]
        self.refused |= {a.request_id: a.detail for a in actions if isinstance(a, Refuse)}


def test_an_organisation_with_many_times_its_load_is_refused_and_others_are_not() -> None:
    """The expected wait counted the requests of all organisations, so that all were refused."""
    site = _BusySite()
    prompt = _prompt(500, 50)
    for number in range(200):
        for copy in range(10):
            site.submit("large", 10 * number + copy, prompt)
        if number % 4 == 0:
            site.submit("small", number, prompt)
        if len(site.sent) >= 4:
            site.finish_one()
        site.wait(50)
    refused = [request_id.partition("-")[0] for request_id in site.refused]
    assert refused.count("large") > 1_000
    assert refused.count("small") == 0


def test_organisations_share_an_engine_by_work() -> None:
    """With shares by count, the organisation with long requests got most of the engine's time."""
    site = _BusySite()
    for number in range(8):
        site.submit("first", number, _prompt(500, 50))
    for number in range(40):
        site.submit("long", number, _prompt(500, 400))
        site.submit("short", number, _prompt(500, 50))
    already_sent = len(site.sent)
    for _ in range(30):
        site.finish_one()
    served = [request_id.partition("-")[0] for request_id in site.sent[already_sent:]]
    assert served.count("short") >= 3 * served.count("long")
