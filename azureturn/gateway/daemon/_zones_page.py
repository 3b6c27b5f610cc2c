"""The page on which a gateway reports zones out of service and cold upstreams."""

import json
import math

from azureturn.framework import Core
from azureturn.gateway.decisions import ColdUpstreamTable, ViewTable, cold_upstreams
from azureturn.gateway.exchange import StatusPage


def zones_page(core: Core, vm: str, now_ms: int) -> StatusPage:
    """Return the page as JSON."""
    views = core.board.table(ViewTable)
    cold = core.board.table(ColdUpstreamTable)
    document = {
        "vm": vm,
        "revision": views.current().revision,
        "in_contact": views.store_contact_ms(now_ms) is not None,
        "evacuated": sorted(views.evacuated_zones(now_ms)),
        "cold": [
            {
                "upstream": upstream.name,
                "zone": upstream.availability_zone,
                "cold_left_ms": _left_ms(cold, upstream.run, now_ms),
            }
            for upstream in cold_upstreams(core.board, now_ms)
        ],
    }
    return StatusPage(200, json.dumps(document).encode(), "application/json")


def _left_ms(cold: ColdUpstreamTable, run: tuple[str, int], now_ms: int) -> int:
    """Return for how much longer an upstream is taken for cold; -1 if that is not known."""
    row = cold.get(run)
    left_ms = 0.0 if row is None else row.until_ms() - now_ms
    return -1 if math.isinf(left_ms) else math.ceil(left_ms)
