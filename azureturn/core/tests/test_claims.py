"""Claims on cores with a fake key-value service, one behaviour per test."""

import pytest

from azureturn.core._claim_segments import SEGMENT_COUNT
from azureturn.core._claim_service import OUTAGE_CLAIM_TIMEOUT_MS
from azureturn.core.tests.claim_site import (
    ANSWERED,
    RETENTION_MS,
    UNIX_START_MS,
    CallerResponse,
    ClaimSite,
)
from azureturn.errors import ErrorKind, RunState

NOT_RUN_OUTAGE = CallerResponse(ErrorKind.KEY_VALUE_UNAVAILABLE.value, RunState.NOT_RUN)
ANSWER = CallerResponse(ANSWERED, RunState.RAN)
UNKNOWN = CallerResponse("unknown", RunState.UNKNOWN)


def lose_until_answered(site: ClaimSite, request_id: str, *, applied: bool = False) -> None:
    while request_id not in site.told:
        site.lose("a", applied=applied)
        site.tick(50)


def test_a_claim_reads_and_writes_its_segment_before_the_dispatch() -> None:
    site = ClaimSite("a")
    site.arrive("a", "a/1")
    assert [site.serve("a"), site.serve("a"), site.send("a")] == [True, True, True]
    assert site.told == {"a/1": [ANSWER]}


def test_claims_of_one_segment_share_a_write() -> None:
    site = ClaimSite("a")
    site.arrive("a", "a/0", "first")
    for number in range(320):
        site.arrive("a", f"a/{number + 1}", f"key-{number}")
    site.run_until_idle()
    assert set(site.runs.values()) == {1}
    # Three writes per segment: the first claim, the claims that arrived during that write, and
    # all outcomes.
    assert site.service.writes <= 3 * SEGMENT_COUNT


def test_a_write_whose_answer_is_lost_is_found_by_reading_the_segment() -> None:
    site = ClaimSite("a")
    site.arrive("a", "a/1")
    site.serve("a")
    site.lose("a", applied=True)
    assert not site.vms["a"].to_send
    site.tick(100)
    site.serve("a")
    assert site.send("a") and site.service.writes == 1


def test_a_delayed_write_and_its_retry_take_effect_once() -> None:
    site = ClaimSite("a")
    site.arrive("a", "a/1")
    site.serve("a")
    site.lose("a", applied=False, delayed=True)
    site.tick(100)
    site.serve("a")
    site.land()
    site.serve("a")
    site.run_until_idle()
    assert site.runs == {"k": 1} and site.told == {"a/1": [ANSWER]}


def test_an_undecided_claim_times_out_and_another_vm_replaces_it() -> None:
    site = ClaimSite("a", "b")
    site.arrive("a", "a/1")
    site.serve("a")
    site.lose("a", applied=True)
    lose_until_answered(site, "a/1")
    assert site.told["a/1"] == [NOT_RUN_OUTAGE] and not site.vms["a"].to_send
    site.arrive("b", "b/1")
    site.run_until_idle()
    assert site.told["b/1"] == [ANSWER] and site.sent_requests == {"b/1"}


def test_a_claim_written_after_its_time_out_is_released() -> None:
    site = ClaimSite("a", "b")
    site.arrive("a", "a/1")
    site.serve("a")
    site.lose("a", applied=False, delayed=True)
    lose_until_answered(site, "a/1")
    site.land()
    site.arrive("b", "b/1")
    site.run_until_idle()
    assert site.told["b/1"] == [ANSWER] and site.sent_requests == {"b/1"}


def test_a_claim_is_released_after_a_failed_connection() -> None:
    site = ClaimSite("a", "b")
    site.arrive("a", "a/1")
    site.serve("a")
    site.serve("a")
    site.send("a", "unreachable")
    site.arrive("b", "b/1")
    site.run_until_idle()
    assert site.told["b/1"] == [ANSWER] and site.runs == {"k": 1}


@pytest.mark.parametrize("where", ["a", "b"])
def test_a_duplicate_shares_the_answer(where: str) -> None:
    site = ClaimSite("a", "b")
    site.arrive("a", "a/1")
    site.serve("a")
    site.serve("a")
    site.arrive(where, f"{where}/2")
    site.run_until_idle()
    assert site.told[f"{where}/2"] == [ANSWER] and site.runs == {"k": 1}


@pytest.mark.parametrize("where", ["a", "b"])
def test_a_key_with_another_body_is_refused(where: str) -> None:
    site = ClaimSite("a", "b")
    site.arrive("a", "a/1")
    site.run_until_idle()
    site.arrive(where, f"{where}/2", body="other")
    site.run_until_idle()
    reused = ErrorKind.IDEMPOTENCY_KEY_REUSED.value
    assert site.told[f"{where}/2"] == [CallerResponse(reused, RunState.NOT_RUN)]


def test_a_duplicate_is_unknown_after_the_claim_holder_crashed() -> None:
    site = ClaimSite("a", "b")
    site.arrive("a", "a/1")
    site.serve("a")
    site.serve("a")
    site.crash("a")
    site.arrive("b", "b/1")
    site.arrive("a", "a/2")
    site.run_until_idle()
    assert site.told["b/1"] == site.told["a/2"] == [UNKNOWN] and not site.runs


def test_a_stored_outcome_remains_after_the_claim_holder_crashed() -> None:
    site = ClaimSite("a", "b")
    site.arrive("a", "a/1")
    site.run_until_idle()
    for _ in range(10):
        site.tick(100)
        site.serve("a")
    site.crash("a")
    site.arrive("b", "b/1")
    site.run_until_idle()
    assert site.told["b/1"] == [ANSWER] and site.runs == {"k": 1}


def test_calls_wait_a_shorter_time_during_an_outage_of_the_service() -> None:
    site = ClaimSite("a")
    site.arrive("a", "a/1")
    lose_until_answered(site, "a/1")
    asked_at_ms = site.now_ms
    site.arrive("a", "a/2", "other")
    lose_until_answered(site, "a/2")
    assert site.told["a/2"] == [NOT_RUN_OUTAGE]
    assert site.now_ms - asked_at_ms <= OUTAGE_CLAIM_TIMEOUT_MS + 50
    site.run_until_idle()
    site.tick(1_000)
    site.serve("a")
    site.arrive("a", "a/3", "third")
    site.run_until_idle()
    assert site.told["a/3"] == [ANSWER]


def test_an_upstream_that_deduplicates_needs_no_claim_in_an_outage() -> None:
    site = ClaimSite("a")
    site.arrive("a", "a/1", deduplicated=True)
    while not site.vms["a"].to_send:
        site.lose("a", applied=False)
        site.tick(50)
    assert site.vms["a"].to_send[0].claim_nonce == ""


def test_a_ticket_runs_once_and_writes_nothing() -> None:
    site = ClaimSite("a")
    site.arrive("a", "a/1", ticket_nonce="t")
    site.send("a")
    site.arrive("a", "a/2", ticket_nonce="t")
    site.run_until_idle()
    assert site.told["a/2"] == [ANSWER] and site.runs == {"t": 1} and not site.service.values


@pytest.mark.parametrize(
    ("issued_at_ms", "told"),
    {
        UNIX_START_MS: CallerResponse(ErrorKind.OUTCOME_UNKNOWN.value, RunState.UNKNOWN),
        # Without a time of issue, a duplicate after the retention time is not recognised.
        0: ANSWER,
    }.items(),
)
def test_a_duplicate_later_than_the_retention_time(issued_at_ms: int, told: CallerResponse) -> None:
    site = ClaimSite("a", "b")
    site.arrive("a", "a/1", issued_at_ms=issued_at_ms)
    site.run_until_idle()
    site.tick(RETENTION_MS + 1_000_000)
    expire_segment_of_k(site)
    site.arrive("b", "b/1", issued_at_ms=issued_at_ms)
    site.run_until_idle()
    assert site.told["b/1"] == [told]


def expire_segment_of_k(site: ClaimSite) -> None:
    for number in range(200):
        site.arrive("b", f"b/other-{number}", f"other-{number}")
    site.run_until_idle()
