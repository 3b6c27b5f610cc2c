"""The platform's list of live and leaving VMs; its answers lag behind by ``lag_ms``."""

import argparse
import json
import time
from dataclasses import dataclass, replace
from typing import Any

from aiohttp import web

from standins._server import register_standin, replace_switches


@dataclass(frozen=True)
class Switches:
    """Switches of the stand-in: ``--switches`` at the start, ``POST /control`` at run time."""

    #: Age of the list that is returned: later changes are not visible yet.
    lag_ms: int = 200
    #: Answer with status 503.
    outage: bool = False


class VmList:
    """State and request handlers of the VM list."""

    def __init__(self, switches: Switches) -> None:
        self.switches = switches
        #: Versions of the list, oldest first, with the time of each change in s.
        self.versions: list[tuple[float, dict[str, dict[str, Any]]]] = [(0.0, {})]

    async def read(self, _request: web.Request) -> web.Response:
        if self.switches.outage:
            return web.json_response({"error": "outage"}, status=503)
        limit_s = time.monotonic() - self.switches.lag_ms / 1_000
        visible_vms = [vms for changed_s, vms in self.versions if changed_s <= limit_s][-1]
        return web.json_response({"vms": list(visible_vms.values())})

    async def write(self, request: web.Request) -> web.Response:
        vm = await request.json()
        latest = {**self.versions[-1][1], vm["name"]: vm}
        self.versions.append((time.monotonic(), latest))
        del self.versions[1:-1_000]
        return web.json_response({})

    async def control(self, request: web.Request) -> web.Response:
        self.switches = replace_switches(self.switches, await request.json())
        return web.json_response({})


@register_standin("vm_list")
def make_vm_list(arguments: argparse.Namespace) -> web.Application:
    """Return the application of the list of VMs."""
    service = VmList(replace(Switches(), **json.loads(arguments.switches)))
    application = web.Application()
    application.add_routes(
        [
            web.get("/vms", service.read),
            web.post("/vms", service.write),
            web.post("/control", service.control),
        ]
    )
    return application
