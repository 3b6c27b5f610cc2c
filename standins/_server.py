"""Code shared by the stand-ins: an HTTP server on loopback, and switches set at run time."""

import argparse
import asyncio
import signal
from collections.abc import Callable
from dataclasses import fields, replace
from typing import Any, TypeVar

from aiohttp import web

LOOPBACK = "127.0.0.1"
_Switches = TypeVar("_Switches")

STANDINS: dict[str, Callable[[argparse.Namespace], web.Application]] = {}
_Factory = TypeVar("_Factory", bound=Callable[[argparse.Namespace], web.Application])


def register_standin(name: str) -> Callable[[_Factory], _Factory]:
    """Register the decorated factory of a stand-in's application under a name."""

    def register(factory: _Factory) -> _Factory:
        STANDINS[name] = factory
        return factory

    return register


def changed_switches(switches: _Switches, changes: dict[str, Any]) -> _Switches:
    """Return a copy with the changes; raise HTTPBadRequest for names that do not exist."""
    known = {one.name for one in fields(switches)}  # type: ignore[arg-type]
    unknown = set(changes) - known
    if unknown:
        raise web.HTTPBadRequest(
            text=f"unknown switches: {sorted(unknown)}; known: {sorted(known)}"
        )
    return replace(switches, **changes)  # type: ignore[type-var]


async def _run(application: web.Application, port: int) -> None:
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, LOOPBACK, port, backlog=1024).start()
    stopped = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    await stopped.wait()
    await runner.cleanup()


def main() -> None:
    """Run the stand-in named on the command line until SIGINT or SIGTERM."""
    parser = argparse.ArgumentParser(prog="python -m standins")
    parser.add_argument("kind", choices=sorted(STANDINS))
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--name", default="standin")
    parser.add_argument("--switches", default="{}", help="JSON object of initial switches")
    arguments = parser.parse_args()
    asyncio.run(_run(STANDINS[arguments.kind](arguments), arguments.port))
