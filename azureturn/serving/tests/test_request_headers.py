"""Framing of requests that two programs may read differently, so that one hides in another."""

from io import BytesIO

import pytest

from azureturn.serving._request_headers import StrictHeaderReader, framing_mistake


@pytest.mark.parametrize(
    "lines",
    [
        b"Content-Length: 5\r\nContent-Length: 0\r\n",
        b"Content-Length: 10\r\n 0\r\n",
        b"Content-Length : 5\r\n",
        b"Content-Length: +5\r\n",
        b"Content-Length: 1_0\r\n",
        b"Content-Length: -1\r\n",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
        b" folded: first\r\n",
        b"X-A: 1\r\n\tContent-Length: 5\r\n",
    ],
)
def test_headers_of_uncertain_meaning_are_refused(lines: bytes) -> None:
    # Guards against UNASKED: the second of two lengths was used, and a folded line changed one.
    with pytest.raises(ValueError):
        StrictHeaderReader()(BytesIO(lines + b"\r\n"))


def test_repeated_headers_that_are_lists_are_joined() -> None:
    headers = StrictHeaderReader()(BytesIO(b"Accept: a\r\nAccept: b\r\nHost: x\r\n\r\n"))
    assert headers == {b"Accept": b"a, b", b"Host": b"x"}


@pytest.mark.parametrize(
    ("names", "is_http_1_1", "is_refused"),
    [
        ([b"Content-Length"], False, False),
        ([b"Transfer-Encoding"], True, False),
        ([b"Transfer-Encoding"], False, True),
        ([b"Transfer-Encoding", b"Content-Length"], True, True),
    ],
)
def test_transfer_encoding_is_refused_where_its_meaning_is_uncertain(
    names: list[bytes], is_http_1_1: bool, is_refused: bool
) -> None:
    assert bool(framing_mistake(names, is_http_1_1=is_http_1_1)) is is_refused
