"""Places queued requests on upstreams that have room."""

from collections.abc import Sequence

from azureturn.core._blackboard import Blackboard, BlackboardView
from azureturn.core._configuration import ConfigurationTable
from azureturn.core._controllers import Context, Controller, controller, on
from azureturn.core._events import (
    LoadReported,
    Placed,
    PlacementDue,
    RequestEnded,
    RequestFailed,
)
from azureturn.core._queue import QueueTable
from azureturn.core._requests import Request, RequestTable
from azureturn.core._upstreams import Upstream, UpstreamTable
from azureturn.core.placement import PLACEMENT_POLICIES, CandidateFilters
from azureturn.errors import ErrorKind
from azureturn.settings import Settings

#: An upstream that refused a connection gets no new work for this long.
CLOSED_AFTER_REFUSAL_MS = 500


def _work_tokens(request: Request) -> int:
    return request.prompt_tokens + request.expected_output_tokens


@controller("placement")
class PlacementController(Controller):
    """Takes the most urgent request for which some upstream has room, and chooses the upstream."""

    reads = (ConfigurationTable,)
    writes = (RequestTable, QueueTable, UpstreamTable)
    after = ("admission",)

    def __init__(
        self, board: BlackboardView, settings: Settings, filters: CandidateFilters
    ) -> None:
        super().__init__(board, settings)
        self._filters = filters

    @classmethod
    def from_settings(cls, settings: Settings, board: Blackboard) -> "PlacementController":
        """Return the controller with every candidate filter that is registered by now."""
        view = BlackboardView(
            board, cls.name, reads=frozenset(cls.reads), writes=frozenset(cls.writes)
        )
        return cls(view, settings, CandidateFilters.from_board(board))

    @on(PlacementDue)
    def _on_due(self, event: PlacementDue, context: Context) -> None:
        queue = self.board.write(QueueTable).of(event.target)
        while len(queue):
            request = queue.peek()
            candidates = self._candidates(request, context.now_ms)
            if not candidates:
                return
            self._place(queue.pop(), candidates, context)

    @on(LoadReported)
    def _on_load_reported(self, event: LoadReported, context: Context) -> None:
        upstreams = self.board.write(UpstreamTable)
        upstream = upstreams.get(event.upstream)
        if upstream is not None:
            upstreams.put(event.upstream, upstream.with_report(event.report))

    @on(RequestFailed)
    def _on_failed(self, event: RequestFailed, context: Context) -> None:
        request = self.board.read(RequestTable).get(event.request_id)
        if request is None or event.kind is not ErrorKind.UPSTREAM_UNREACHABLE:
            return
        upstreams = self.board.write(UpstreamTable)
        upstream = upstreams.get(request.upstream)
        if upstream is not None:
            until_ms = context.now_ms + CLOSED_AFTER_REFUSAL_MS
            upstreams.put(request.upstream, upstream.with_closed_until(until_ms))

    @on(RequestEnded)
    def _on_ended(self, event: RequestEnded, context: Context) -> None:
        request = event.request
        upstreams = self.board.write(UpstreamTable)
        upstream = upstreams.get(request.upstream)
        if upstream is not None:
            released = upstream.with_outstanding(requests=-1, tokens=-_work_tokens(request))
            upstreams.put(request.upstream, released)
        context.post(PlacementDue(request.target))

    def _candidates(self, request: Request, now_ms: int) -> Sequence[Upstream]:
        """Return the upstreams with room that the request may be given to."""
        serving = self.board.read(UpstreamTable).serving(request.target, now_ms)
        with_room = [one for one in serving if one.outstanding_requests < one.settings.slots]
        return self._filters.apply(request, with_room)

    def _place(self, request: Request, candidates: Sequence[Upstream], context: Context) -> None:
        policy = self.board.read(ConfigurationTable).in_force().shared.policy.placement
        upstream = PLACEMENT_POLICIES[policy](request, candidates, context.random)
        name = upstream.settings.name
        taken = upstream.with_outstanding(requests=1, tokens=_work_tokens(request))
        self.board.write(UpstreamTable).put(name, taken)
        placed = request.with_placement(name, now_ms=context.now_ms)
        self.board.write(RequestTable).put(request.request_id, placed)
        context.post(Placed(request.request_id))
