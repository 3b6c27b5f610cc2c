"""Formal specifications of the core protocols, checked with the model checker ``minicheck``."""

from specification._registry import (
    SPECIFICATIONS,
    Mutation,
    Specification,
    specification,
)

__all__ = ["SPECIFICATIONS", "Mutation", "Specification", "specification"]
