"""Updates the inputs of placement estimates from answers, load reports and peers' reports."""

from azureturn.core._controllers import controller
from azureturn.core._events import (
    AnswerProgressed,
    LoadReported,
    PeerPrefixSent,
    PeerQueueReported,
    PeerWorkReported,
    RequestAnswered,
    RequestFailed,
)
from azureturn.core._peers import PeerQueue, PeerQueueTable, PeerWork, PeerWorkTable
from azureturn.core._requests import Request, RequestTable
from azureturn.core._upstreams import UpstreamTable
from azureturn.core.placement import (
    AnswerTimeTable,
    LearnedSpeed,
    OutputLengthTable,
    PrefixTable,
    SpeedTable,
)
from azureturn.errors import ErrorKind
from azureturn.framework import Context, Controller, Tick, on
from azureturn.settings import Settings

#: An upstream gets no new work for this long after a failed connection, doubled for each further
#: failure.
CONNECT_BACKOFF_MS = 500
_MAX_CONNECT_BACKOFF_MS = 16_000
#: A prefix counts as evicted from the upstream's cache if fewer than this share of the expected
#: prompt tokens were cached.
_EVICTED_SHARE = 0.5


@controller("learning")
class LearningController(Controller[Settings]):
    """Maintains the tables of upstream speeds, output lengths, cached prefixes and peers' work."""

    writes = (
        RequestTable,
        UpstreamTable,
        SpeedTable,
        OutputLengthTable,
        AnswerTimeTable,
        PrefixTable,
        PeerWorkTable,
        PeerQueueTable,
    )
    after = ("configuration",)

    @on(AnswerProgressed)
    def _on_progressed(self, event: AnswerProgressed, context: Context) -> None:
        requests = self.board.write(RequestTable)
        request = requests.get(event.request_id)
        if request is None or not request.upstream:
            return
        self._record_contact(request.upstream, context.now_ms)
        if request.first_token_at_ms:
            tokens = event.output_tokens - request.output_tokens
            self._learn_decode_speed(
                request, context.now_ms - request.progressed_at_ms, tokens, context
            )
        updated_request = request.with_progress(event.output_tokens, now_ms=context.now_ms)
        requests.put(request.request_id, updated_request)

    @on(RequestAnswered)
    def _on_answered(self, event: RequestAnswered, context: Context) -> None:
        request = self.board.read(RequestTable).get(event.request_id)
        if request is None or not request.upstream:
            return
        self._record_contact(request.upstream, context.now_ms)
        if event.output_tokens <= 0:
            return
        key = (request.route, request.organisation)
        self.board.write(OutputLengthTable).learn(key, event.output_tokens)
        self._learn_answer(request, context)
        self._learn_prefill(request, event, context)
        self._learn_final_decode_speed(request, event, context)
        expected = request.expected_cached_tokens
        if event.prompt_tokens and event.cached_tokens < _EVICTED_SHARE * expected:
            self.board.write(PrefixTable).of(request.upstream).record_eviction()

    @on(RequestFailed)
    def _on_failed(self, event: RequestFailed, context: Context) -> None:
        request = self.board.read(RequestTable).get(event.request_id)
        if request is None or event.kind is not ErrorKind.UPSTREAM_UNREACHABLE:
            return
        upstreams = self.board.write(UpstreamTable)
        upstream = upstreams.get(request.upstream)
        if upstream is not None and upstream.backoff_until_ms <= context.now_ms:
            backoff_ms = min(
                _MAX_CONNECT_BACKOFF_MS, CONNECT_BACKOFF_MS << upstream.connect_failures
            )
            backed_off_upstream = upstream.with_backoff_until(context.now_ms + backoff_ms)
            upstreams.put(request.upstream, backed_off_upstream)

    @on(LoadReported)
    def _on_load_reported(self, event: LoadReported, context: Context) -> None:
        upstreams = self.board.write(UpstreamTable)
        upstream = upstreams.get(event.upstream)
        if upstream is not None:
            updated_upstream = upstream.with_report(event.report, now_ms=context.now_ms)
            upstreams.put(event.upstream, updated_upstream)

    @on(PeerWorkReported)
    def _on_peer_work(self, event: PeerWorkReported, context: Context) -> None:
        table = self.board.write(PeerWorkTable)
        table.record_report(event.vm, context.now_ms)
        key = (event.vm, event.upstream)
        previous = table.get(key)
        if previous is not None and previous.taken_at_ms > event.taken_at_ms:
            return
        work = PeerWork(
            event.vm,
            event.upstream,
            event.taken_at_ms,
            event.outstanding_requests,
            event.outstanding_tokens,
        )
        table.put(key, work)
        added_requests = work.requests - (0 if previous is None else previous.requests)
        added_tokens = work.tokens - (0 if previous is None else previous.tokens)
        self._add_peer_work(work.upstream, requests=added_requests, tokens=added_tokens)

    @on(PeerPrefixSent)
    def _on_peer_prefix(self, event: PeerPrefixSent, context: Context) -> None:
        if event.upstream in self.board.read(UpstreamTable):
            self.board.write(PrefixTable).of(event.upstream).record_prompt(event.digests)

    @on(PeerQueueReported)
    def _on_peer_queue(self, event: PeerQueueReported, context: Context) -> None:
        peer_queue = PeerQueue(event.vm, event.target, event.taken_at_ms, event.queued_by_rank)
        self.board.write(PeerQueueTable).put((event.vm, event.target), peer_queue)

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        table = self.board.write(PeerWorkTable)
        for vm in table.silent_peers(context.now_ms):
            for work in table.remove_peer(vm):
                self._add_peer_work(work.upstream, requests=-work.requests, tokens=-work.tokens)

    def _add_peer_work(self, name: str, *, requests: int, tokens: int) -> None:
        upstreams = self.board.write(UpstreamTable)
        upstream = upstreams.get(name)
        if upstream is not None and (requests or tokens):
            upstreams.put(name, upstream.with_peer_work(requests=requests, tokens=tokens))

    def _record_contact(self, name: str, now_ms: int) -> None:
        upstreams = self.board.write(UpstreamTable)
        upstream = upstreams.get(name)
        if upstream is not None and (upstream.heard_at_ms != now_ms or upstream.connect_failures):
            upstreams.put(name, upstream.with_contact(now_ms))

    def _speed(self, name: str) -> LearnedSpeed | None:
        upstream = self.board.read(UpstreamTable).get(name)
        return None if upstream is None else self.board.read(SpeedTable).of(upstream)

    def _store_speed(self, name: str, speed: LearnedSpeed) -> None:
        upstream = self.board.read(UpstreamTable).get(name)
        if upstream is not None:
            self.board.write(SpeedTable).learn(upstream, speed)

    def _learn_decode_speed(
        self, request: Request, elapsed_ms: int, tokens: int, context: Context
    ) -> None:
        speed = self._speed(request.upstream)
        if speed is None or tokens <= 0 or elapsed_ms <= 0:
            return
        updated_speed = speed.with_token_interval(elapsed_ms / tokens, now_ms=context.now_ms)
        self._store_speed(request.upstream, updated_speed)

    def _learn_final_decode_speed(
        self, request: Request, event: RequestAnswered, context: Context
    ) -> None:
        if request.progressed_at_ms:
            tokens = event.output_tokens - request.output_tokens
            self._learn_decode_speed(
                request, context.now_ms - request.progressed_at_ms, tokens, context
            )
            return
        speed = self._speed(request.upstream)
        if speed is None or event.output_tokens < 2:
            return
        first_token_ms = event.first_token_ms or int(
            (event.prompt_tokens - event.cached_tokens) * speed.prefill_ms_per_token
        )
        decode_ms = context.now_ms - request.dispatched_at_ms - first_token_ms
        self._learn_decode_speed(request, decode_ms, event.output_tokens - 1, context)

    def _learn_answer(self, request: Request, context: Context) -> None:
        elapsed_ms = context.now_ms - request.dispatched_at_ms
        key = (request.route, request.organisation)
        self.board.write(AnswerTimeTable).learn(key, elapsed_ms)
        speed = self._speed(request.upstream)
        if speed is not None:
            updated_speed = speed.with_answer(elapsed_ms)
            self._store_speed(request.upstream, updated_speed)

    def _learn_prefill(self, request: Request, event: RequestAnswered, context: Context) -> None:
        speed = self._speed(request.upstream)
        first_token_ms = event.first_token_ms
        if request.first_token_at_ms:
            first_token_ms = request.first_token_at_ms - request.dispatched_at_ms
        if speed is None or first_token_ms <= 0:
            return
        updated_speed = speed.with_first_token(
            first_token_ms, event.prompt_tokens - event.cached_tokens
        )
        self._store_speed(request.upstream, updated_speed)
