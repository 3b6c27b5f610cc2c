"""The runner of specifications tells of what is violated, not caught, or not explored."""

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
    "bound hit": (Specification(counter(9, bound=9), max_states=4), "a bound was hit"),
    "mutation not caught": (
        Specification(counter(3, bound=3), {"none": Mutation(counter(3, bound=3), "bounded")}),
        "the mutation does not break 'bounded'",
    ),
    "mutation caught": (
        Specification(counter(3, bound=3), {"more": Mutation(counter(4, bound=3), "bounded")}),
        None,
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_faults_are_told(case: str) -> None:
    one, expected = CASES[case]
    faults = [fault for finding in check(case, one) for fault in finding.faults]
    assert bool(faults) == (expected is not None)
    assert expected is None or any(fault.startswith(expected) for fault in faults)


def test_states_and_depth_are_counted() -> None:
    (finding,) = check("counter", Specification(counter(3, bound=3)))
    assert (finding.states, finding.depth) == (4, 3)
