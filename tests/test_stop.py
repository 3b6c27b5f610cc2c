"""A planned stop completes the requests in flight, or reports how many it aborted."""

import http.client
import json
import signal
import socket
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

import pytest
import urllib3

from standins.site import LOOPBACK, MODEL, TOKEN, Answer, Site, link_name

CHAT = "/v1/chat/completions"
ENGINE = "engine-1"
SERVICE = "bookings-1"
BALANCER_LAG_MS = 1_500
TOKENS = 150
WAIT_LIMIT_S = 20.0
#: Exceeds the socket buffers between a daemon and its caller, so the daemon can't finish sending
#: before the caller reads.
LARGE_ANSWER_BYTES = 12_000_000


def new_site(**daemon_settings: Any) -> Site:
    limits = {"balancer_lag_ms": BALANCER_LAG_MS, **daemon_settings}
    slots = {ENGINE: {"slots": 2}}
    return Site(
        vms=1, zones=1, engines=1, services=1, daemon_settings=limits, upstream_settings=slots
    )


@pytest.fixture
def site() -> Iterator[Site]:
    with new_site() as running_site:
        # The port accepts connections before the daemon has started completely.
        wait_for(lambda: readiness_status(running_site) == 200)
        yield running_site


def chat(tokens: int) -> dict[str, Any]:
    messages = [{"role": "user", "content": "wool"}]
    return {"model": MODEL, "messages": messages, "max_tokens": tokens, "stream": True}


def wait_for(condition: Callable[[], bool]) -> None:
    ends_at_s = time.monotonic() + WAIT_LIMIT_S
    while not condition():
        assert time.monotonic() < ends_at_s, "condition not met within WAIT_LIMIT_S"
        time.sleep(0.02)


def start_stream(site: Site, pool: ThreadPoolExecutor, tokens: int = TOKENS) -> "Future[Answer]":
    answer = pool.submit(site.call, "vm-1", "POST", CHAT, body=chat(tokens))
    wait_for(lambda: site.read(ENGINE, "/load")["running"] > 0)
    return answer


def begun_stream(site: Site) -> urllib3.BaseHTTPResponse:
    """Return a long stream of which the caller has received the beginning."""
    response = site.http.request(
        "POST",
        site.processes["vm-1"].url + CHAT,
        json=chat(100_000),
        headers={"Authorization": f"Bearer {TOKEN}"},
        preload_content=False,
        timeout=WAIT_LIMIT_S,
    )
    assert response.read(1)
    return response


def exit_code(site: Site) -> int:
    handle = site.processes["vm-1"].handle
    assert handle is not None
    return handle.wait(WAIT_LIMIT_S)


def readiness_status(site: Site) -> int:
    return site.call("vm-1", "GET", "/readyz").status


def test_requests_in_flight_complete_and_new_ones_are_refused_after_the_balancer_lag(
    site: Site,
) -> None:
    site.control(SERVICE, delay_ms=BALANCER_LAG_MS + 700)
    headers = {"Idempotency-Key": "stop-deposit"}
    with ThreadPoolExecutor() as pool:
        stream = start_stream(site, pool)
        deposit = pool.submit(
            site.call, "vm-1", "POST", "/routes/deposit", body={}, headers=headers
        )
        wait_for(lambda: site.runs().get("stop-deposit") == 1)
        assert readiness_status(site) == 200
        site.processes["vm-1"].send_signal(signal.SIGTERM)
        wait_for(lambda: readiness_status(site) == 503)
        during_lag = site.call("vm-1", "POST", CHAT, body=chat(3))
        assert during_lag.body.endswith(b"data: [DONE]\n\n")
        wait_for(lambda: site.call("vm-1", "GET", "/v1/models").status == 503)
        after_lag = site.call("vm-1", "POST", CHAT, body=chat(3))
        assert after_lag.headers["Azureturn-Error-Kind"] == "stopping"
        assert after_lag.headers["Azureturn-Run-State"] == "not_run"
        assert after_lag.headers["Connection"].lower() == "close"
        assert stream.result().body.endswith(b"data: [DONE]\n\n")
        assert deposit.result().status == 200
    assert exit_code(site) == 0
    assert site.log_rows("vm-1", "daemon_stopped")[0]["requests_cut"] == 0
    assert site.runs()["stop-deposit"] == 1


def test_a_second_signal_cuts_requests_and_reports_them(site: Site) -> None:
    stream = begun_stream(site)
    for _ in range(2):
        site.processes["vm-1"].send_signal(signal.SIGTERM)
        wait_for(lambda: bool(site.log_rows("vm-1", "daemon_stopping")))
    assert exit_code(site) == 3
    with pytest.raises(urllib3.exceptions.HTTPError):
        stream.read()
    assert site.log_rows("vm-1", "daemon_stopped")[0]["requests_cut"] == 1


def test_every_request_that_was_read_is_answered_at_a_second_signal() -> None:
    # Guards against LOST (review/12): what waited when the process ended got no answer at all.
    link = ("vm-1", "key-value")
    slots = {ENGINE: {"slots": 2}}
    site = Site(vms=1, zones=1, engines=1, services=1, links=(link,), upstream_settings=slots)
    with site, ThreadPoolExecutor() as pool:
        wait_for(lambda: readiness_status(site) == 200)
        site.control(SERVICE, delay_ms=int(1_000 * WAIT_LIMIT_S))

        def deposit(key: str) -> "Future[Answer]":
            headers = {"Idempotency-Key": key, "Azureturn-First-Attempt": "true"}
            path = "/routes/deposit"
            return pool.submit(site.call, "vm-1", "POST", path, body={}, headers=headers)

        sent = deposit("sent")
        wait_for(lambda: site.runs().get("sent") == 1)
        site.control(link_name(*link), mode="drop")
        unclaimed = deposit("unclaimed")
        streams = [begun_stream(site) for _ in range(2)]
        deferrable = {"Azureturn-Tier": "deferrable"}
        waiting = pool.submit(site.call, "vm-1", "POST", CHAT, body=chat(3), headers=deferrable)
        upload = pool.submit(_status_of_unfinished_upload, site)
        # One that is read later is refused in the same way.
        threading.Event().wait(0.5)
        for _ in range(2):
            site.processes["vm-1"].send_signal(signal.SIGTERM)
            wait_for(lambda: bool(site.log_rows("vm-1", "daemon_stopping")))
        assert (sent.result().status, _run_state(sent)) == (504, "unknown")
        assert (waiting.result().status, _run_state(waiting)) == (503, "not_run")
        assert (unclaimed.result().status, _run_state(unclaimed)) == (503, "not_run")
        assert upload.result() == 503
        assert exit_code(site) == 3
        assert site.log_rows("vm-1", "daemon_stopped")[0]["requests_cut"] == len(streams)
        assert "unclaimed" not in site.runs()


def _run_state(answer: "Future[Answer]") -> str:
    return answer.result().headers["Azureturn-Run-State"]


def _status_of_unfinished_upload(site: Site) -> int:
    """Send a part of a body, and return the status of the answer."""
    port = site.processes["vm-1"].port
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=WAIT_LIMIT_S)
    connection.putrequest("POST", CHAT)
    connection.putheader("Authorization", f"Bearer {TOKEN}")
    connection.putheader("Content-Length", "100")
    connection.endheaders(b"part")
    return connection.getresponse().status


def test_the_stop_time_limit_cuts_requests_and_reports_them() -> None:
    with new_site(stop_limit_ms=200, balancer_lag_ms=50) as site:
        stream = begun_stream(site)
        site.processes["vm-1"].send_signal(signal.SIGTERM)
        assert exit_code(site) == 3
        with pytest.raises(urllib3.exceptions.HTTPError):
            stream.read()
        assert site.log_rows("vm-1", "daemon_stopped")[0]["requests_cut"] == 1


def test_a_slow_reader_gets_its_complete_answer() -> None:
    with new_site(balancer_lag_ms=50) as site, socket.socket() as caller:
        site.control(SERVICE, padding_bytes=LARGE_ANSWER_BYTES)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        caller.settimeout(WAIT_LIMIT_S)
        caller.connect((LOOPBACK, site.processes["vm-1"].port))
        head = f"GET /routes/job-status/1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TOKEN}\r\n"
        caller.sendall(head.encode() + b"Connection: close\r\n\r\n")
        read_bytes = len(caller.recv(1_024))
        site.processes["vm-1"].send_signal(signal.SIGTERM)
        wait_for(lambda: bool(site.log_rows("vm-1", "daemon_stopping")))
        threading.Event().wait(1.5)
        while chunk := caller.recv(1 << 16):
            read_bytes += len(chunk)
        assert read_bytes > LARGE_ANSWER_BYTES
        assert exit_code(site) == 0


def test_a_queued_request_is_dropped_when_its_caller_disconnects(site: Site) -> None:
    with ThreadPoolExecutor() as pool:
        streams = [start_stream(site, pool, tokens=400) for _ in range(2)]
        wait_for(lambda: site.read(ENGINE, "/load")["running"] == 2)
        data = json.dumps(chat(5)).encode()
        head = (
            f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TOKEN}\r\n"
            f"Azureturn-Tier: deferrable\r\nContent-Length: {len(data)}\r\n\r\n"
        )
        connection = socket.create_connection((LOOPBACK, site.processes["vm-1"].port))
        connection.sendall(head.encode() + data)
        threading.Event().wait(0.2)
        connection.close()

        def queued_request_ended() -> bool:
            rows = site.log_rows("vm-1", "request_ended")
            return any(row["ended"] == "caller_gone" and not row["upstream"] for row in rows)

        wait_for(queued_request_ended)
        assert not any(stream.done() for stream in streams)
        assert len(site.read(ENGINE, "/runs")) == 2
        assert all(stream.result().body.endswith(b"data: [DONE]\n\n") for stream in streams)


def test_a_stop_waits_until_claims_are_settled() -> None:
    link = ("vm-1", "key-value")
    with Site(vms=2, zones=2, engines=1, services=1, links=(link,)) as site:
        site.control(SERVICE, delay_ms=300)
        headers = {"Idempotency-Key": "settled"}
        with ThreadPoolExecutor() as pool:
            first = pool.submit(
                site.call, "vm-1", "POST", "/routes/deposit", body={}, headers=headers
            )
            wait_for(lambda: site.runs().get("settled") == 1)
            site.control(link_name(*link), mode="drop")
            assert first.result().status == 200
        site.processes["vm-1"].send_signal(signal.SIGTERM)
        wait_for(lambda: site.call("vm-1", "GET", "/v1/models").status == 503)
        site.control(link_name(*link), mode="refuse")
        site.control(link_name(*link), mode="pass")
        assert exit_code(site) == 0
        assert site.log_rows("vm-1", "daemon_stopped")[0]["claims_unsettled"] == 0
        duplicate = site.call("vm-2", "POST", "/routes/deposit", body={}, headers=headers)
        assert duplicate.status == 200
        assert site.runs()["settled"] == 1
