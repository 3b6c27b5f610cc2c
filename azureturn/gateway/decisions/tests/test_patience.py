"""How long callers had waited before they came."""

import pytest

from azureturn.gateway.decisions._patience import PatienceHistory


@pytest.mark.parametrize(
    ("before", "patience_ms", "expected"),
    [
        ([], 12_000, 0),
        ([12_000], 11_990, 0),
        ([12_000] * 5, 10_800, 1_200),
        # Most callers come back in an overload; the usual patience is that of the others.
        ([12_000] * 4 + [10_900] * 26, 10_700, 1_300),
        # One caller that would wait for an hour makes nobody late.
        ([12_000] * 40 + [3_600_000], 12_000, 0),
    ],
    ids=["first", "on the way", "came back", "mostly callers that came back", "one outlier"],
)
def test_what_is_missing_of_the_usual_patience_was_waited_already(
    before: list[int], patience_ms: int, expected: int
) -> None:
    history = PatienceHistory()
    for one in before:
        history.waited_ms(one)
    assert history.waited_ms(patience_ms) == expected
