"""The speed at which a service's engines prefill prompts is learned from first events."""

import pytest

from azureturn.gateway.decisions._prefill_speed import PrefillSpeed
from azureturn.gateway.settings import EnginePolicy

_ENGINE = EnginePolicy(prefill_tokens_per_ms=100.0, first_event_ms=50.0)


def _speed(tokens_per_ms: float, *, slowdown: float = 1.0, prompts: int = 40) -> PrefillSpeed:
    speed = PrefillSpeed()
    for number in range(prompts):
        tokens = 2_000 + 500 * (number % 8)
        waited_ms = 200.0 * (number % 3)
        took_ms = waited_ms + (tokens / tokens_per_ms + _ENGINE.first_event_ms) * slowdown
        speed.record(tokens, took_ms, _ENGINE, slowdown=slowdown)
    return speed


@pytest.mark.parametrize("slowdown", [0.55, 1.0, 2.8])
@pytest.mark.parametrize("tokens_per_ms", [56.6, 101.0, 160.0])
def test_the_speed_is_learned_from_prompts_of_which_some_waited(
    tokens_per_ms: float, slowdown: float
) -> None:
    """At half of the configured speed, pauses by long prompts were expected to be half as long."""
    learned = _speed(tokens_per_ms, slowdown=slowdown).applied_to(_ENGINE)
    assert learned.prefill_tokens_per_ms == pytest.approx(tokens_per_ms, rel=0.02)
    assert learned.ms_per_token == _ENGINE.ms_per_token


@pytest.mark.parametrize(("tokens_per_ms", "learned"), [(0.001, 20.0), (1e9, 500.0)])
def test_absurd_times_do_not_move_the_speed_out_of_its_bounds(
    tokens_per_ms: float, learned: float
) -> None:
    assert _speed(tokens_per_ms).applied_to(_ENGINE).prefill_tokens_per_ms == learned


def test_few_or_short_prompts_change_nothing() -> None:
    speed = _speed(56.6, prompts=7)
    for _ in range(20):
        speed.record(1_999, 2_000.0, _ENGINE, slowdown=1.0)
    assert speed.applied_to(_ENGINE) is _ENGINE
