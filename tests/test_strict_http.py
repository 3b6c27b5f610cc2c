"""Broken responses are rejected, and unusual sound ones accepted, in whatever parts they arrive."""

import h11
import pytest

from azureturn._strict_http import StrictConnection
from standins.broken_server import Answer, Framing, broken_answers, sound_answers

_MAX_HEAD_BYTES = 4_096
_BODY = b"0\r\nX: 1\r\n Y\r\n\r\n0\r\n\x00\r\n"


def _received_body(data: bytes, part_bytes: int) -> bytes:
    """Return the body of a response that arrives in parts, and then the end of the connection."""
    connection = StrictConnection(max_head_bytes=_MAX_HEAD_BYTES)
    connection.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
    connection.send(h11.EndOfMessage())
    parts = [data[begin : begin + part_bytes] for begin in range(0, len(data), part_bytes)]
    body = b""
    for part in (*parts, b""):
        connection.receive_data(part)
        while (event := connection.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return body
    raise AssertionError("no end of the body")


_PARTS = pytest.mark.parametrize("part_bytes", [1, 2, 7, 65_536])
_FRAMINGS = pytest.mark.parametrize("framing", Framing)


@_PARTS
@_FRAMINGS
def test_a_broken_response_is_rejected(framing: Framing, part_bytes: int) -> None:
    for answer in broken_answers(Answer(framing=framing, body=_BODY)).values():
        with pytest.raises(h11.RemoteProtocolError):
            _received_body(answer.encode(), part_bytes)


@_PARTS
@_FRAMINGS
def test_an_unusual_sound_response_is_accepted(framing: Framing, part_bytes: int) -> None:
    for answer in sound_answers(Answer(framing=framing, body=_BODY)).values():
        assert _received_body(answer.encode(), part_bytes) == _BODY


def test_a_body_before_the_next_head_is_no_part_of_that_head() -> None:
    connection = StrictConnection(max_head_bytes=_MAX_HEAD_BYTES)
    response = Answer(body=_BODY).encode()
    for _ in range(2):
        connection.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
        connection.send(h11.EndOfMessage())
        if connection.trailing_data[0] == b"":
            connection.receive_data(2 * response)
        events = [connection.next_event() for _ in range(3)]
        assert [type(event) for event in events] == [h11.Response, h11.Data, h11.EndOfMessage]
        connection.start_next_cycle()
