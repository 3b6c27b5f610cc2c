"""Runs the model checker on a specification and its mutations."""

import time
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

from minicheck import Protocol, check_safety

from specification._registry import Mutation, Specification

State = tuple[Any, ...]


class _DepthTracker:
    """Wraps a protocol's transitions and records the depth of the breadth-first search.

    If ``stop_invariant`` names an invariant, the search ends at its first violation.
    """

    def __init__(self, protocol: Protocol, *, stop_invariant: str | None = None) -> None:
        self._protocol = protocol
        self._stop_check = protocol.invariants.get(stop_invariant)
        self._stopped = False
        self._depths: dict[State, int] = {protocol.initial: 0}
        self.depth = 0

    def protocol(self) -> Protocol:
        """Return the protocol with the tracked transitions."""
        return replace(self._protocol, transitions=self._transitions)

    def _transitions(self, state: State) -> list[tuple[str, State]]:
        if self._stopped:
            return []
        steps: list[tuple[str, State]] = self._protocol.transitions(state)
        successor_depth = self._depths[state] + 1
        for _, successor in steps:
            if successor not in self._depths:
                self._depths[successor] = successor_depth
                self.depth = successor_depth
                self._stopped = self._stopped or self._violates(successor)
        return steps

    def _violates(self, state: State) -> bool:
        return self._stop_check is not None and not self._stop_check(self._protocol.d(state))


@dataclass(frozen=True)
class CheckResult:
    """Result of one run of the model checker."""

    name: str
    #: Number of reachable states.
    states: int
    #: Number of steps to the states farthest from the initial state.
    depth: int
    duration_s: float
    #: One message for each unexpected result.
    failures: tuple[str, ...]

    @property
    def summary(self) -> str:
        """Return the result as one line of text."""
        outcome = "; ".join(self.failures) or "as expected"
        return (
            f"{self.name}: {self.states} states, depth {self.depth}, "
            f"{self.duration_s:.2f} s: {outcome}"
        )


def check(name: str, spec: Specification) -> Iterator[CheckResult]:
    """Check a specification and each of its mutations, and yield the results."""
    yield _run_check(name, spec.protocol, spec.max_states, _invariant_failures)
    for mutation_name, mutation in spec.mutations.items():
        yield _check_mutation(f"{name} with {mutation_name}", mutation, spec.max_states)


def _check_mutation(name: str, mutation: Mutation, max_states: int) -> CheckResult:
    def mutation_failures(properties: dict[str, Any]) -> Iterator[str]:
        if mutation.violated_invariant not in properties:
            yield f"no invariant is named '{mutation.violated_invariant}'"
        elif properties[mutation.violated_invariant]["holds"] is not False:
            yield f"the mutation does not violate '{mutation.violated_invariant}'"

    return _run_check(
        name,
        mutation.protocol,
        max_states,
        mutation_failures,
        stop_invariant=mutation.violated_invariant,
    )


def _invariant_failures(properties: dict[str, Any]) -> Iterator[str]:
    for name, result in properties.items():
        if result["holds"] is None:
            yield f"'{name}' is undecided: {result['reason']}"
        elif not result["holds"]:
            steps = " > ".join(str(step["label"]) for step in result["counterexample"])
            yield f"'{name}' is violated by {steps}"


def _run_check(
    name: str,
    protocol: Protocol,
    max_states: int,
    find_failures: Any,
    *,
    stop_invariant: str | None = None,
) -> CheckResult:
    tracker = _DepthTracker(protocol, stop_invariant=stop_invariant)
    started_s = time.perf_counter()
    result = check_safety(tracker.protocol(), max_states=max_states)
    duration_s = time.perf_counter() - started_s
    failures = list(find_failures(result["properties"]))
    if not result["exhaustive"]:
        failures.append(f"state space not fully explored: {result['incomplete_reason']}")
    return CheckResult(name, result["reachable_states"], tracker.depth, duration_s, tuple(failures))
