"""Fair shares of organisations in the queue of one tier."""

import pytest

from azureturn.framework import FairShareQueue

#: Weight and queue length of each organisation, number of requests served, and the expected number
#: of each organisation.
CASES: dict[str, tuple[dict[str, float], dict[str, int], int, dict[str, int]]] = {
    "equal weights": ({"a": 1.0, "b": 1.0}, {"a": 50, "b": 50}, 20, {"a": 10, "b": 10}),
    "by weight": ({"a": 3.0, "b": 1.0}, {"a": 50, "b": 50}, 20, {"a": 15, "b": 5}),
    "a flood gets only its share": ({"a": 1.0, "b": 1.0}, {"a": 90, "b": 5}, 10, {"a": 5, "b": 5}),
}


@pytest.mark.parametrize("case", CASES)
def test_requests_are_served_in_proportion_to_the_weights(case: str) -> None:
    weights, lengths, serve_count, expected = CASES[case]
    queue = FairShareQueue()
    for name, length in lengths.items():
        for number in range(length):
            queue.push(name, number, f"{name}{number:03}", cost=10.0, weight=weights[name])
    counts = dict.fromkeys(weights, 0)
    for _ in range(serve_count):
        entry = queue.heads(1)[0]
        queue.serve(entry[0], int(entry[1:]), entry)
        counts[entry[0]] += 1
    assert counts == expected


def test_an_idle_organisation_accumulates_no_credit() -> None:
    queue = FairShareQueue()
    for number in range(20):
        queue.push("a", number, f"a{number:03}", cost=10.0, weight=1.0)
    for number in range(10):
        queue.serve("a", number, f"a{number:03}")
    for number in range(10):
        queue.push("b", number, f"b{number:03}", cost=10.0, weight=1.0)
    order = []
    for _ in range(6):
        entry = queue.heads(1)[0]
        queue.serve(entry[0], int(entry[1:]), entry)
        order.append(entry[0])
    assert order.count("b") == 3
