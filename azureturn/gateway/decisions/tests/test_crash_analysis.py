"""Which traits of requests are found to end upstreams, from crashes that VMs have seen."""

import pytest

from azureturn.gateway.decisions._crash_analysis import find_crashing_traits
from azureturn.gateway.decisions._crashes import Crash, Suspect

_Row = tuple[int, str]
_SENT_BEFORE_MS = 50


def _suspect(text: str, sent_before_ms: int = _SENT_BEFORE_MS) -> Suspect:
    """Return a suspect with the traits in ``text``; ``#1`` stands for the digest 1."""
    return Suspect(frozenset(text.replace("#", "digest:").split()), sent_before_ms)


def _crashes(*rows: _Row, sent_before_ms: int = _SENT_BEFORE_MS) -> list[Crash]:
    """Return crashes from rows of a time in ms and the suspects, as in ``"a b|a c"``."""
    return [
        Crash(
            (f"e-{number}", 0),
            at_ms,
            tuple(_suspect(text, sent_before_ms) for text in suspects.split("|") if text),
        )
        for number, (at_ms, suspects) in enumerate(rows)
    ]


@pytest.mark.parametrize(
    ("rows", "cleared_at_ms", "expected"),
    [
        ([(0, "x"), (200, "x")], {}, []),
        ([(0, "x"), (200, "x"), (400, "x")], {}, ["x"]),
        ([(0, "x"), (40, "x"), (80, "x"), (120, "x")], {}, []),
        ([(0, "s x"), (200, "s x"), (400, "s x")], {"s": 400}, ["x"]),
        ([(0, "s x"), (200, "s x"), (400, "s x")], {}, ["s x"]),
        ([(0, "s x"), (200, "s x"), (400, "s x")], {"s": 900, "x": 900}, []),
        ([(0, "x"), (200, "x"), (400, "x"), (600, "x")], {"x": 199}, ["x"]),
        ([(0, "x"), (200, "x"), (400, "x"), (600, "x")], {"x": 200}, []),
        ([(0, "s x|s"), (200, "s x|s"), (400, "s x")], {}, ["s x"]),
        ([(0, "s x|s b"), (200, "s x"), (400, "s x|s b"), (600, "s x")], {"s": 600}, ["x"]),
        ([(0, "x|y"), (200, "x|y"), (400, "x|y")], {}, []),
        ([(0, "x|y"), (200, "x|y"), (400, "x|y"), (600, "x")], {}, ["x"]),
        ([(at_ms, "x|y") for at_ms in range(0, 1_000, 200)], {}, ["x", "y"]),
        ([(0, "x"), (100, "y"), (200, "x"), (300, "y"), (400, "x"), (500, "y")], {}, ["x", "y"]),
        ([(200 * n, "x" if n % 5 == 0 else "") for n in range(11)], {}, []),
        ([(0, "#1"), (200, "#1"), (400, "#1")], {}, ["#1"]),
        ([(0, "#1"), (60, "#1"), (120, "#1")], {}, ["#1"]),
        ([(0, "#1|#2"), (200, "#1"), (400, "#1|#2")], {}, ["#1"]),
        ([(0, "#1|#2"), (200, "#1|#2"), (400, "#1|#2"), (600, "#1")], {}, ["#1"]),
        ([(0, "#1 s"), (200, "#1 s"), (400, "#1 s|#2 s")], {}, ["#1"]),
        ([(0, "#1 s"), (200, "#1 s"), (400, "#1 s"), (600, "#2 s")], {}, ["s"]),
        ([(0, "#1 s"), (200, "#1 s"), (400, "#1 s"), (600, "#2 s")], {"s": 500}, ["#1"]),
        ([(0, "#1"), (200, "#1"), (400, "#1")], {"#1": 300}, []),
        ([(200 * n, f"#{n % 5}") for n in range(11)], {}, ["#0"]),
    ],
    ids=[
        "two incidents",
        "three incidents",
        "incidents too close together",
        "a shared part is cleared",
        "a shared part is not cleared yet",
        "all parts are cleared",
        "cleared before three of the crashes",
        "cleared before two of the crashes",
        "the most specific of equal explanations",
        "a bystander in some of the crashes",
        "rivals with equal explanations",
        "a rival that explains less",
        "rivals after five incidents",
        "two parts at the same time",
        "in few of many crashes",
        "a request that is sent again",
        "a request that is sent again at once",
        "a bystander in some of the crashes under a request",
        "a bystander until it was not sent again",
        "a request with a part that others share",
        "another request with the same part",
        "another request with a cleared part",
        "a request that was answered in between",
        "several requests that take turns",
    ],
)
def test_parts_that_explain_crashes(
    rows: list[_Row], cleared_at_ms: dict[str, int], expected: list[str]
) -> None:
    found = find_crashing_traits(
        _crashes(*rows),
        (),
        lambda trait, since_ms: cleared_at_ms.get(trait.replace("digest:", "#"), -1) >= since_ms,
        settled_at_ms=5_000,
    )
    texts = [" ".join(sorted(traits)).replace("digest:", "#") for traits in found]
    assert sorted(texts) == expected


def _find(crashes: list[Crash], *known: str, settled_at_ms: int = 5_000) -> list[frozenset[str]]:
    """Return what is found if ``known`` traits are in quarantine and none was cleared."""
    known_traits = [frozenset(text.split()) for text in known]
    return find_crashing_traits(
        crashes, known_traits, lambda *_: False, settled_at_ms=settled_at_ms
    )


def test_a_crash_under_one_part_of_a_known_prompt_narrows_it_down_at_once() -> None:
    crashes = _crashes((0, "s x"), (200, "s x"), (400, "s x"), (900, "t x|u"))
    assert _find(crashes, "s x", settled_at_ms=500) == [frozenset({"x"})]


def test_crashes_are_not_judged_before_peers_have_reported() -> None:
    crashes = _crashes((0, "x"), (200, "x"), (400, "x"))
    assert _find(crashes, settled_at_ms=399) == []


def test_crashes_under_a_known_prompt_are_explained() -> None:
    crashes = _crashes((0, "s x"), (200, "s x"), (400, "s x"))
    assert _find(crashes, "x") == []


def test_copies_of_a_request_at_upstreams_that_end_at_the_same_moment_are_one_incident() -> None:
    crashes = _crashes((0, "#1|#2"), (10, "#1|#3"), (20, "#1|#4"), sent_before_ms=80)
    assert _find(crashes) == []


def test_a_crash_that_several_vms_saw_is_one_incident() -> None:
    crashes = [Crash(("e-1", 0), at_ms, (_suspect("x"),)) for at_ms in (0, 200, 400)]
    assert _find(crashes) == []
