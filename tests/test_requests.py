"""End-to-end requests: complete answers, duplicates, and error kinds of invalid input."""

import json
import socket
from collections.abc import Iterator

import openai
import pytest

from azureturn.errors import ErrorKind
from standins.site import LOOPBACK, MODEL, TOKEN, Site

CHAT = "/v1/chat/completions"
DAEMON_LIMITS = {
    "header_timeout_ms": 400,
    "body_timeout_ms": 400,
    "body_limit_bytes": 10_000,
    "header_limit_bytes": 4_096,
}


@pytest.fixture(scope="module")
def site() -> Iterator[Site]:
    with Site(vms=2, zones=2, engines=2, services=1, daemon_settings=DAEMON_LIMITS) as running_site:
        yield running_site


def chat_body(**changes: object) -> dict[str, object]:
    body = {"model": MODEL, "messages": [{"role": "user", "content": "wool"}], "max_tokens": 5}
    return {**body, **changes}


def test_the_openai_client_reads_a_stream(site: Site) -> None:
    client = openai.OpenAI(base_url=site.processes["vm-1"].url + "/v1", api_key=TOKEN)
    stream = client.chat.completions.create(
        model=MODEL, messages=[{"role": "user", "content": "wool"}], max_tokens=5, stream=True
    )
    words = [chunk.choices[0].delta.content or "" for chunk in stream if chunk.choices]
    assert "".join(words) == "word1 word2 word3 word4 word5 "


def test_the_openai_client_reads_an_answer_and_lists_models(site: Site) -> None:
    client = openai.OpenAI(base_url=site.processes["vm-1"].url + "/v1", api_key=TOKEN)
    answer = client.chat.completions.create(
        model=MODEL, messages=[{"role": "user", "content": "wool"}], max_tokens=3
    )
    assert answer.choices[0].message.content == "word1 word2 word3 "
    assert [model.id for model in client.models.list()] == [MODEL]


def test_a_duplicate_at_another_vm_gets_the_same_answer(site: Site) -> None:
    headers = {"Idempotency-Key": "path-duplicate"}
    answers = [
        site.call(vm, "POST", "/routes/deposit", body={"cents": 1}, headers=headers)
        for vm in ("vm-1", "vm-2", "vm-1")
    ]
    assert [answer.status for answer in answers] == [200, 200, 200]
    assert len({answer.body for answer in answers}) == 1
    assert site.runs()["path-duplicate"] == 1


INVALID_REQUESTS = {
    "malformed json": ("POST", CHAT, b"{", {}, 400, ErrorKind.MALFORMED_JSON),
    "no object": ("POST", CHAT, b"[]", {}, 400, ErrorKind.MALFORMED_JSON),
    "no messages": ("POST", CHAT, {"model": MODEL}, {}, 400, ErrorKind.MALFORMED_JSON),
    "model": ("POST", CHAT, chat_body(model="none"), {}, 404, ErrorKind.UNKNOWN_MODEL),
    "a service as a model": (
        "POST",
        CHAT,
        chat_body(model="bookings"),
        {},
        404,
        ErrorKind.UNKNOWN_MODEL,
    ),
    "route": ("POST", "/routes/none", {}, {}, 404, ErrorKind.UNKNOWN_ROUTE),
    "path": ("GET", "/none", None, {}, 404, ErrorKind.NOT_FOUND),
    "method": ("GET", CHAT, None, {}, 405, ErrorKind.METHOD_NOT_ALLOWED),
    "token": (
        "POST",
        CHAT,
        chat_body(),
        {"Authorization": "Bearer none"},
        401,
        ErrorKind.UNKNOWN_ORGANISATION,
    ),
    "tier": ("POST", CHAT, chat_body(), {"Azureturn-Tier": "none"}, 400, ErrorKind.BAD_HEADER),
    "timeout": (
        "POST",
        CHAT,
        chat_body(),
        {"Azureturn-Timeout-Ms": "-1"},
        400,
        ErrorKind.BAD_HEADER,
    ),
    "key missing": ("POST", "/routes/deposit", {}, {}, 400, ErrorKind.IDEMPOTENCY_KEY_REQUIRED),
    "body": ("POST", CHAT, b" " * 20_000, {}, 413, ErrorKind.BODY_TOO_LARGE),
    "headers": ("GET", "/healthz", None, {"X-Long": "x" * 9_000}, 431, ErrorKind.HEADERS_TOO_LARGE),
}


@pytest.mark.parametrize("case", INVALID_REQUESTS)
def test_an_invalid_request_gets_its_error_kind(site: Site, case: str) -> None:
    method, path, body, headers, status, kind = INVALID_REQUESTS[case]
    answer = site.call("vm-1", method, path, body=body, headers=headers)
    assert answer.status == status
    assert answer.headers["Azureturn-Error-Kind"] == kind
    assert answer.headers["Azureturn-Run-State"] == "not_run"
    assert answer.headers["Azureturn-Vm"] == "vm-1"
    assert answer.json()["error"]["request_id"] == answer.headers["X-Request-Id"]


INVALID_RAW_INPUT = {
    "no end of headers": (b"GET /healthz HTTP/1.1\r\nHost: x\r\n", ErrorKind.REQUEST_TIMEOUT),
    "no end of body": (
        f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TOKEN}\r\n"
        "Content-Length: 100\r\n\r\n{".encode(),
        ErrorKind.REQUEST_TIMEOUT,
    ),
    "no http": (b"\x16\x03\x01\r\n\r\n", ErrorKind.MALFORMED_REQUEST),
}


@pytest.mark.parametrize("case", INVALID_RAW_INPUT)
def test_incomplete_or_non_http_input_gets_its_error_kind(site: Site, case: str) -> None:
    data, kind = INVALID_RAW_INPUT[case]
    with socket.create_connection((LOOPBACK, site.processes["vm-1"].port), timeout=10) as raw:
        raw.sendall(data)
        answer = raw.makefile("rb").read()
    headers, _, body = answer.partition(b"\r\n\r\n")
    assert f"Azureturn-Error-Kind: {kind.value}".encode().lower() in headers.lower()
    assert json.loads(body)["error"]["run_state"] == "not_run"
