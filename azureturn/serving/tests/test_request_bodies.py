"""Bodies of requests: what belongs to one is decoded, and nothing is left for the next one."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from azureturn.errors import CallerError
from azureturn.serving._caller_io import CallerReader
from azureturn.serving._request_bodies import (
    CHUNK_LINE_LIMIT_BYTES,
    TRAILER_LIMIT_BYTES,
    TRAILER_LIMIT_LINES,
    BodyInChunks,
    BodyWithLength,
    RequestBody,
)

_NEXT = b"GET / HTTP/1.1\r\n"


@contextmanager
def _reader(data: bytes) -> Iterator[CallerReader]:
    """Return the reader of a connection on which a caller has sent data and then closed."""
    own_end, caller_end = socket.socketpair()
    with own_end, caller_end:
        caller_end.sendall(data)
        caller_end.shutdown(socket.SHUT_WR)
        own_end.setblocking(False)
        yield CallerReader(own_end)


def _read(body: RequestBody, size: int = 65_536) -> bytes:
    data = b""
    while part := body.read(size):
        data += part
    return data


@pytest.mark.parametrize("read_bytes", [1, 7, 65_536])
@pytest.mark.parametrize(
    ("sent", "decoded"),
    [
        (b"0\r\n\r\n", b""),
        (b"4\r\nbody\r\n0\r\n\r\n", b"body"),
        (b"4;a=b\r\nbody\r\nA \r\n0123456789\r\n00\r\n\r\n", b"body0123456789"),
        (100 * b"1\r\nx\r\n" + b"0\r\n\r\n", 100 * b"x"),
        (b"".join(b"1\r\n%c\r\n" % n for n in range(256)) + b"0\r\n\r\n", bytes(range(256))),
        (9 * b"2\r\n\r\n\r\n" + 9 * b"1\r\n\n\r\n" + b"0\r\n\r\n", 9 * b"\r\n" + 9 * b"\n"),
        (b"1\r\nx\r\n0\r\nA: b\r\nC:\r\n\r\n", b"x"),
    ],
)
def test_chunks_are_decoded_up_to_the_next_request(
    sent: bytes, decoded: bytes, read_bytes: int
) -> None:
    with _reader(sent + _NEXT) as reader:
        body = BodyInChunks(reader)
        assert _read(body, read_bytes) == decoded
        assert body.is_at_end
        assert reader.readline() == _NEXT


@pytest.mark.parametrize(
    ("sent", "error"),
    [
        (b"x\r\n", ValueError),
        (b"-1\r\n", ValueError),
        (b"0x1\r\nx\r\n0\r\n\r\n", ValueError),
        (b"1_0\r\n", ValueError),
        (b" 1\r\nx\r\n", ValueError),
        (b"1\nx\n0\n\n", ValueError),
        (b"1\r\nxy\r\n", ValueError),
        (b"4\r\nbo", ValueError),
        (b"9" * 16 + b"\r\n", ValueError),
        (b"0\r\nGET / HTTP/1.1\r\n\r\n", ValueError),
        (b"0\r\nA : b\r\n\r\n", ValueError),
        (b"0\r\nA: b\n\r\n", ValueError),
        (b"0\r\n A: b\r\n\r\n", ValueError),
        (b"1;" + b"x" * CHUNK_LINE_LIMIT_BYTES, CallerError),
        (b"0\r\nA:" + b"x" * TRAILER_LIMIT_BYTES, CallerError),
        (b"0\r\n" + b"A:\r\n" * (TRAILER_LIMIT_LINES + 2), CallerError),
    ],
)
def test_framing_that_is_not_certain_is_refused(sent: bytes, error: type[Exception]) -> None:
    # Guards against request smuggling, and against lines and trailers without end.
    with _reader(sent) as reader, pytest.raises(error):
        _read(BodyInChunks(reader))


def test_a_body_with_a_length_leaves_what_follows() -> None:
    with _reader(b"body" + _NEXT) as reader:
        body = BodyWithLength(reader, 4)
        assert _read(body) == b"body"
        assert body.is_at_end
        assert reader.readline() == _NEXT


def test_lines_are_read_in_pieces_of_a_size() -> None:
    with _reader(b"abcdef\nghi") as reader:
        assert [reader.readline(4) for _ in range(4)] == [b"abcd", b"ef\n", b"ghi", b""]
