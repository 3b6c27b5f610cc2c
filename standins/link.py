"""A link between one VM and what it calls: a TCP forwarder with switches for its failures."""

import argparse
import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import suppress
from dataclasses import dataclass, replace
from enum import StrEnum

from aiohttp import web

from standins._server import LOOPBACK, changed_switches, standin

_PIECE_BYTES = 65_536


class LinkMode(StrEnum):
    """What the link does with connections."""

    PASS = "pass"
    #: New connections are refused and open ones reset.
    REFUSE = "refuse"
    #: Connections can be opened, and nothing passes on any.
    DROP = "drop"
    #: Connections open at the time of the switch go silent for good; new ones work.
    FREEZE = "freeze"


@dataclass(frozen=True)
class Switches:
    """What can be set at the start and at run time."""

    mode: str = LinkMode.PASS
    #: Port that the VM connects to.
    listen_port: int = 0
    #: Port of what the link leads to.
    target_port: int = 0


class Link:
    """The listening port, and the connections that pass through it."""

    def __init__(self, switches: Switches) -> None:
        self.switches = switches
        self.server: asyncio.Server | None = None
        #: For each open connection an event that is set while it may pass bytes.
        self.open: dict[asyncio.StreamWriter, asyncio.Event] = {}

    async def run(self, _application: web.Application) -> AsyncIterator[None]:
        await self._apply()
        yield
        if self.server is not None:
            self.server.close()

    async def control(self, request: web.Request) -> web.Response:
        self.switches = changed_switches(self.switches, await request.json())
        await self._apply()
        return web.json_response({})

    async def state(self, _request: web.Request) -> web.Response:
        return web.json_response({"open": len(self.open)})

    async def _apply(self) -> None:
        mode = LinkMode(self.switches.mode)
        if mode is LinkMode.REFUSE:
            await self._refuse()
        elif self.server is None:
            self.server = await asyncio.start_server(
                self._serve, LOOPBACK, self.switches.listen_port
            )
        if mode in (LinkMode.DROP, LinkMode.FREEZE):
            for passing in self.open.values():
                passing.clear()

    async def _refuse(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.open):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        passing = self.open[writer] = asyncio.Event()
        if self.switches.mode != LinkMode.DROP:
            passing.set()
        target_writer: asyncio.StreamWriter | None = None
        try:
            await passing.wait()
            target = await asyncio.open_connection(LOOPBACK, self.switches.target_port)
            target_reader, target_writer = target
            there = asyncio.create_task(_pump(reader, target_writer, passing))
            back = asyncio.create_task(_pump(target_reader, writer, passing))
            await asyncio.wait([there, back], return_when=asyncio.FIRST_COMPLETED)
            there.cancel()
            back.cancel()
        except OSError:
            pass
        finally:
            self.open.pop(writer, None)
            writer.transport.abort()
            if target_writer is not None:
                target_writer.transport.abort()


async def _pump(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, passing: asyncio.Event
) -> None:
    with suppress(OSError):
        while piece := await reader.read(_PIECE_BYTES):
            await passing.wait()
            writer.write(piece)
            await writer.drain()
        await passing.wait()


@standin("link")
def make_link(arguments: argparse.Namespace) -> web.Application:
    """Return the application of one link."""
    link = Link(replace(Switches(), **json.loads(arguments.switches)))
    application = web.Application()
    application.cleanup_ctx.append(link.run)
    application.add_routes([web.post("/control", link.control), web.get("/state", link.state)])
    return application
