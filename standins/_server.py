"""Code shared by the stand-ins: an HTTP server on loopback, and the change of switches.

A stand-in is a fake of a service that azureturn calls. A switch is a setting of its behaviour, such
as a fault, which can be changed at run time; each stand-in defines its own in a data class
``Switches``.
"""

import argparse
import asyncio
import signal
from collections.abc import Callable
from dataclasses import fields, replace
from typing import Any, TypeVar

from aiohttp import web

LOOPBACK = "127.0.0.1"
_SwitchesT = TypeVar("_SwitchesT")

#: Factories of the stand-ins' applications by kind.
STANDINS: dict[str, Callable[[argparse.Namespace], web.Application]] = {}
_FactoryT = TypeVar("_FactoryT", bound=Callable[[argparse.Namespace], web.Application])


def register_standin(kind: str) -> Callable[[_FactoryT], _FactoryT]:
    """Register the decorated factory of a stand-in's application under a kind."""

    def register(factory: _FactoryT) -> _FactoryT:
        STANDINS[kind] = factory
        return factory

    return register


def replace_switches(switches: _SwitchesT, changes: dict[str, Any]) -> _SwitchesT:
    """Return a copy with the changes; raise HTTPBadRequest for names of no switch."""
    known = {switch.name for switch in fields(switches)}  # type: ignore[arg-type]
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
    """Run the stand-in selected on the command line until SIGINT or SIGTERM."""
    parser = argparse.ArgumentParser(prog="python -m standins")
    parser.add_argument("kind", choices=sorted(STANDINS))
    parser.add_argument("--port", type=int, required=True)
    # An engine seeds its random faults with the name, and a plain service reports it in answers.
    parser.add_argument("--name", default="standin")
    parser.add_argument("--switches", default="{}", help="JSON object of initial switches")
    arguments = parser.parse_args()
    asyncio.run(_run(STANDINS[arguments.kind](arguments), arguments.port))
