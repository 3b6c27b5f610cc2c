"""Streams of a replica that preempts them are cut off around a SIGHUP, with nowhere to go on."""

import asyncio
import signal
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))
sys.dont_write_bytecode = True

from stand_ins_2 import LIMITS, Site, engine_service, main, now_ms, route  # noqa: E402

#: The sheet's figures for the first kind of request of blsa-outage.
GOAL_MS = 800
GAP_TARGET_MS = 400
TIMEOUT_MS = 15000
PROMPT_TOKENS = 6610
EVENTS = 50
PAUSE_MS = 80
#: Memory for a little more than eight prompts, which the answers fill; or for far more.
SMALL_KV, LARGE_KV = 54_000, 432_820
STREAMS = 8
ROUNDS = 3
SIGHUP_AFTER_S = 0.5
CONFIG_APPLY_MS = 2000
#: No other disturbance is near a round.
ROUND_S = 14.0
CALM_S = 4.0


async def run(site: Site, trouble: bool) -> tuple[bool, str]:
    kv_capacity = SMALL_KV if trouble else LARGE_KV
    await site.store.put(
        "op/config",
        {
            "version": 7,
            "routes": [
                route(
                    "/chat/", "llm", "stream", timeout_ms=TIMEOUT_MS, goal_ms=GOAL_MS,
                    attempts=2, resumable=True, sticky=True, gap_target_ms=GAP_TARGET_MS,
                ),
            ],
            "services": [engine_service("llm", 9, kv_capacity)],
            "limits": LIMITS,
        },
    )  # fmt: skip
    options = {"slots": 9, "events": EVENTS, "pause_ms": PAUSE_MS, "first_ms": 300}
    options["kv_capacity"] = kv_capacity
    await site.start_replica("i-llm-0", "llm", **options)
    await site.start_gateways(1)
    site.note("gateway ready")
    gateway = site.gateways[0]
    await asyncio.sleep(CALM_S)
    sighups_ms: list[int] = []
    for number in range(ROUNDS):
        for stream in range(STREAMS):
            site.background(
                site.request(
                    gateway, "POST", "/chat/1", deadline_ms=TIMEOUT_MS,
                    headers=[
                        "X-Model: m", f"X-Token-Count: {PROMPT_TOKENS},300",
                        f"X-Prompt-Prefix: 5c1e07a2:60,{number:x}ab{stream:x}:{PROMPT_TOKENS - 60}",
                    ],
                    body=b"x" * 600, tag=f"chat-{number}",
                )
            )  # fmt: skip
        await asyncio.sleep(SIGHUP_AFTER_S)
        # A field that is new, as "the settings file has changed".
        gateway.change_setting("heartbeat_ms", str(1200 + number + 1))
        gateway.signal(signal.SIGHUP)
        sighups_ms.append(now_ms())
        site.note("SIGHUP")
        await asyncio.sleep(ROUND_S - SIGHUP_AFTER_S)
    preempted = {row["id"] for row in site.runs() if row["event"] == "preempted"}
    dropped = {row["id"] for row in site.runs() if row["event"] == "dropped"}
    lost = [row for row in site.answers if is_lost(row, sighups_ms)]
    complete = sum(answer.is_complete for answer in site.answers)
    summary = (
        f"of {len(site.answers)} streams around a SIGHUP, {len(preempted)} were preempted "
        f"and {complete} were complete; {len(lost)} ended without a complete "
        f"answer after they had been passed on, before their time limit, and the replica saw "
        f"{len(dropped)} channels close while it held the request"
    )
    return bool(lost), summary


def is_lost(answer, sighups_ms: list[int]) -> bool:  # type: ignore[no-untyped-def]
    """Return whether a request's channel ended too soon, by the rule, around a SIGHUP."""
    if answer.is_complete or not answer.done_ms or answer.error == "time limit":
        return False
    if answer.done_ms - answer.sent_ms >= TIMEOUT_MS:
        return False
    return any(
        answer.sent_ms <= at_ms + CONFIG_APPLY_MS and answer.done_ms > at_ms
        for at_ms in sighups_ms
        if abs(answer.sent_ms - at_ms) < 1_000 * ROUND_S / 2
    )


main(CASE, run)
