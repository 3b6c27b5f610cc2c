"""Candidate filters: remove the upstreams that must not receive a request."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from azureturn.core._requests import Request
from azureturn.core._upstreams import Upstream
from azureturn.framework import Blackboard, RestrictedBlackboard

#: Returns the candidates that may receive the request, in their original order.
FilterFunction = Callable[[Request, Sequence[Upstream], RestrictedBlackboard], Sequence[Upstream]]


@dataclass(frozen=True)
class CandidateFilter:
    """A registered filter and the tables that it reads."""

    name: str
    reads: tuple[type[object], ...]
    function: FilterFunction


CANDIDATE_FILTERS: dict[str, CandidateFilter] = {}


def candidate_filter(
    name: str, *, reads: tuple[type[object], ...] = ()
) -> Callable[[FilterFunction], FilterFunction]:
    """Register a candidate filter, which can read only the tables ``reads`` of the blackboard.

    >>> @candidate_filter("not_called_x")
    ... def not_called_x(request, candidates, board):
    ...     return [upstream for upstream in candidates if upstream.settings.name != "x"]
    >>> CANDIDATE_FILTERS.pop("not_called_x").name
    'not_called_x'
    """

    def register(function: FilterFunction) -> FilterFunction:
        CANDIDATE_FILTERS[name] = CandidateFilter(name, reads, function)
        return function

    return register


class CandidateFilters:
    """The registered filters, each with its own view of one blackboard."""

    def __init__(self, filters: Sequence[tuple[CandidateFilter, RestrictedBlackboard]]) -> None:
        self._filters = filters

    @classmethod
    def from_board(cls, board: Blackboard) -> "CandidateFilters":
        """Return the filters registered so far, bound to ``board``."""
        filters = []
        for registered in CANDIDATE_FILTERS.values():
            name = f"candidate filter {registered.name}"
            view = RestrictedBlackboard(
                board, name, reads=frozenset(registered.reads), writes=frozenset()
            )
            filters.append((registered, view))
        return cls(filters)

    def apply(self, request: Request, candidates: Sequence[Upstream]) -> Sequence[Upstream]:
        """Return the candidates that pass every filter."""
        for registered, view in self._filters:
            if not candidates:
                break
            candidates = registered.function(request, candidates, view)
        return candidates
