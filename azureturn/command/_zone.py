"""``azureturn zone``: availability zones out of service, and cold upstreams, at gateways."""

import json
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from typing import Annotated, Any

import cappa
import urllib3

from azureturn._limited_http import limited_pool_manager, read_whole
from azureturn.command._exit_codes import ExitCode
from azureturn.command._output import Output, format_table
from azureturn.command._site import QUERY_THREADS, QUERY_TIMEOUT_MS

#: Page of a gateway's metrics port that the command reads.
ZONES_PATH = "/zones"
_MS_PER_S = 1_000
_MAX_PAGE_BYTES = 1 << 20


@dataclass(frozen=True)
class GatewayZones:
    """What one gateway reports of zones and cold upstreams."""

    vm: str
    #: Store revision of the gateway's view.
    revision: int
    #: Whether the store answers the gateway.
    in_contact: bool
    evacuated: tuple[str, ...]
    #: Cold upstreams, each with the time for which it is taken for cold.
    cold: tuple[str, ...]

    @classmethod
    def from_document(cls, document: Any) -> "GatewayZones":
        """Return the row for a page; raises ``ValueError`` if it has another form."""
        try:
            return cls(
                vm=str(document["vm"]),
                revision=int(document["revision"]),
                in_contact=bool(document["in_contact"]),
                evacuated=tuple(str(zone) for zone in document["evacuated"]),
                cold=tuple(
                    f"{row['upstream']} {row['cold_left_ms']} ms" for row in document["cold"]
                ),
            )
        except (KeyError, TypeError) as error:
            raise ValueError("not the page of a gateway") from error


@cappa.command(
    name="list", help="List zones out of service and cold upstreams, as gateways see it."
)
@dataclass(frozen=True)
class ZoneList:
    """``azureturn zone list``."""

    gateways: Annotated[
        list[str], cappa.Arg(help="HOST:PORT of gateways' metrics pages (limits.metrics_port).")
    ]
    json: Annotated[
        bool, cappa.Arg(long=True, show_default=False, help="Print JSON instead of text.")
    ] = False

    def __call__(self) -> ExitCode:
        """Read the page of each gateway."""
        with ThreadPoolExecutor(max_workers=QUERY_THREADS) as pool:
            results = list(pool.map(_read_zones, self.gateways))
        rows = [result for result in results if isinstance(result, GatewayZones)]
        silent = [
            {"gateway": address, "cause": result}
            for address, result in zip(self.gateways, results, strict=True)
            if isinstance(result, str)
        ]
        headings = ["vm", "revision", "in contact", "evacuated", "cold upstreams"]
        cells = [
            [
                row.vm,
                row.revision,
                "yes" if row.in_contact else "no",
                ",".join(row.evacuated) or "-",
                ", ".join(row.cold) or "-",
            ]
            for row in rows
        ]
        silent_text = "".join(
            f"no response from {row['gateway']}: {row['cause']}\n" for row in silent
        )
        document = {"gateways": [asdict(row) for row in rows], "silent": silent}
        output = Output.to_stdout(as_json=self.json)
        output.write(document, f"{format_table(headings, cells)}\n{silent_text}")
        if not rows:
            return ExitCode.UNAVAILABLE
        return ExitCode.PARTIAL if silent else ExitCode.OK


@cappa.command(name="zone", help="See availability zones that are out of service.")
@dataclass(frozen=True)
class ZoneCommand:
    """``azureturn zone``."""

    command: cappa.Subcommands[ZoneList]


def _read_zones(address: str) -> GatewayZones | str:
    """Return what a gateway reports, or why it does not."""
    timeout_s = QUERY_TIMEOUT_MS / _MS_PER_S
    try:
        response = limited_pool_manager(retries=False, timeout=timeout_s).request(
            "GET", f"http://{address}{ZONES_PATH}", redirect=False, preload_content=False
        )
        if response.status != 200:
            return f"status {response.status}"
        return GatewayZones.from_document(
            json.loads(read_whole(response, limit_bytes=_MAX_PAGE_BYTES))
        )
    except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
        return f"{type(error).__name__}: {error}"
