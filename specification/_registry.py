"""Registry of the specifications by name."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from minicheck import Protocol


@dataclass(frozen=True)
class Mutation:
    """A protocol with one safeguard disabled, and the invariant that must then be violated."""

    protocol: Protocol
    #: Name of the invariant that the model checker must report as violated.
    violated_invariant: str


@dataclass(frozen=True)
class Specification:
    """A protocol with its invariants, and mutations that show that the check detects violations."""

    protocol: Protocol
    mutations: Mapping[str, Mutation] = field(default_factory=dict)
    #: The check fails if it reaches this many states: the state space was then not fully explored,
    #: so the invariants are not proved.
    max_states: int = 500_000


SpecificationFactory = Callable[[], Specification]

SPECIFICATIONS: dict[str, SpecificationFactory] = {}


def specification(name: str) -> Callable[[SpecificationFactory], SpecificationFactory]:
    """Register a function that builds a specification.

    >>> @specification("example")  # doctest: +SKIP
    ... def example() -> Specification:
    ...     return Specification(Protocol(...), mutations={"no check": Mutation(..., "one run")})
    """

    def register(factory: SpecificationFactory) -> SpecificationFactory:
        SPECIFICATIONS[name] = factory
        return factory

    return register
