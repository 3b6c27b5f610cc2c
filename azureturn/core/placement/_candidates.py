"""Which upstreams may be given a request at all, before any of them is preferred."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from azureturn.core._requests import Request
from azureturn.core._upstreams import Upstream
from azureturn.framework import Blackboard, BlackboardView

#: Returns those of the candidates that the request may go to, in the order given.
FilterFunction = Callable[[Request, Sequence[Upstream], BlackboardView], Sequence[Upstream]]


@dataclass(frozen=True)
class CandidateFilter:
    """A registered filter, and the tables that it reads."""

    name: str
    reads: tuple[type[object], ...]
    function: FilterFunction


CANDIDATE_FILTERS: dict[str, CandidateFilter] = {}


def candidate_filter(
    name: str, *, reads: tuple[type[object], ...] = ()
) -> Callable[[FilterFunction], FilterFunction]:
    """Register a filter of candidates; it gets a view that admits only the tables it names.

    >>> @candidate_filter("not_called_x")
    ... def not_called_x(request, candidates, board):
    ...     return [one for one in candidates if one.settings.name != "x"]
    >>> CANDIDATE_FILTERS.pop("not_called_x").name
    'not_called_x'
    """

    def register(function: FilterFunction) -> FilterFunction:
        CANDIDATE_FILTERS[name] = CandidateFilter(name, reads, function)
        return function

    return register


class CandidateFilters:
    """Every registered filter on its own view of one blackboard."""

    def __init__(self, filters: Sequence[tuple[CandidateFilter, BlackboardView]]) -> None:
        self._filters = filters

    @classmethod
    def from_board(cls, board: Blackboard) -> "CandidateFilters":
        """Return the filters that are registered by now."""
        filters = []
        for one in CANDIDATE_FILTERS.values():
            name = f"candidate filter {one.name}"
            view = BlackboardView(board, name, reads=frozenset(one.reads), writes=frozenset())
            filters.append((one, view))
        return cls(filters)

    def apply(self, request: Request, candidates: Sequence[Upstream]) -> Sequence[Upstream]:
        """Return the candidates that pass every filter."""
        for one, view in self._filters:
            if not candidates:
                break
            candidates = one.function(request, candidates, view)
        return candidates
