"""A model engine with the chat-completions API; :mod:`standins.engine_simulator` sets its timing.

Every answer echoes the ``X-Request-Id`` of its request. The id of a streamed event is the number
of its token; ``GET /v1/requests/{id}/stream`` with ``Last-Event-ID`` resumes after that token.
"""

import argparse
import asyncio
import hashlib
import json
import random
import time
from collections import OrderedDict, deque
from dataclasses import dataclass, field, replace
from typing import Any

from aiohttp import ClientSession, web

from standins._server import register_standin, replace_switches
from standins.engine_simulator import EngineSimulator, EngineSpeed, Job

DEFAULT_OUTPUT_TOKENS = 24
#: Number of latest answers that are kept for resuming.
MAX_KEPT_STREAMS = 2_000
#: Number of latest cache events that are kept for ``GET /cache/events``.
MAX_CACHE_EVENTS = 10_000


@dataclass(frozen=True)
class Switches:
    """Switches of the stand-in: ``--switches`` at the start, ``POST /control`` at run time."""

    #: Share of requests that fail with status 500.
    fail_share: float = 0.0
    #: Multiplies the time of every step.
    slow_down: float = 1.0
    #: Send no data while this is set; connections stay open.
    silent: bool = False
    #: Streams stop sending after this many tokens, but stay open; a resumed stream continues.
    silent_after_tokens: int = 0
    #: After this many tokens, streamed events carry the id of another request.
    crossed_after_tokens: int = 0
    #: Close the connection after this many tokens, without a terminator.
    truncate_after_tokens: int = 0
    #: Set ``X-Request-Id`` of answers to the id of another request.
    wrong_request_id: bool = False
    #: Read the request, then close the connection.
    close_after_read: bool = False
    #: Minimum age of the load report that ``GET /load`` returns.
    load_report_lag_ms: int = 0
    #: Add ``sent_ns``, the time of sending on the monotonic clock, to each event.
    stamps_events: bool = False
    #: Report in ``GET /load`` that the engine is leaving.
    leaving: bool = False
    #: Share of cache events that are dropped, which leaves a gap in their numbers.
    cache_event_gap_share: float = 0.0
    #: Reject orders whose fencing token is lower than the highest received. An order loads or
    #: unloads a version.
    checks_fence: bool = True
    #: Maximum number of requests in the batch.
    slots: int = 16
    prefill_tokens_per_s: float = 8_000.0
    step_base_ms: float = 12.0
    step_per_sequence_ms: float = 0.3
    #: URL from which weights are fetched before a load; empty if they are local.
    weight_store_url: str = ""
    #: Time to load a version once its weights have been fetched.
    load_time_ms: int = 200
    #: Share of requests that fail with status 500, by version.
    bad_versions: dict[str, float] = field(default_factory=dict)
    #: Versions that are loaded at the start.
    versions: tuple[str, ...] = ("v1",)


@dataclass
class _Stream:
    """One answer, streamed or not, and its progress."""

    request_id: str
    output_tokens: int
    model: str
    version: str
    prompt_tokens: int
    cached_tokens: int = 0
    produced_tokens: int = 0
    finished: bool = False
    cancelled: bool = False
    stamped: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


def block_digests(text: str, block_words: int) -> tuple[str, ...]:
    """Return one digest for each full block of words; it covers the text up to the block's end."""
    words = text.split()
    running = hashlib.blake2b(digest_size=8)
    digests = []
    for start in range(0, len(words) - block_words + 1, block_words):
        running.update(" ".join(words[start : start + block_words]).encode() + b"\0")
        digests.append(running.hexdigest())
    return tuple(digests)


class Engine:
    """State and request handlers of one engine process."""

    def __init__(self, name: str, switches: Switches) -> None:
        self.name = name
        self.simulator = EngineSimulator()
        self.apply(switches)
        self.streams: OrderedDict[str, _Stream] = OrderedDict()
        #: Number of chat requests by request id.
        self.dispatches: dict[str, int] = {}
        self.random = random.Random(name)
        #: Load reports, oldest first, with the time of each in ms.
        self.reports: deque[tuple[float, dict[str, int]]] = deque(maxlen=1_000)
        self.cache_events: deque[dict[str, Any]] = deque(maxlen=MAX_CACHE_EVENTS)
        self.cache_event_number = 0
        #: Loaded versions, with the fencing token of the order that loaded each.
        self.loaded = dict.fromkeys(switches.versions, 0)
        self.highest_fence = 0
        self.work_available = asyncio.Event()

    def apply(self, switches: Switches) -> None:
        self.switches = switches
        self.simulator.speed = EngineSpeed(
            slots=switches.slots,
            prefill_tokens_per_s=switches.prefill_tokens_per_s,
            step_base_ms=switches.step_base_ms,
            step_per_sequence_ms=switches.step_per_sequence_ms,
            slow_down=switches.slow_down,
        )

    async def run_steps(self, _application: web.Application) -> Any:
        task = asyncio.create_task(self._step_forever())
        yield
        task.cancel()

    async def _step_forever(self) -> None:
        while True:
            step_ends_ms = self.simulator.step_ends_ms
            if step_ends_ms is None:
                self.work_available.clear()
                await self.work_available.wait()
                continue
            await asyncio.sleep(max(0.0, step_ends_ms - _now_ms()) / 1_000)
            blocks_before = set(self.simulator.cached_blocks())
            for progress in self.simulator.advance(_now_ms()):
                stream = self.streams[progress.request_id]
                stream.produced_tokens = progress.token
                stream.finished = progress.finished
                stream.notify()
            self._record_cache_changes(blocks_before)

    def _record_cache_changes(self, blocks_before: set[str]) -> None:
        blocks_after = set(self.simulator.cached_blocks())
        for kind, digests in (
            ("stored", blocks_after - blocks_before),
            ("removed", blocks_before - blocks_after),
        ):
            if not digests:
                continue
            self.cache_event_number += 1
            if self.random.random() >= self.switches.cache_event_gap_share:
                event = {"number": self.cache_event_number, "kind": kind, "blocks": sorted(digests)}
                self.cache_events.append(event)

    async def chat(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        request_id = request.headers.get("X-Request-Id", f"engine-{len(self.streams)}")
        self.dispatches[request_id] = self.dispatches.get(request_id, 0) + 1
        version = request.headers.get("X-Model-Version", next(iter(self.loaded)))
        if self.switches.close_after_read:
            assert request.transport is not None
            request.transport.close()
            return web.Response()
        if version not in self.loaded:
            return _error_response(404, request_id, f"version {version} is not loaded")
        fail_share = max(self.switches.fail_share, self.switches.bad_versions.get(version, 0.0))
        if self.random.random() < fail_share:
            return _error_response(500, request_id, "the engine failed")
        stream = self._start(request_id, body, version)
        if body.get("stream"):
            return await self._send_stream(request, stream, after=0)
        return await self._send_complete(stream)

    def _start(self, request_id: str, body: dict[str, Any], version: str) -> _Stream:
        text = " ".join(str(message.get("content", "")) for message in body["messages"])
        prompt_tokens = max(1, len(text.split()))
        output_tokens = int(body.get("max_tokens") or DEFAULT_OUTPUT_TOKENS)
        stream = _Stream(request_id, output_tokens, body["model"], version, prompt_tokens)
        stream.stamped = self.switches.stamps_events
        self.streams[request_id] = stream
        while len(self.streams) > MAX_KEPT_STREAMS:
            self.streams.popitem(last=False)
        blocks = block_digests(text, self.simulator.speed.block_tokens)
        cached_before = self.simulator.counters.prefill_cached_tokens
        job = Job(request_id, prompt_tokens, output_tokens, blocks)
        self.simulator.submit(job, _now_ms())
        stream.cached_tokens = self.simulator.counters.prefill_cached_tokens - cached_before
        self.work_available.set()
        return stream

    async def _send_complete(self, stream: _Stream) -> web.Response:
        try:
            while not stream.finished or self.switches.silent:
                if stream.cancelled:
                    return _error_response(499, stream.request_id, "cancelled")
                await stream.changed.wait()
        except asyncio.CancelledError:
            self.simulator.cancel(stream.request_id)
            raise
        content = "".join(_token_text(number) for number in range(1, stream.produced_tokens + 1))
        body = {
            "id": f"chatcmpl-{stream.request_id}",
            "object": "chat.completion",
            "created": 0,
            "model": stream.model,
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": content},
                    "finish_reason": "stop",
                }
            ],
            "usage": _usage(stream),
        }
        return web.json_response(body, headers=self._headers(stream))

    async def _send_stream(
        self, request: web.Request, stream: _Stream, *, after: int
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=self._headers(stream))
        response.content_type = "text/event-stream"
        await response.prepare(request)
        sent = after
        try:
            while True:
                while self.switches.silent or (
                    sent >= stream.produced_tokens and not stream.finished
                ):
                    if stream.cancelled:
                        return response
                    await stream.changed.wait()
                for number in range(sent + 1, stream.produced_tokens + 1):
                    await response.write(self._token_event(stream, number))
                    if number == self.switches.silent_after_tokens and not after:
                        await asyncio.Event().wait()
                    if number == self.switches.truncate_after_tokens and not after:
                        assert request.transport is not None
                        request.transport.close()
                        return response
                sent = stream.produced_tokens
                if stream.finished:
                    break
            await response.write(_final_events(stream))
            await response.write_eof()
        except (ConnectionResetError, asyncio.CancelledError):
            raise
        return response

    def _token_event(self, stream: _Stream, number: int) -> bytes:
        is_crossed = 0 < self.switches.crossed_after_tokens < number
        return _event(
            replace(stream, request_id="another-request") if is_crossed else stream, number
        )

    def _headers(self, stream: _Stream) -> dict[str, str]:
        wrong = self.switches.wrong_request_id
        return {
            "X-Request-Id": "another-request" if wrong else stream.request_id,
            "X-Model-Version": stream.version,
        }

    async def resume(self, request: web.Request) -> web.StreamResponse:
        stream = self.streams.get(request.match_info["request_id"])
        if stream is None:
            return _error_response(404, request.match_info["request_id"], "no such request")
        after = int(request.headers.get("Last-Event-ID", "0"))
        return await self._send_stream(request, stream, after=after)

    async def cancel(self, request: web.Request) -> web.Response:
        request_id = request.match_info["request_id"]
        found = self.simulator.cancel(request_id)
        stream = self.streams.get(request_id)
        if stream is not None:
            stream.cancelled = True
            stream.notify()
        return web.json_response({"cancelled": found})

    async def load(self, _request: web.Request) -> web.Response:
        now_ms = _now_ms()
        current_load = {
            "running": self.simulator.running,
            "waiting": self.simulator.waiting,
            "queued_tokens": self.simulator.queued_tokens,
        }
        self.reports.append((now_ms, current_load))
        reported_at_ms, report = self.reports[-1]
        for older_at_ms, older_report in reversed(self.reports):
            reported_at_ms, report = older_at_ms, older_report
            if older_at_ms <= now_ms - self.switches.load_report_lag_ms:
                break
        age_ms = round(now_ms - reported_at_ms)
        return web.json_response({**report, "age_ms": age_ms, "leaving": self.switches.leaving})

    async def events(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", "0"))
        events = [event for event in self.cache_events if event["number"] > after]
        return web.json_response({"events": events})

    async def order(self, request: web.Request) -> web.Response:
        body = await request.json()
        fence = int(body["fence"])
        if self.switches.checks_fence and fence < self.highest_fence:
            return web.json_response({"error": "old fence"}, status=409)
        self.highest_fence = max(fence, self.highest_fence)
        if body["kind"] == "load":
            await self._fetch_weights(body["version"])
            await asyncio.sleep(self.switches.load_time_ms / 1_000)
            self.loaded[body["version"]] = fence
        elif body["kind"] == "unload":
            self.loaded.pop(body["version"], None)
        return web.json_response({"versions": sorted(self.loaded), "fence": self.highest_fence})

    async def _fetch_weights(self, version: str) -> None:
        if self.switches.weight_store_url:
            url = f"{self.switches.weight_store_url}/weights/{version}"
            async with ClientSession() as session, session.get(url) as response:
                await response.read()

    async def versions(self, _request: web.Request) -> web.Response:
        body = {"versions": sorted(self.loaded), "fence": self.highest_fence}
        return web.json_response(body)

    async def runs(self, _request: web.Request) -> web.Response:
        return web.json_response(self.dispatches)

    async def counters(self, _request: web.Request) -> web.Response:
        return web.json_response(vars(self.simulator.counters))

    async def control(self, request: web.Request) -> web.Response:
        self.apply(replace_switches(self.switches, await request.json()))
        for stream in self.streams.values():
            stream.notify()
        return web.json_response({})


def _now_ms() -> float:
    return time.monotonic() * 1_000


def _token_text(number: int) -> str:
    return f"word{number} "


def _usage(stream: _Stream) -> dict[str, Any]:
    return {
        "prompt_tokens": stream.prompt_tokens,
        "completion_tokens": stream.produced_tokens,
        "total_tokens": stream.prompt_tokens + stream.produced_tokens,
        "prompt_tokens_details": {"cached_tokens": stream.cached_tokens},
    }


def _chunk(stream: _Stream, choices: list[dict[str, Any]], **extra_fields: Any) -> bytes:
    body = {
        "id": f"chatcmpl-{stream.request_id}",
        "object": "chat.completion.chunk",
        "created": 0,
        "model": stream.model,
        "choices": choices,
        **extra_fields,
    }
    return f"data: {json.dumps(body)}\n\n".encode()


def _event(stream: _Stream, number: int) -> bytes:
    delta = {"content": _token_text(number)}
    extra_fields = {"sent_ns": time.monotonic_ns()} if stream.stamped else {}
    chunk = _chunk(stream, [{"index": 0, "delta": delta, "finish_reason": None}], **extra_fields)
    return f"id: {number}\n".encode() + chunk


def _final_events(stream: _Stream) -> bytes:
    stop = [{"index": 0, "delta": {}, "finish_reason": "stop"}]
    return _chunk(stream, stop, usage=_usage(stream)) + b"data: [DONE]\n\n"


def _error_response(status: int, request_id: str, message: str) -> web.Response:
    body = {"error": {"message": message, "type": "engine_error"}}
    return web.json_response(body, status=status, headers={"X-Request-Id": request_id})


@register_standin("engine")
def make_engine(arguments: argparse.Namespace) -> web.Application:
    """Return the application of one engine."""
    switches = replace(Switches(), **json.loads(arguments.switches))
    engine = Engine(arguments.name, switches)
    application = web.Application(client_max_size=1 << 24)
    application.cleanup_ctx.append(engine.run_steps)
    application.add_routes(
        [
            web.post("/v1/chat/completions", engine.chat),
            web.get("/v1/requests/{request_id}/stream", engine.resume),
            web.post("/v1/requests/{request_id}/cancel", engine.cancel),
            web.get("/load", engine.load),
            web.get("/cache/events", engine.events),
            web.post("/orders", engine.order),
            web.get("/versions", engine.versions),
            web.get("/runs", engine.runs),
            web.get("/counters", engine.counters),
            web.post("/control", engine.control),
        ]
    )
    return application
