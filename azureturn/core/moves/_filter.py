"""Candidate filter for requests of a model with a version move."""

from collections.abc import Sequence

from azureturn.core._requests import Request
from azureturn.core._upstreams import Upstream
from azureturn.core.moves._tables import MoveTable
from azureturn.core.placement import candidate_filter
from azureturn.framework import RestrictedBlackboard


@candidate_filter("version_is_loaded", reads=(MoveTable,))
def version_is_loaded(
    request: Request, candidates: Sequence[Upstream], board: RestrictedBlackboard
) -> Sequence[Upstream]:
    """Return the upstreams not known to lack the version assigned to the request."""
    moves = board.read(MoveTable)
    version = moves.version_of(request.target, request.request_id)
    return moves.with_version(candidates, request.target, version)
