"""The specifications by name; a decorator registers each."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from minicheck import Protocol


@dataclass(frozen=True)
class Mutation:
    """A specification with one safeguard taken out, and the invariant that must then fail."""

    protocol: Protocol
    #: Name of the invariant that the model checker must find violated.
    breaks: str


@dataclass(frozen=True)
class Specification:
    """A protocol with its invariants, and the mutations that show each invariant at work."""

    protocol: Protocol
    mutations: Mapping[str, Mutation] = field(default_factory=dict)
    #: Reaching this many states counts as a failure, since nothing would be proved.
    max_states: int = 500_000


SpecificationFactory = Callable[[], Specification]

SPECIFICATIONS: dict[str, SpecificationFactory] = {}


def specification(name: str) -> Callable[[SpecificationFactory], SpecificationFactory]:
    """Register a function that makes a specification.

    >>> @specification("example")  # doctest: +SKIP
    ... def example() -> Specification:
    ...     return Specification(Protocol(...), mutations={"no check": Mutation(..., "one run")})
    """

    def register(factory: SpecificationFactory) -> SpecificationFactory:
        SPECIFICATIONS[name] = factory
        return factory

    return register
