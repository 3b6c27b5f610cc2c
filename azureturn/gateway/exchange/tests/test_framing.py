"""Tests of the framing of responses."""

import h11
import pytest

from azureturn.gateway.exchange._framing import BodyFraming


@pytest.mark.parametrize(
    ("method", "status", "headers", "expected"),
    [
        ("GET", 200, [("Content-Length", "3")], BodyFraming.LENGTH),
        ("POST", 200, [("Transfer-Encoding", "chunked")], BodyFraming.CHUNKED),
        ("POST", 500, [("Connection", "close")], BodyFraming.CONNECTION_CLOSE),
        ("HEAD", 200, [], BodyFraming.LENGTH),
        ("GET", 204, [], BodyFraming.LENGTH),
    ],
)
def test_the_framing_follows_from_method_status_and_headers(
    method: str, status: int, headers: list[tuple[str, str]], expected: BodyFraming
) -> None:
    response = h11.Response(status_code=status, headers=headers)
    assert BodyFraming.from_response(response, request_method=method) is expected
