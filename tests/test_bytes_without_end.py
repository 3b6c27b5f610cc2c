"""Clients of servers that send bytes without end: each ends its call, and keeps little."""

import time
from collections.abc import Callable
from contextlib import suppress

import pytest
from adapter import PlatformStore
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.Thrift import TMessageType, TType
from thrift.transport.TTransport import TMemoryBuffer

from azureturn.errors import AzureturnError
from azureturn.peers import EnvelopeSigner, OutcomeQuery, PeerAddress, PeerClient
from azureturn.store import KeyValueClient, VmListClient
from azureturn.upstreams import OrderClient, UpstreamClient, UpstreamRequest
from standins.endless_server import endless_server

#: Limit of what a client may have received, with the buffers of the sockets.
_MAX_SENT_BYTES = 48 << 20
_WAIT_S = 10.0


def _dispatch(port: int) -> None:
    request = UpstreamRequest(
        "GET", "/", {}, b"", "r1", connect_timeout_ms=2_000, read_timeout_ms=2_000
    )
    answer = UpstreamClient(f"http://127.0.0.1:{port}").send(request)
    answer.read_complete(remaining_ms=lambda: 2_000)


def _load_report(port: int) -> None:
    assert UpstreamClient(f"http://127.0.0.1:{port}").load_report(0) is None


def _versions(port: int) -> None:
    assert OrderClient(f"http://127.0.0.1:{port}").versions() is None


def _vm_list(port: int) -> None:
    VmListClient(f"http://127.0.0.1:{port}").read()


def _key_value(port: int) -> None:
    KeyValueClient(f"http://127.0.0.1:{port}", timeout_ms=2_000, key_prefix="").read("k")


def _platform_store(port: int) -> None:
    PlatformStore("127.0.0.1", port).read("k")


def _ask_peer(port: int) -> None:
    signer = EnvelopeSigner("secret", "vm-1", clock_s=time.monotonic)
    PeerClient(signer).find_outcome(PeerAddress("127.0.0.1", port), OutcomeQuery(wait_ms=0))


def _endless_peer_answer() -> bytes:
    """Return the beginning of an answer with a string that is announced to be very long."""
    transport = TMemoryBuffer()
    protocol = TCompactProtocol(transport)
    protocol.writeMessageBegin("find_outcome", TMessageType.REPLY, 0)
    protocol.writeStructBegin("answer")
    protocol.writeFieldBegin("success", TType.STRUCT, 0)
    protocol.writeStructBegin("envelope")
    protocol.writeFieldBegin("signed_message", TType.STRING, 1)
    announced_bytes_as_varint = b"\x80\x80\x80\x80\x04"
    return bytes(transport.getvalue()) + announced_bytes_as_varint


_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("prefix", "block"),
    [
        (b"", b"\x00\x01no answer"),
        (_OK, b"X-Field: " + 80 * b"x" + b"\r\n"),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (_OK + b"\r\n", b"body"),
        (_OK + b"Content-Length: 999999999999\r\n\r\n", b"body"),
        (_CHUNKED, b"4\r\nbody\r\n"),
        (_CHUNKED + b"ffffffffffff\r\n", b"body"),
        (_CHUNKED, b"9"),
        (_CHUNKED + b"4\r\nbody\r\n0\r\n", b"x"),
        (_CHUNKED + b"4\r\nbody\r\n0\r\n", b"X-Field: x\r\n"),
    ],
    ids=[
        "no head",
        "head",
        "informational heads",
        "unframed body",
        "body with a length",
        "chunked body",
        "one chunk",
        "chunk size",
        "one line after the last chunk",
        "lines after the last chunk",
    ],
)
@pytest.mark.parametrize(
    "call", [_dispatch, _load_report, _versions, _vm_list, _key_value, _platform_store]
)
def test_bytes_without_end_end_the_call(
    call: Callable[[int], None], prefix: bytes, block: bytes
) -> None:
    # Guards against LOST: a line without end, or a body, took all memory of the VM that had called.
    _check_that_the_call_ends(call, prefix, block)


def test_an_answer_of_a_peer_without_end_ends_the_call() -> None:
    _check_that_the_call_ends(_ask_peer, _endless_peer_answer(), b"x")


def _check_that_the_call_ends(call: Callable[[int], None], prefix: bytes, block: bytes) -> None:
    with endless_server(prefix, block) as server:
        # What a call without a valid answer raises.
        with suppress(AzureturnError):
            call(server.port)
        ends_at_s = time.monotonic() + _WAIT_S
        while not server.sent_bytes:
            assert time.monotonic() < ends_at_s
            time.sleep(0.01)
        assert max(server.sent_bytes) <= _MAX_SENT_BYTES
