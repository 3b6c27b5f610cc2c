"""A plain service with non-idempotent calls; it counts its runs by idempotency key."""

import argparse
import asyncio
import json
from dataclasses import dataclass, replace

from aiohttp import web

from standins._server import register_standin, replace_switches


@dataclass(frozen=True)
class Switches:
    """Switches of the stand-in: ``--switches`` at the start, ``POST /control`` at run time."""

    #: Delay of every answer.
    delay_ms: int = 2
    #: Status of every answer; the call runs whatever the status.
    status: int = 200
    #: Run the call, then close the connection without an answer.
    close_after_run: bool = False
    #: Run the call, then do not answer while this is set.
    silent: bool = False
    #: Read the call, then close the connection without running it.
    close_after_read: bool = False
    #: Send a ``Content-Length`` larger than the body.
    truncate: bool = False
    #: Pause before each byte of the answer.
    drip_ms: int = 0
    #: Size of the padding added to every answer.
    padding_bytes: int = 0
    #: Send no ``Content-Length``: the answer ends where the connection is closed.
    unannounced_length: bool = False


class PlainService:
    """State and request handlers of one plain service."""

    def __init__(self, name: str, switches: Switches) -> None:
        self.name = name
        self.switches = switches
        self.run_counts: dict[str, int] = {}
        #: Number of runs by request id.
        self.request_runs: dict[str, int] = {}
        self.attempts = 0

    async def call(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        self.attempts += 1
        assert request.transport is not None
        if self.switches.close_after_read:
            request.transport.close()
            return web.Response()
        if request.method != "GET":
            key = request.headers.get("Idempotency-Key", "")
            self.run_counts[key] = self.run_counts.get(key, 0) + 1
            request_id = request.headers.get("X-Request-Id", "")
            self.request_runs[request_id] = self.request_runs.get(request_id, 0) + 1
        if self.switches.close_after_run:
            request.transport.close()
            return web.Response()
        await asyncio.sleep(self.switches.delay_ms / 1_000)
        while self.switches.silent:
            await asyncio.sleep(0.02)
        answer: dict[str, str | int] = {
            "service": self.name,
            "path": request.path_qs,
            "received_bytes": len(body),
        }
        if self.switches.padding_bytes:
            answer["padding"] = "x" * self.switches.padding_bytes
        headers = {"X-Request-Id": request.headers.get("X-Request-Id", "")}
        if self.switches.truncate:
            headers["Content-Length"] = "1000"
            response = web.StreamResponse(headers=headers)
            await response.prepare(request)
            await response.write(b"short")
            request.transport.close()
            return response
        if self.switches.drip_ms:
            return await self._send_slowly(request, json.dumps(answer).encode())
        if self.switches.unannounced_length:
            request.transport.write(b"HTTP/1.1 200 OK\r\n\r\nperhaps all, perhaps not")
            request.transport.close()
            return web.Response()
        return web.json_response(answer, status=self.switches.status, headers=headers)

    async def _send_slowly(self, request: web.Request, body: bytes) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Length": str(len(body))})
        await response.prepare(request)
        for number in range(len(body)):
            await asyncio.sleep(self.switches.drip_ms / 1_000)
            await response.write(body[number : number + 1])
        return response

    async def runs(self, _request: web.Request) -> web.Response:
        return web.json_response(self.run_counts)

    async def runs_by_request(self, _request: web.Request) -> web.Response:
        return web.json_response(self.request_runs)

    async def attempt_count(self, _request: web.Request) -> web.Response:
        return web.json_response({"attempts": self.attempts})

    async def control(self, request: web.Request) -> web.Response:
        self.switches = replace_switches(self.switches, await request.json())
        return web.json_response({})


@register_standin("plain_service")
def make_plain_service(arguments: argparse.Namespace) -> web.Application:
    """Return the application of one plain service."""
    switches = replace(Switches(), **json.loads(arguments.switches))
    service = PlainService(arguments.name, switches)
    application = web.Application(client_max_size=1 << 24)
    application.add_routes(
        [
            web.get("/runs", service.runs),
            web.get("/request-runs", service.runs_by_request),
            web.get("/attempts", service.attempt_count),
            web.post("/control", service.control),
            web.route("*", "/{path:.*}", service.call),
        ]
    )
    return application
