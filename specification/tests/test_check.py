"""Tests that the check reports violated invariants, undetected mutations, incomplete searches."""

import pytest
from minicheck import Protocol

from specification import Mutation, Specification
from specification._check import check


def counter(limit: int, *, bound: int) -> Protocol:
    return Protocol(
        name="counter",
        candidate=False,
        fields=("n",),
        initial=(0,),
        transitions=lambda state: [("add", (state[0] + 1,))] if state[0] < limit else [],
        invariants={"bounded": lambda fields: fields["n"] <= bound},
    )


CASES = {
    "holds": (Specification(counter(3, bound=3)), None),
    "violated": (Specification(counter(3, bound=2)), "'bounded' is violated by"),
    "state limit reached": (
        Specification(counter(9, bound=9), max_states=4),
        "state space not fully explored",
    ),
    "mutation not detected": (
        Specification(counter(3, bound=3), {"none": Mutation(counter(3, bound=3), "bounded")}),
        "the mutation does not violate 'bounded'",
    ),
    "mutation detected": (
        Specification(counter(3, bound=3), {"more": Mutation(counter(4, bound=3), "bounded")}),
        None,
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_failures_are_reported(case: str) -> None:
    spec, expected = CASES[case]
    failures = [failure for check_result in check(case, spec) for failure in check_result.failures]
    assert bool(failures) == (expected is not None)
    assert expected is None or any(failure.startswith(expected) for failure in failures)


def test_states_and_depth_are_counted() -> None:
    (check_result,) = check("counter", Specification(counter(3, bound=3)))
    assert (check_result.states, check_result.depth) == (4, 3)
