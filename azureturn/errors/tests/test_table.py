"""Each error kind has an HTTP response."""

import pytest

from azureturn.errors import ERROR_RESPONSES, AzureturnError, ErrorKind


@pytest.mark.parametrize("kind", ErrorKind)
def test_each_kind_has_a_response(kind: ErrorKind) -> None:
    response = ERROR_RESPONSES[kind]
    assert 400 <= response.status <= 599
    assert AzureturnError(kind).message == response.summary
