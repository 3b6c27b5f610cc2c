"""What daemons log: nothing of a caller's text or token, and every request's end."""

import json
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from standins.site import MODEL, TOKEN, Answer, Site

CHAT = "/v1/chat/completions"
SECRET_TEXT = "the-customers-own-words"
BODY = {"model": MODEL, "max_tokens": 3, "messages": [{"role": "user", "content": SECRET_TEXT}]}
KEY = {"Idempotency-Key": f"{SECRET_TEXT}-key"}

#: Requests that end in as many ways as one process can bring about.
CALLS: dict[str, tuple[str, str, Any, dict[str, str]]] = {
    "answered": ("POST", CHAT, BODY, {}),
    "streamed": ("POST", CHAT, {**BODY, "stream": True}, {}),
    "malformed": ("POST", CHAT, f'{{"model": "{SECRET_TEXT}'.encode(), {}),
    "not utf-8": ("POST", CHAT, f"{SECRET_TEXT}\xff".encode("latin-1"), {}),
    "unknown model": ("POST", CHAT, {**BODY, "model": SECRET_TEXT}, {}),
    "unknown route": ("POST", f"/routes/{SECRET_TEXT}", {}, {}),
    "bad header": ("POST", CHAT, BODY, {"Azureturn-Tier": SECRET_TEXT}),
    "bad token": ("POST", CHAT, BODY, {"Authorization": f"Bearer {SECRET_TEXT}"}),
    "deposit": ("POST", "/routes/deposit", {"name": SECRET_TEXT}, KEY),
    "same deposit": ("POST", "/routes/deposit", {"name": SECRET_TEXT}, KEY),
    "another body": ("POST", "/routes/deposit", {"name": f"other {SECRET_TEXT}"}, KEY),
    "too late": ("POST", CHAT, {**BODY, "max_tokens": 400}, {"Azureturn-Timeout-Ms": "40"}),
    "query": ("GET", f"/routes/job-status/1?name={SECRET_TEXT}", None, {}),
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


def test_no_text_or_token_of_a_caller_is_logged_and_every_answer_is() -> None:
    with Site(vms=2, zones=2, engines=1, services=1) as site:
        answers = {
            name: site.call("vm-1", method, path, body=body, headers=headers)
            for name, (method, path, body, headers) in CALLS.items()
        }
        for vm in site.vm_names:
            site.processes[vm].stop()
        logged = {vm: site.processes[vm].log_path.read_text() for vm in site.vm_names}
    everything = "\n".join(logged.values())
    assert SECRET_TEXT not in everything
    assert TOKEN not in everything
    lines = [json.loads(line) for line in logged["vm-1"].splitlines()]
    told = {line.get("request_id") for line in lines}
    missing = {n for n, one in answers.items() if one.headers["X-Request-Id"] not in told}
    assert missing == set()


def test_a_request_is_followed_by_its_id_across_vms() -> None:
    slow = {"bookings-1": {"delay_ms": 1_500}}
    with Site(vms=2, zones=2, engines=1, services=1, switches=slow) as site:
        wait_until(lambda: all_ready(site))

        def deposit(vm: str) -> Answer:
            return site.call(vm, "POST", "/routes/deposit", body={"cents": 1}, headers=KEY)

        with ThreadPoolExecutor() as pool:
            first = pool.submit(deposit, "vm-1")
            wait_until(lambda: bool(site.runs()))
            duplicate = deposit("vm-2")
        assert first.result().status == duplicate.status == 200
        for vm in site.vm_names:
            site.processes[vm].stop()
        events = {vm: logged_events(site, vm, duplicate) for vm in site.vm_names}
    assert events == {"vm-1": {"outcome_asked"}, "vm-2": {"request_ended"}}
