"""A server whose answers are broken in a given way, or cut off, or sound for comparison."""

import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, replace
from enum import StrEnum

from azureturn._socket_options import RESET_AT_CLOSE
from standins._local_listener import LocalListener

#: What stands for the id of the request in the bytes of an answer.
REQUEST_ID = b"REQUEST_ID"
_ID_FIELD = b"x-request-id:"
_LENGTH_FIELD = b"content-length:"
_HEAD_END = b"\r\n\r\n"


class Framing(StrEnum):
    """How the end of a body is marked."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


class Ending(StrEnum):
    """What becomes of the connection after an answer."""

    KEPT = "kept"
    CLOSED = "closed"
    RESET = "reset"
    #: An ordinary close, and then a reset because of what still arrives.
    CLOSED_THEN_RESET = "closed then reset"


@dataclass(frozen=True)
class Answer:
    """The parts of an answer, of which any line may be broken.

    >>> Answer(status=b"000 OK", body=b"ab").encode()
    b'HTTP/1.1 000 OK\\r\\nContent-Length: 2\\r\\n\\r\\nab'
    """

    status: bytes = b"200 OK"
    fields: tuple[bytes, ...] = ()
    #: Lines of the head after the one that marks the end of the body.
    last_fields: tuple[bytes, ...] = ()
    framing: Framing = Framing.LENGTH
    body: bytes = b""
    #: What stands before the size of each chunk but the last one.
    chunk_size_prefix: bytes = b""
    #: Lines after the last chunk.
    trailers: tuple[bytes, ...] = ()
    #: Lines of an informational response before the answer; without any, none is sent.
    informational: tuple[bytes, ...] = ()
    #: Number of bytes at the end that are not sent.
    cut_off_bytes: int = 0
    ending: Ending = Ending.KEPT

    @property
    def may_break_after_head(self) -> bool:
        """Return whether what is broken, if anything, may come after a sound head."""
        return bool(self.trailers or self.chunk_size_prefix)

    def encode(self) -> bytes:
        """Return the bytes of the answer."""
        fields = (*self.fields, *self._framing_field(), *self.last_fields)
        head = _encode_lines(b"HTTP/1.1 " + self.status, *fields)
        informational = _encode_lines(*self.informational) if self.informational else b""
        data = informational + head + self._encode_body()
        return data[: len(data) - self.cut_off_bytes]

    def _framing_field(self) -> tuple[bytes, ...]:
        if self.framing is Framing.LENGTH:
            return (b"Content-Length: %d" % len(self.body),)
        return (b"Transfer-Encoding: chunked",) if self.framing is Framing.CHUNKED else ()

    def _encode_body(self) -> bytes:
        if self.framing is not Framing.CHUNKED:
            return self.body
        chunk = b"%s%x\r\n%s\r\n" % (self.chunk_size_prefix, len(self.body), self.body)
        return (chunk if self.body else b"") + _encode_lines(b"0", *self.trailers)

    def send(self, connection: socket.socket, request_id: bytes) -> bool:
        """Send the answer; return whether the connection may be used again."""
        connection.sendall(self.encode().replace(REQUEST_ID, request_id))
        if self.ending is Ending.RESET:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        elif self.ending is not Ending.KEPT:
            connection.shutdown(socket.SHUT_WR)
        if self.ending is Ending.CLOSED:
            # Closed with bytes that have not been read, the connection would be reset.
            while connection.recv(65_536):
                pass
        return self.ending is Ending.KEPT


def _encode_lines(*lines: bytes) -> bytes:
    return b"\r\n".join(lines) + _HEAD_END


#: Lines of which the name holds a blank or a control byte, by what is wrong.
BROKEN_LINES = {
    "blank inside": b"X Broken: marker",
    "tab inside": b"X\tBroken: marker",
    "blank at the end": b"X-Broken : marker",
    "control byte inside": b"X-Bro\x01ken: marker",
    "control byte first": b"\x01X-Broken: marker",
    "carriage return inside": b"X-Bro\rken: marker",
    "zero inside": b"X-Bro\x00ken: marker",
    "delete at the end": b"X-Broken\x7f: marker",
    "blank first": b" X-Broken: marker",
    "tab first": b"\tX-Broken: marker",
    "blank only": b" ",
    "control byte in the value": b"X-Broken: mar\x01ker",
    "no name": b": marker",
    "no colon": b"marker",
}
#: What stands for a status that is none.
BROKEN_STATUSES = (b"000 ", b"000 OK", b"099 OK", b"600 OK", b"999 OK", b"20 OK", b"2_00 OK")
_EARLY_HINTS = (b"HTTP/1.1 103 Early Hints", b"Link: </a>")


def place_line(sound: Answer, line: bytes) -> dict[str, Answer]:
    """Return answers with one more line, by where it stands."""
    status_line, *hints = _EARLY_HINTS
    answers = {
        "first in the head": replace(sound, fields=(line, *sound.fields)),
        "in the head": replace(sound, fields=(*sound.fields, line)),
        "last in the head": replace(sound, last_fields=(*sound.last_fields, line)),
        "first in 1xx": replace(sound, informational=(status_line, line, *hints)),
        "last in 1xx": replace(sound, informational=(*_EARLY_HINTS, line)),
    }
    if sound.framing is Framing.CHUNKED:
        answers["only trailer"] = replace(sound, trailers=(line,))
        answers["first trailer"] = replace(sound, trailers=(line, b"T: 1"))
        answers["last trailer"] = replace(sound, trailers=(b"T: 1", line))
    return answers


def sound_answers(sound: Answer) -> dict[str, Answer]:
    """Return answers that are unusual, and to be taken."""
    answers = place_line(sound, b'X-Unusual!#$%&\'*+-.^_`|~1: \xe4 \t"(b)"')
    return {"plain": sound, **answers}


def broken_answers(sound: Answer) -> dict[str, Answer]:
    """Return the sound answer broken in each way, by what is broken and where."""
    answers = {
        f"{what} {where}": answer
        for what, line in BROKEN_LINES.items()
        for where, answer in place_line(sound, line).items()
    }
    for status in BROKEN_STATUSES:
        answers[f"status {status.decode()}"] = replace(sound, status=status)
        lines = (b"HTTP/1.1 " + status, b"Link: </a>")
        answers[f"status {status.decode()} before it"] = replace(sound, informational=lines)
    if sound.framing is Framing.CHUNKED:
        for prefix in (b"+", b"0x", b"marker"):
            answers[f"size {prefix.decode()}"] = replace(sound, chunk_size_prefix=prefix)
    return answers


class BrokenServer(LocalListener):
    """Answers requests; reads their bodies only if the connection is kept.

    ``answer_of`` returns the answer to a request of which the head, at least, is given.
    """

    def __init__(self, answer_of: Callable[[bytes], Answer]) -> None:
        self._answer_of = answer_of
        super().__init__(self._answer_requests)

    def _answer_requests(self, connection: socket.socket) -> None:
        # The client may leave at any time.
        with suppress(OSError):
            while request := _read_head(connection):
                answer = self._answer_of(request)
                if answer.ending is Ending.KEPT:
                    _skip_body(connection, request)
                if not answer.send(connection, _field(request, _ID_FIELD)):
                    return


@contextmanager
def broken_server(answer_of: Callable[[bytes], Answer]) -> Iterator[BrokenServer]:
    """Run a server until the end of the block."""
    server = BrokenServer(answer_of)
    try:
        yield server
    finally:
        server.close()


def _read_head(connection: socket.socket) -> bytes:
    """Read a request up to the end of its head, and what has arrived of its body."""
    data = b""
    while _HEAD_END not in data:
        part = connection.recv(4_096)
        if not part:
            return b""
        data += part
    return data


def _skip_body(connection: socket.socket, request: bytes) -> None:
    """Read the rest of the body of a request of which the first part has been read."""
    length = int(_field(request, _LENGTH_FIELD) or b"0")
    left_bytes = length - len(request.partition(_HEAD_END)[2])
    while left_bytes > 0 and (part := connection.recv(65_536)):
        left_bytes -= len(part)


def _field(request: bytes, name: bytes) -> bytes:
    """Return the value of a field of a request, or nothing if it has none."""
    for line in request.split(b"\r\n"):
        if line.lower().startswith(name):
            return line[len(name) :].strip()
    return b""
