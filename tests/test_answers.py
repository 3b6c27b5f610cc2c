"""A caller gets the complete answer to its own request, or an error with the right run state."""

import json
import socket
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from azureturn.errors import ErrorKind
from standins.site import LOOPBACK, MODEL, TOKEN, Answer, Site

CHAT = "/v1/chat/completions"
ENGINE = "engine-1"
SERVICE = "bookings-1"
SILENCE_TIMEOUT_MS = 150
WAIT_LIMIT_S = 20.0


@pytest.fixture(scope="module")
def shared_site() -> Iterator[Site]:
    limits = {"silence_timeout_ms": SILENCE_TIMEOUT_MS, "connect_timeout_ms": 300}
    # The tests share the site: with early refusal enabled, VMs would refuse requests of one test on
    # arrival because of the latencies that they learned from a slow engine in the test before.
    shared = {"policy": {"early_refusal": False}}
    with Site(
        vms=1, zones=1, engines=1, services=1, daemon_settings=limits, shared_settings=shared
    ) as site:
        yield site


@pytest.fixture
def site(shared_site: Site) -> Iterator[Site]:
    yield shared_site
    shared_site.control(ENGINE, silent=False, truncate_after_tokens=0, close_after_read=False)
    shared_site.control(ENGINE, wrong_request_id=False, fail_share=0.0, silent_after_tokens=0)
    shared_site.control(ENGINE, step_base_ms=12.0, crossed_after_tokens=0)
    shared_site.control(SERVICE, silent=False, close_after_run=False, truncate=False, delay_ms=2)
    shared_site.control(SERVICE, close_after_read=False, unannounced_length=False, drip_ms=0)


def send_chat(site: Site, *, stream: bool, tokens: int = 8, timeout_ms: int = 10_000) -> Answer:
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": "wool"}],
        "max_tokens": tokens,
        "stream": stream,
    }
    return site.call(
        "vm-1", "POST", CHAT, body=body, headers={"Azureturn-Timeout-Ms": str(timeout_ms)}
    )


def text_of(answer: Answer, *, stream: bool) -> str:
    if not stream:
        return str(answer.json()["choices"][0]["message"]["content"])
    assert answer.body.endswith(b"data: [DONE]\n\n"), answer.body[-300:]
    chunks = [
        json.loads(line[6:]) for line in answer.body.split(b"\n") if line.startswith(b"data: {")
    ]
    return "".join(chunk["choices"][0]["delta"].get("content", "") for chunk in chunks)


def expected_text(count: int) -> str:
    return "".join(f"word{number} " for number in range(1, count + 1))


def wait_for(condition: Callable[[], bool]) -> None:
    ends_at_s = time.monotonic() + WAIT_LIMIT_S
    while not condition():
        assert time.monotonic() < ends_at_s, "condition not met within WAIT_LIMIT_S"
        time.sleep(0.02)


def dispatch_count(site: Site, answer: Answer) -> int:
    return int(site.read(ENGINE, "/runs").get(answer.headers["X-Request-Id"], 0))


RECOVERABLE_FAULTS: dict[str, dict[str, Any]] = {
    "cut after one token": {"truncate_after_tokens": 1},
    "cut at the last token": {"truncate_after_tokens": 8},
    "silent at first, and for longer than a resume": {"silent_after_tokens": 0, "silent": True},
    "silent after three tokens": {"silent_after_tokens": 3},
    "slower than the time limit": {"step_base_ms": 2.0 * SILENCE_TIMEOUT_MS},
}


@pytest.mark.parametrize("stream", [True, False])
@pytest.mark.parametrize("case", RECOVERABLE_FAULTS)
def test_a_truncated_or_stalled_answer_is_completed(site: Site, case: str, stream: bool) -> None:
    site.control(ENGINE, **RECOVERABLE_FAULTS[case])
    if RECOVERABLE_FAULTS[case].get("silent"):
        end_silence = threading.Timer(
            4 * SILENCE_TIMEOUT_MS / 1_000, site.control, [ENGINE], {"silent": False}
        )
        end_silence.start()
    answer = send_chat(site, stream=stream)
    assert answer.status == 200, answer.body
    assert text_of(answer, stream=stream) == expected_text(8)
    assert dispatch_count(site, answer) == 1


FATAL_FAULTS: dict[str, tuple[dict[str, Any], ErrorKind, str]] = {
    "read and closed": ({"close_after_read": True}, ErrorKind.ANSWER_TRUNCATED, "unknown"),
    "header of another request": (
        {"wrong_request_id": True},
        ErrorKind.ANSWER_MISMATCHED,
        "unknown",
    ),
    "chunks of another request": (
        {"crossed_after_tokens": 2},
        ErrorKind.ANSWER_MISMATCHED,
        "unknown",
    ),
    "failure": ({"fail_share": 1.0}, ErrorKind.UPSTREAM_FAILED, "ran"),
}


@pytest.mark.parametrize("case", FATAL_FAULTS)
def test_an_unrecoverable_answer_is_an_error_after_one_attempt(site: Site, case: str) -> None:
    switches, kind, run_state = FATAL_FAULTS[case]
    site.control(ENGINE, **switches)
    answer = send_chat(site, stream=False)
    assert answer.headers["Azureturn-Error-Kind"] == kind
    assert answer.headers["Azureturn-Run-State"] == run_state
    assert dispatch_count(site, answer) == 1


def test_a_stream_with_events_of_another_request_ends_without_terminator(site: Site) -> None:
    site.control(ENGINE, crossed_after_tokens=2)
    answer = send_chat(site, stream=True)
    assert b"[DONE]" not in answer.body
    assert json.loads(answer.body.split(b"data: ")[-1])["error"]["type"] == "answer_mismatched"
    assert answer.body.count(b"another-request") == 0


def test_silence_past_the_deadline_is_reported_and_cancelled(site: Site) -> None:
    site.control(ENGINE, silent=True, step_base_ms=500.0)
    cancelled_before = site.read(ENGINE, "/counters")["cancelled"]
    answer = send_chat(site, stream=False, tokens=20, timeout_ms=1_500)
    assert answer.headers["Azureturn-Error-Kind"] == ErrorKind.UPSTREAM_SILENT, answer.body
    assert answer.headers["Azureturn-Run-State"] == "unknown"
    assert dispatch_count(site, answer) == 1
    wait_for(lambda: site.read(ENGINE, "/counters")["cancelled"] - cancelled_before == 1)


SERVICE_FAILURES: dict[str, tuple[dict[str, Any], int]] = {
    "read and closed": ({"close_after_read": True}, 0),
    "run and closed": ({"close_after_run": True}, 1),
    "shorter than announced": ({"truncate": True}, 1),
    "no length announced": ({"unannounced_length": True}, 1),
    "silent past the deadline": ({"silent": True}, 1),
    "a byte at a time past the deadline": ({"drip_ms": 150}, 1),
}


@pytest.mark.parametrize("case", SERVICE_FAILURES)
def test_a_failed_service_call_is_attempted_once_with_unknown_outcome(
    site: Site, case: str
) -> None:
    switches, runs = SERVICE_FAILURES[case]
    site.control(SERVICE, **switches)
    attempts_before = site.read(SERVICE, "/attempts")["attempts"]
    headers = {"Idempotency-Key": f"answers-{case}", "Azureturn-Timeout-Ms": "600"}
    for _ in range(2):
        answer = site.call("vm-1", "POST", "/routes/deposit", body={}, headers=headers)
        assert answer.headers["Azureturn-Error-Kind"] == ErrorKind.OUTCOME_UNKNOWN
        assert answer.headers["Azureturn-Run-State"] == "unknown"
    assert site.read(SERVICE, "/attempts")["attempts"] - attempts_before == 1
    assert site.runs().get(f"answers-{case}", 0) == runs


def raw_request(site: Site, path: str, body: dict[str, Any], *headers: str) -> socket.socket:
    data = json.dumps(body).encode()
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: x",
        f"Authorization: Bearer {TOKEN}",
        f"Content-Length: {len(data)}",
        *headers,
        "",
        "",
    ]
    connection = socket.create_connection((LOOPBACK, site.processes["vm-1"].port), timeout=10)
    connection.sendall("\r\n".join(lines).encode() + data)
    return connection


@pytest.mark.parametrize("stream", [True, False])
def test_an_engine_request_is_cancelled_when_its_caller_disconnects(
    site: Site, stream: bool
) -> None:
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": "wool"}],
        "max_tokens": 100_000,
        "stream": stream,
    }
    cancelled_before = site.read(ENGINE, "/counters")["cancelled"]
    connection = raw_request(site, CHAT, body)
    wait_for(lambda: site.read(ENGINE, "/load")["running"] == 1)
    connection.close()
    wait_for(lambda: site.read(ENGINE, "/load")["running"] == 0)
    assert site.read(ENGINE, "/counters")["cancelled"] - cancelled_before == 1


def test_a_service_call_completes_and_keeps_its_outcome_after_its_caller_disconnects(
    site: Site,
) -> None:
    site.control(SERVICE, delay_ms=300)
    key = "answers-caller-left"
    connection = raw_request(site, "/routes/deposit", {}, f"Idempotency-Key: {key}")
    wait_for(lambda: site.runs().get(key) == 1)
    connection.close()
    headers = {"Idempotency-Key": key}
    answer = site.call("vm-1", "POST", "/routes/deposit", body={}, headers=headers)
    assert answer.status == 200
    assert answer.headers["Azureturn-Duplicate"] == "true"
    assert site.runs()[key] == 1
