"""The store of model weights, with a bandwidth limit shared by all readers."""

import argparse
import asyncio
import json
from dataclasses import dataclass, replace

from aiohttp import web

from standins._server import register_standin, replace_switches


@dataclass(frozen=True)
class Switches:
    """Switches of the stand-in: ``--switches`` at the start, ``POST /control`` at run time."""

    #: Total bandwidth; reads are served one after the other.
    bytes_per_s: float = 10_000_000.0
    #: Size of the weights of one version.
    weight_bytes: int = 2_000_000


class WeightStore:
    """State and request handlers of the weight store."""

    def __init__(self, switches: Switches) -> None:
        self.switches = switches
        self.lock = asyncio.Lock()

    async def read(self, request: web.Request) -> web.Response:
        async with self.lock:
            await asyncio.sleep(self.switches.weight_bytes / self.switches.bytes_per_s)
        body = {"version": request.match_info["version"], "bytes": self.switches.weight_bytes}
        return web.json_response(body)

    async def control(self, request: web.Request) -> web.Response:
        self.switches = replace_switches(self.switches, await request.json())
        return web.json_response({})


@register_standin("weight_store")
def make_weight_store(arguments: argparse.Namespace) -> web.Application:
    """Return the application of the weight store."""
    service = WeightStore(replace(Switches(), **json.loads(arguments.switches)))
    application = web.Application()
    application.add_routes(
        [
            web.get("/weights/{version}", service.read),
            web.post("/control", service.control),
        ]
    )
    return application
