"""One attempt at an upstream that behaves and misbehaves."""

import pytest

from azureturn.errors import ErrorKind, UpstreamError, UpstreamUnreachableError
from azureturn.gateway.exchange._attempt import Attempt, OutgoingMessage
from azureturn.gateway.exchange._connections import ConnectionPool
from azureturn.gateway.exchange.tests.plain_dialect import PlainDialect
from azureturn.gateway.exchange.tests.scripted_upstream import (
    Script,
    ScriptedUpstream,
    answers,
)
from azureturn.gateway.site import RegisteredUpstream
from azureturn.serving import now_ms

_WAIT_MS = 2_000


def _answer(request_id: str, body: bytes, *, framed: bool = True) -> bytes:
    length = b"Content-Length: %d\r\n" % len(body) if framed else b"Connection: close\r\n"
    head = b"HTTP/1.1 200 OK\r\nRequest: %s\r\nSeal: s\r\n" % request_id.encode()
    return head + length + b"\r\n" + body


class _Exchange:
    """Sends requests to one scripted upstream through one pool."""

    def __init__(self, *scripts: Script) -> None:
        self.upstream = ScriptedUpstream(*scripts)
        self.pool = ConnectionPool()

    def ask(self, request_id: str = "r1", *, method: str = "GET") -> bytes:
        """Return the body of the answer."""
        port = self.upstream.port
        one = RegisteredUpstream("u", "s", "127.0.0.1", port, "a", "v1", slots=4)
        attempt = Attempt(one, self.pool, PlainDialect())
        headers = (("Host", "site.example"), ("Request", request_id))
        body = b"" if method == "GET" else b"paid"
        message = OutgoingMessage(method, "/path?x=1", headers, body, request_id)
        ends_at_ms = now_ms() + _WAIT_MS
        try:
            attempt.send(message, sure=False, ends_at_ms=ends_at_ms)
            head = attempt.read_head(ends_at_ms=ends_at_ms)
            assert head.facts.is_sealed
            return attempt.read_whole(wait_ms=_WAIT_MS, ends_at_ms=ends_at_ms)
        finally:
            attempt.close()


def test_a_sound_connection_is_used_again() -> None:
    exchange = _Exchange(answers(_answer("r1", b"one")), answers(_answer("r2", b"two")))
    assert exchange.ask("r1") == b"one"
    assert exchange.ask("r2", method="POST") == b"two"
    assert exchange.upstream.connections == 1
    assert exchange.upstream.requests[1].startswith(b"POST /path?x=1 HTTP/1.1")
    assert exchange.upstream.requests[1].endswith(b"paid")


def test_an_extra_answer_belongs_to_no_request() -> None:
    doubled = _answer("r1", b"one") + _answer("r1", b"one")
    exchange = _Exchange(answers(doubled), answers(_answer("r2", b"two")))
    assert exchange.ask("r1") == b"one"
    assert exchange.ask("r2") == b"two"


def test_a_late_answer_is_told_apart_by_its_id() -> None:
    late = _answer("r1", b"one") + _answer("r2", b"two")
    exchange = _Exchange(answers(_answer("r1", b"one")), answers(late))
    assert exchange.ask("r1") == b"one"
    assert exchange.ask("r2") == b"two"


@pytest.mark.parametrize(
    ("script", "kind"),
    [
        (answers(b"HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 9\r\n\r\nhalf", close=True), None),
        (answers(b"\x00\x01 not an answer\r\n\r\n", close=True), None),
        (answers(b"", close=True), None),
        (answers(_answer("r1", b"half", framed=False), reset=True), None),
        (answers(b"".join(_answer(f"x{n}", b"") for n in range(4))), ErrorKind.ANSWER_MISMATCHED),
    ],
    ids=["truncated", "garbled", "closed", "unframed and reset", "answers to others"],
)
def test_what_is_not_whole_is_never_an_answer(script: Script, kind: ErrorKind | None) -> None:
    with pytest.raises(UpstreamError) as raised:
        _Exchange(script).ask()
    assert not isinstance(raised.value, UpstreamUnreachableError)
    assert raised.value.kind is (kind or ErrorKind.ANSWER_TRUNCATED)


def test_an_answer_without_a_length_ends_with_its_connection() -> None:
    assert _Exchange(answers(_answer("r1", b"all", framed=False), close=True)).ask() == b"all"


def test_a_refused_connection_sent_nothing() -> None:
    exchange = _Exchange()
    exchange.upstream.close()
    with pytest.raises(UpstreamUnreachableError):
        exchange.ask()


def test_an_upstream_that_answers_before_it_has_read_all_keeps_its_connection() -> None:
    exchange = _Exchange(answers(_answer("r1", b"early")), answers(_answer("r2", b"two")))
    assert exchange.ask("r1", method="POST") == b"early"
    assert exchange.ask("r2") == b"two"
