"""End-to-end tests of requests that their first upstream or VM cannot serve."""

import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor, wait
from typing import Any

from standins.site import MODEL, Answer, Site

CHAT = "/v1/chat/completions"
WAIT_LIMIT_S = 20.0
QUEUE_LIMIT = 4


def chat(tokens: int, *, stream: bool = False) -> dict[str, Any]:
    messages = [{"role": "user", "content": "wool"}]
    return {"model": MODEL, "messages": messages, "max_tokens": tokens, "stream": stream}


def test_a_refused_connection_is_retried_at_another_upstream() -> None:
    with Site(vms=1, zones=1, engines=3, services=1) as site:
        for upstream in ("engine-1", "engine-2"):
            site.processes[upstream].kill()
        answers = [site.call("vm-1", "POST", CHAT, body=chat(2)) for _ in range(12)]
        assert [answer.status for answer in answers] == [200] * 12
        assert {answer.headers["Azureturn-Upstream"] for answer in answers} == {"engine-3"}
        assert set(site.read("engine-3", "/runs").values()) == {1}


def test_with_every_upstream_down_the_refusal_reports_not_run() -> None:
    with Site(vms=1, zones=1, engines=1, services=1) as site:
        site.processes["engine-1"].kill()
        headers = {"Azureturn-Timeout-Ms": "1500"}
        answer = site.call("vm-1", "POST", CHAT, body=chat(2), headers=headers)
        assert answer.status >= 500
        assert answer.headers["Azureturn-Run-State"] == "not_run"


def test_a_forwarded_id_cannot_be_forged() -> None:
    with Site(vms=1, zones=1, engines=1, services=1) as site:
        headers = {"Azureturn-Forwarded": "vm-9-1234.signature.of-nobody"}
        answer = site.call("vm-1", "POST", CHAT, body=chat(2), headers=headers)
        assert answer.headers["Azureturn-Error-Kind"] == "forbidden"


def test_a_peer_with_less_urgent_work_accepts_requests_that_would_be_shed() -> None:
    """The only engine is busy; vm-2's queue is full of deferrable work, vm-1's of urgent work."""
    shared = {"policy": {"queue_limit": QUEUE_LIMIT, "early_refusal": False}}
    slots = {"engine-1": {"slots": 1}}
    with (
        Site(
            vms=2,
            zones=1,
            engines=1,
            services=1,
            shared_settings=shared,
            upstream_settings=slots,
            switches=slots,
        ) as site,
        ThreadPoolExecutor(128) as pool,
    ):

        def submit_chat(vm: str, tier: str, tokens: int) -> "Future[Answer]":
            headers = {"Azureturn-Tier": tier}
            return pool.submit(site.call, vm, "POST", CHAT, body=chat(tokens), headers=headers)

        occupying = [submit_chat("vm-1", "urgent", 400) for _ in range(2)]
        wait_for(lambda: site.read("engine-1", "/load")["running"] > 0)
        deferrable = [submit_chat("vm-2", "deferrable", 1) for _ in range(4)]
        urgent: list[Future[Answer]] = []

        def peer_accepted_one() -> bool:
            """Send one more request; vm-1 queues at most four, so a fifth waits at vm-2."""
            urgent.append(submit_chat("vm-1", "urgent", 1))
            wait([urgent[-1]], timeout=0.2)
            return sum(not future.done() for future in urgent) > QUEUE_LIMIT

        wait_for(peer_accepted_one)
        answers = [future.result() for future in urgent]
        assert "vm-2" in {
            answer.headers["Azureturn-Vm"] for answer in answers if answer.status == 200
        }
        assert {future.result().status for future in occupying} == {200}
        assert {future.result().status for future in deferrable} <= {200, 503}
        assert set(site.read("engine-1", "/runs").values()) == {1}


def wait_for(condition: Callable[[], bool]) -> None:
    ends_at_s = time.monotonic() + WAIT_LIMIT_S
    while not condition():
        assert time.monotonic() < ends_at_s, "condition not met within WAIT_LIMIT_S"
        time.sleep(0.02)
