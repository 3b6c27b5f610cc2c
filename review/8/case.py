"""A new version fails on one route, with one in 17 of its service's requests, from some time on."""

import asyncio
import random
import sys
from pathlib import Path
from typing import Any

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))
sys.dont_write_bytecode = True

from stand_ins_2 import LIMITS, Site, main, now_ms, plain_service, route  # noqa: E402

REQUESTS_PER_S = 40
BAD_ROUTE = "/quote/"
BAD_ROUTE_SHARE = 0.06
ORDER_AT_S = 4.0
DURATION_S = 30
#: The new version is good until then, counted from its start.
BAD_AFTER_S = 8
END_S = 40.0
EXPOSURE_SHARE = 0.1
EXPOSURE_TOLERANCE = 50


async def run(site: Site, trouble: bool) -> tuple[bool, str]:
    generator = random.Random(1)
    fields = {"timeout_ms": 1500, "goal_ms": 150, "attempts": 1}
    await site.store.put(
        "op/config",
        {
            "version": 7,
            "routes": [
                route("/status/", "desk", "idempotent", **fields),
                route(BAD_ROUTE, "desk", "idempotent", **fields),
            ],
            "services": [plain_service("desk")],
            "limits": LIMITS,
        },
    )
    for number in range(2):
        await site.start_replica(f"i-old-{number}", "desk", "v1", slots=6, work_ms=25)
    await site.start_gateways(2)
    site.note("gateways ready")
    begin = asyncio.get_running_loop().time()

    def now_s() -> float:
        return asyncio.get_running_loop().time() - begin

    def on_write(key: str, value: Any) -> None:
        if not key.startswith("status/rollout/"):
            return
        site.note(f"{key} = {value}")
        # At complete the platform stops the old replicas, at rolled_back the new ones drain.
        if value["state"] == "complete":
            for replica in [row for row in site.replicas if row.version == "v1"]:
                site.background(site.stop_replica(replica))
        elif value["state"] == "rolled_back":
            for replica in [row for row in site.replicas if row.version == "v2"]:
                site.background(site.drain_replica(replica))

    async def requests() -> None:
        while now_s() < END_S - 2:
            is_bad_route = generator.random() < BAD_ROUTE_SHARE
            path = f"{BAD_ROUTE}1" if is_bad_route else "/status/1"
            site.background(
                site.request(site.entry(generator), "GET", path, deadline_ms=1500, tag=path)
            )
            await asyncio.sleep(generator.expovariate(REQUESTS_PER_S))

    site.store.on_write = on_write
    site.background(requests())
    await asyncio.sleep(ORDER_AT_S - now_s())
    fails_on = [BAD_ROUTE] if trouble else []
    for number in range(2):
        await site.start_replica(
            f"i-new-{number}",
            "desk",
            "v2",
            slots=6,
            work_ms=25,
            fails_on=fails_on,
            fails_after_s=BAD_AFTER_S,
        )
    order = {"service": "desk", "target": "v2", "duration_s": DURATION_S}
    await site.store.put("op/rollout/desk", order)
    ordered_ms = now_ms()
    site.note("roll-out of v2 ordered")
    await asyncio.sleep(END_S - now_s())
    runs = [
        row
        for row in site.runs()
        if row["event"] == "runs" and 0 <= row["at_ms"] - ordered_ms <= 1_000 * DURATION_S
    ]
    new = [row for row in runs if row["replica"].startswith("i-new")]
    bad = [row for row in site.runs() if row["event"] == "500"]
    limit = EXPOSURE_SHARE * len(runs) + EXPOSURE_TOLERANCE
    status = site.store.value("status/rollout/desk")
    summary = (
        f"{'bad' if trouble else 'good'} version got {len(new)} of {len(runs)} requests between "
        f"the order and its time limit (limit {limit:.0f} for a bad one), {len(bad)} bad answers, "
        f"status {status and status['state']}"
    )
    return trouble and len(new) > limit, summary


main(CASE, run)
