"""A TCP forwarder between a VM and a service that it calls; it can simulate network failures."""

import argparse
import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import suppress
from dataclasses import dataclass, replace
from enum import StrEnum

from aiohttp import web

from standins._server import LOOPBACK, register_standin, replace_switches

_CHUNK_BYTES = 65_536


class LinkMode(StrEnum):
    """How the link treats connections."""

    PASS = "pass"
    #: New connections are refused and open ones reset.
    REFUSE = "refuse"
    #: Connections can be opened, but no bytes are forwarded on any.
    DROP = "drop"
    #: Connections that are open when the mode is set never forward again; new ones work.
    FREEZE = "freeze"


@dataclass(frozen=True)
class Switches:
    """Switches of the stand-in: ``--switches`` at the start, ``POST /control`` at run time."""

    mode: str = LinkMode.PASS
    #: Port that the VM connects to.
    listen_port: int = 0
    #: Port that connections are forwarded to.
    target_port: int = 0


class Link:
    """The listening port and its open connections."""

    def __init__(self, switches: Switches) -> None:
        self.switches = switches
        self.server: asyncio.Server | None = None
        #: For each open connection, an event that is set while bytes are forwarded.
        self.connections: dict[asyncio.StreamWriter, asyncio.Event] = {}

    async def run(self, _application: web.Application) -> AsyncIterator[None]:
        await self._apply()
        yield
        if self.server is not None:
            self.server.close()

    async def control(self, request: web.Request) -> web.Response:
        self.switches = replace_switches(self.switches, await request.json())
        await self._apply()
        return web.json_response({})

    async def state(self, _request: web.Request) -> web.Response:
        return web.json_response({"open": len(self.connections)})

    async def _apply(self) -> None:
        mode = LinkMode(self.switches.mode)
        if mode is LinkMode.REFUSE:
            await self._refuse()
        elif self.server is None:
            self.server = await asyncio.start_server(
                self._serve, LOOPBACK, self.switches.listen_port
            )
        if mode in (LinkMode.DROP, LinkMode.FREEZE):
            for flow_enabled in self.connections.values():
                flow_enabled.clear()

    async def _refuse(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        flow_enabled = self.connections[writer] = asyncio.Event()
        if self.switches.mode != LinkMode.DROP:
            flow_enabled.set()
        target_writer: asyncio.StreamWriter | None = None
        try:
            await flow_enabled.wait()
            target = await asyncio.open_connection(LOOPBACK, self.switches.target_port)
            target_reader, target_writer = target
            to_target = asyncio.create_task(_forward(reader, target_writer, flow_enabled))
            from_target = asyncio.create_task(_forward(target_reader, writer, flow_enabled))
            await asyncio.wait([to_target, from_target], return_when=asyncio.FIRST_COMPLETED)
            to_target.cancel()
            from_target.cancel()
        except OSError:
            pass
        finally:
            self.connections.pop(writer, None)
            writer.transport.abort()
            if target_writer is not None:
                target_writer.transport.abort()


async def _forward(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, flow_enabled: asyncio.Event
) -> None:
    with suppress(OSError):
        while chunk := await reader.read(_CHUNK_BYTES):
            await flow_enabled.wait()
            writer.write(chunk)
            await writer.drain()
        await flow_enabled.wait()


@register_standin("link")
def make_link(arguments: argparse.Namespace) -> web.Application:
    """Return the application of one link."""
    link = Link(replace(Switches(), **json.loads(arguments.switches)))
    application = web.Application()
    application.cleanup_ctx.append(link.run)
    application.add_routes([web.post("/control", link.control), web.get("/state", link.state)])
    return application
