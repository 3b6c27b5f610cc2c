"""Places queued requests on upstreams that have room."""

from azureturn.core._configuration import ConfigurationTable
from azureturn.core._controllers import Context, Controller, controller, on
from azureturn.core._events import (
    LoadReported,
    Placed,
    PlacementDue,
    RequestEnded,
    RequestFailed,
)
from azureturn.core._placement import PLACEMENT_POLICIES
from azureturn.core._queue import QueueTable
from azureturn.core._requests import Request, RequestTable
from azureturn.core._upstreams import Upstream, UpstreamTable
from azureturn.core.moves import MoveTable
from azureturn.errors import ErrorKind

#: An upstream that refused a connection gets no new work for this long.
CLOSED_AFTER_REFUSAL_MS = 500


def _work_tokens(request: Request) -> int:
    return request.prompt_tokens + request.expected_output_tokens


@controller("placement")
class PlacementController(Controller):
    """Takes the most urgent request for which some upstream has room, and chooses the upstream."""

    reads = (ConfigurationTable, MoveTable)
    writes = (RequestTable, QueueTable, UpstreamTable)
    after = ("admission",)

    @on(PlacementDue)
    def _on_due(self, event: PlacementDue, context: Context) -> None:
        queue = self.board.write(QueueTable).of(event.target)
        moves = self.board.read(MoveTable)
        while len(queue):
            version = moves.version_of(event.target, queue.peek().request_id)
            candidates = self._with_room(event.target, context.now_ms)
            candidates = moves.with_version(candidates, event.target, version)
            if not candidates:
                return
            request = queue.pop()
            self._place(request, candidates, context)

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

    def _with_room(self, target: str, now_ms: int) -> list[Upstream]:
        serving = self.board.read(UpstreamTable).serving(target, now_ms)
        return [one for one in serving if one.outstanding_requests < one.settings.slots]

    def _place(self, request: Request, candidates: list[Upstream], context: Context) -> None:
        policy = self.board.read(ConfigurationTable).in_force().shared.policy.placement
        upstream = PLACEMENT_POLICIES[policy](request, candidates, context.random)
        name = upstream.settings.name
        taken = upstream.with_outstanding(requests=1, tokens=_work_tokens(request))
        self.board.write(UpstreamTable).put(name, taken)
        placed = request.with_placement(name, now_ms=context.now_ms)
        self.board.write(RequestTable).put(request.request_id, placed)
        context.post(Placed(request.request_id))
