"""Checks one specification and its mutations, and says what was explored."""

import time
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

from minicheck import Protocol, check_safety

from specification._registry import Mutation, Specification

State = tuple[Any, ...]


class _DepthMeter:
    """Passes transitions through and notes how deep the breadth-first search has come.

    With the name of an invariant, nothing is explored beyond its first violation.
    """

    def __init__(self, protocol: Protocol, *, stops_at: str | None = None) -> None:
        self._protocol = protocol
        self._stopper = protocol.invariants.get(stops_at)
        self._stopped = False
        self._depths: dict[State, int] = {protocol.initial: 0}
        self.depth = 0

    def protocol(self) -> Protocol:
        """Return the protocol as the checker is to see it."""
        return replace(self._protocol, transitions=self._transitions)

    def _transitions(self, state: State) -> list[tuple[str, State]]:
        if self._stopped:
            return []
        steps: list[tuple[str, State]] = self._protocol.transitions(state)
        next_depth = self._depths[state] + 1
        for _, following in steps:
            if following not in self._depths:
                self._depths[following] = next_depth
                self.depth = next_depth
                self._stopped = self._stopped or self._violates(following)
        return steps

    def _violates(self, state: State) -> bool:
        return self._stopper is not None and not self._stopper(self._protocol.d(state))


@dataclass(frozen=True)
class Finding:
    """What one run of the model checker showed."""

    name: str
    states: int
    depth: int
    took_s: float
    #: One line for each thing that is not as it should be.
    faults: tuple[str, ...]

    @property
    def line(self) -> str:
        """Return the finding as one line of text."""
        verdict = "; ".join(self.faults) or "as expected"
        return (
            f"{self.name}: {self.states} states, depth {self.depth}, "
            f"{self.took_s:.2f} s: {verdict}"
        )


def check(name: str, one: Specification) -> Iterator[Finding]:
    """Yield the finding of a specification and of each of its mutations."""
    yield _explore(name, one.protocol, one.max_states, _unexpected)
    for mutation_name, mutation in one.mutations.items():
        yield _check_mutation(f"{name} with {mutation_name}", mutation, one.max_states)


def _check_mutation(name: str, mutation: Mutation, max_states: int) -> Finding:
    def uncaught(properties: dict[str, Any]) -> Iterator[str]:
        if mutation.breaks not in properties:
            yield f"no invariant is called '{mutation.breaks}'"
        elif properties[mutation.breaks]["holds"] is not False:
            yield f"the mutation does not break '{mutation.breaks}'"

    return _explore(name, mutation.protocol, max_states, uncaught, stops_at=mutation.breaks)


def _unexpected(properties: dict[str, Any]) -> Iterator[str]:
    for name, verdict in properties.items():
        if verdict["holds"] is None:
            yield f"'{name}' is undecided: {verdict['reason']}"
        elif not verdict["holds"]:
            steps = " > ".join(str(step["label"]) for step in verdict["counterexample"])
            yield f"'{name}' is violated by {steps}"


def _explore(
    name: str, protocol: Protocol, max_states: int, judge: Any, *, stops_at: str | None = None
) -> Finding:
    meter = _DepthMeter(protocol, stops_at=stops_at)
    started_s = time.perf_counter()
    result = check_safety(meter.protocol(), max_states=max_states)
    took_s = time.perf_counter() - started_s
    faults = list(judge(result["properties"]))
    if not result["exhaustive"]:
        faults.append(f"a bound was hit: {result['incomplete_reason']}")
    return Finding(name, result["reachable_states"], meter.depth, took_s, tuple(faults))
