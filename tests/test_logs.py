"""Daemons log the end of every request, but no text and no token of a caller."""

import json
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from standins.site import MODEL, TOKEN, Answer, Site

CHAT = "/v1/chat/completions"
CALLER_TEXT = "the-customers-own-words"
BODY = {"model": MODEL, "max_tokens": 3, "messages": [{"role": "user", "content": CALLER_TEXT}]}
IDEMPOTENCY_KEY = {"Idempotency-Key": f"{CALLER_TEXT}-key"}

#: Requests that end in each way that a single VM can cause: method, path, body, headers.
REQUESTS: dict[str, tuple[str, str, Any, dict[str, str]]] = {
    "answered": ("POST", CHAT, BODY, {}),
    "streamed": ("POST", CHAT, {**BODY, "stream": True}, {}),
    "malformed": ("POST", CHAT, f'{{"model": "{CALLER_TEXT}'.encode(), {}),
    "not utf-8": ("POST", CHAT, f"{CALLER_TEXT}\xff".encode("latin-1"), {}),
    "unknown model": ("POST", CHAT, {**BODY, "model": CALLER_TEXT}, {}),
    "unknown route": ("POST", f"/routes/{CALLER_TEXT}", {}, {}),
    "bad header": ("POST", CHAT, BODY, {"Azureturn-Tier": CALLER_TEXT}),
    "bad token": ("POST", CHAT, BODY, {"Authorization": f"Bearer {CALLER_TEXT}"}),
    "deposit": ("POST", "/routes/deposit", {"name": CALLER_TEXT}, IDEMPOTENCY_KEY),
    "same deposit": ("POST", "/routes/deposit", {"name": CALLER_TEXT}, IDEMPOTENCY_KEY),
    "another body": ("POST", "/routes/deposit", {"name": f"other {CALLER_TEXT}"}, IDEMPOTENCY_KEY),
    "too late": ("POST", CHAT, {**BODY, "max_tokens": 400}, {"Azureturn-Timeout-Ms": "40"}),
    "query": ("GET", f"/routes/job-status/1?name={CALLER_TEXT}", None, {}),
}


def wait_until(condition: Callable[[], bool]) -> None:
    ends_at_s = time.monotonic() + 20.0
    while not condition():
        assert time.monotonic() < ends_at_s
        time.sleep(0.02)


def all_ready(site: Site) -> bool:
    return all(site.call(vm, "GET", "/readyz").status == 200 for vm in site.vm_names)


def logged_events(site: Site, vm: str, answer: Answer) -> set[str]:
    lines = map(json.loads, site.processes[vm].log_path.read_text().splitlines())
    request_id = answer.headers["X-Request-Id"]
    return {line["event"] for line in lines if line.get("request_id") == request_id}


def test_caller_text_and_tokens_are_not_logged_and_every_request_is() -> None:
    with Site(vms=2, zones=2, engines=1, services=1) as site:
        answers = {
            name: site.call("vm-1", method, path, body=body, headers=headers)
            for name, (method, path, body, headers) in REQUESTS.items()
        }
        for vm in site.vm_names:
            site.processes[vm].stop()
        log_texts = {vm: site.processes[vm].log_path.read_text() for vm in site.vm_names}
    all_logs = "\n".join(log_texts.values())
    assert CALLER_TEXT not in all_logs
    assert TOKEN not in all_logs
    lines = [json.loads(line) for line in log_texts["vm-1"].splitlines()]
    logged_request_ids = {line.get("request_id") for line in lines}
    missing = {
        name
        for name, answer in answers.items()
        if answer.headers["X-Request-Id"] not in logged_request_ids
    }
    assert missing == set()


def test_a_request_id_is_logged_by_every_vm_involved() -> None:
    slow = {"bookings-1": {"delay_ms": 1_500}}
    with Site(vms=2, zones=2, engines=1, services=1, switches=slow) as site:
        wait_until(lambda: all_ready(site))

        def deposit(vm: str) -> Answer:
            return site.call(
                vm, "POST", "/routes/deposit", body={"cents": 1}, headers=IDEMPOTENCY_KEY
            )

        with ThreadPoolExecutor() as pool:
            first = pool.submit(deposit, "vm-1")
            wait_until(lambda: bool(site.runs()))
            duplicate = deposit("vm-2")
        assert first.result().status == duplicate.status == 200
        for vm in site.vm_names:
            site.processes[vm].stop()
        events = {vm: logged_events(site, vm, duplicate) for vm in site.vm_names}
    assert events == {"vm-1": {"outcome_asked"}, "vm-2": {"request_ended"}}
