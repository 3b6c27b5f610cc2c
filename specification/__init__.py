"""Formal specifications of the core protocols, checked with the model checker ``minicheck``.

A specification is a state machine with invariants. The model checker explores every state that the
steps can reach and reports the steps that lead to a violated invariant (the counterexample).
"""

from specification._registry import (
    SPECIFICATIONS,
    Mutation,
    Specification,
    specification,
)

__all__ = ["SPECIFICATIONS", "Mutation", "Specification", "specification"]
