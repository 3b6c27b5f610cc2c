"""Estimates of the work of requests, with the absurd numbers that callers may state."""

import pytest

from azureturn.gateway.decisions import request_work
from azureturn.gateway.decisions.tests.gateway_core_harness import STATUS_ROUTE, request
from azureturn.gateway.settings import EnginePolicy
from azureturn.gateway.site import Prompt

_ENGINE = EnginePolicy(
    prefill_tokens_per_ms=100, first_event_ms=50, ms_per_token=4, answer_tokens=300
)


@pytest.mark.parametrize(
    ("limit", "expected", "cached", "duration_ms"),
    [
        (500, 100, 0, 10 + 50 + 400),
        (500, 100, 600, 4 + 50 + 400),
        (80, 100, 0, 10 + 50 + 320),
        (0, 0, 0, 10 + 50 + 1_200),
        (0, 10**15, 10**15, 50 + 40_000_000),
    ],
    ids=["estimate", "cached", "estimate above maximum", "nothing stated", "absurd"],
)
def test_work_follows_what_callers_state(
    limit: int, expected: int, cached: int, duration_ms: float
) -> None:
    """One setting for all answers treated those of 20 and of 400 tokens as equal."""
    work = request_work(request("r", prompt=Prompt("m", 1_000, limit, expected)), _ENGINE, cached)
    assert work.duration_ms(1.0) == duration_ms
    assert work.duration_ms(2.8) == pytest.approx(2.8 * duration_ms)


def test_request_without_a_prompt_has_work_too() -> None:
    assert request_work(request("r", STATUS_ROUTE), _ENGINE, 0).duration_ms(1.0) == 50
