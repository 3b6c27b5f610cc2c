"""Each error kind has an HTTP response."""

import pytest

from azureturn.errors import ANSWERS, AzureturnError, ErrorKind


@pytest.mark.parametrize("kind", ErrorKind)
def test_each_kind_has_an_answer(kind: ErrorKind) -> None:
    answer = ANSWERS[kind]
    assert 400 <= answer.status <= 599
    assert AzureturnError(kind).message == answer.summary
