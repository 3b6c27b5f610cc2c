"""Claims on cores with a fake key-value service.

VMs are named ``a`` and ``b``; the request ``a/1`` arrives at VM ``a``.
"""

import pytest

from azureturn.core._claim_segments import SEGMENT_COUNT
from azureturn.core._claim_service import OUTAGE_CLAIM_TIMEOUT_MS
from azureturn.core.tests.claim_simulation import (
    ANSWERED,
    RETENTION_MS,
    UNIX_START_MS,
    CallerResponse,
    ClaimSimulation,
)
from azureturn.errors import ErrorKind, RunState

NOT_RUN_OUTAGE = CallerResponse(ErrorKind.KEY_VALUE_UNAVAILABLE.value, RunState.NOT_RUN)
ANSWER = CallerResponse(ANSWERED, RunState.RAN)
UNKNOWN = CallerResponse("unknown", RunState.UNKNOWN)


def lose_until_answered(
    simulation: ClaimSimulation, request_id: str, *, applied: bool = False
) -> None:
    while request_id not in simulation.responses_by_request:
        simulation.lose_service_answer("a", applied=applied)
        simulation.tick(50)


def test_a_claim_reads_and_writes_its_segment_before_the_dispatch() -> None:
    simulation = ClaimSimulation("a")
    simulation.arrive("a", "a/1")
    assert [
        simulation.answer_service_call("a"),
        simulation.answer_service_call("a"),
        simulation.execute_dispatch("a"),
    ] == [
        True,
        True,
        True,
    ]
    assert simulation.responses_by_request == {"a/1": [ANSWER]}


def test_claims_of_one_segment_share_a_write() -> None:
    simulation = ClaimSimulation("a")
    simulation.arrive("a", "a/0", "first")
    for number in range(320):
        simulation.arrive("a", f"a/{number + 1}", f"key-{number}")
    simulation.run_until_idle()
    assert set(simulation.runs.values()) == {1}
    # Three writes per segment: its first claim, the claims that arrived during that write, and all
    # outcomes.
    assert simulation.service.writes <= 3 * SEGMENT_COUNT


def test_a_write_whose_answer_is_lost_is_found_by_reading_the_segment() -> None:
    simulation = ClaimSimulation("a")
    simulation.arrive("a", "a/1")
    simulation.answer_service_call("a")
    simulation.lose_service_answer("a", applied=True)
    assert not simulation.vms["a"].pending_dispatches
    simulation.tick(100)
    simulation.answer_service_call("a")
    assert simulation.execute_dispatch("a") and simulation.service.writes == 1


def test_a_delayed_write_and_its_retry_take_effect_once() -> None:
    simulation = ClaimSimulation("a")
    simulation.arrive("a", "a/1")
    simulation.answer_service_call("a")
    simulation.lose_service_answer("a", applied=False, delayed=True)
    simulation.tick(100)
    simulation.answer_service_call("a")
    simulation.apply_delayed_write()
    simulation.answer_service_call("a")
    simulation.run_until_idle()
    assert simulation.runs == {"k": 1} and simulation.responses_by_request == {"a/1": [ANSWER]}


def test_an_undecided_claim_times_out_and_another_vm_replaces_it() -> None:
    simulation = ClaimSimulation("a", "b")
    simulation.arrive("a", "a/1")
    simulation.answer_service_call("a")
    simulation.lose_service_answer("a", applied=True)
    lose_until_answered(simulation, "a/1")
    assert (
        simulation.responses_by_request["a/1"] == [NOT_RUN_OUTAGE]
        and not simulation.vms["a"].pending_dispatches
    )
    simulation.arrive("b", "b/1")
    simulation.run_until_idle()
    assert simulation.responses_by_request["b/1"] == [ANSWER] and simulation.sent_requests == {
        "b/1"
    }


def test_a_claim_written_after_its_time_out_is_released() -> None:
    simulation = ClaimSimulation("a", "b")
    simulation.arrive("a", "a/1")
    simulation.answer_service_call("a")
    simulation.lose_service_answer("a", applied=False, delayed=True)
    lose_until_answered(simulation, "a/1")
    simulation.apply_delayed_write()
    simulation.arrive("b", "b/1")
    simulation.run_until_idle()
    assert simulation.responses_by_request["b/1"] == [ANSWER] and simulation.sent_requests == {
        "b/1"
    }


def test_a_claim_is_released_after_a_failed_connection() -> None:
    simulation = ClaimSimulation("a", "b")
    simulation.arrive("a", "a/1")
    simulation.answer_service_call("a")
    simulation.answer_service_call("a")
    simulation.execute_dispatch("a", "unreachable")
    simulation.arrive("b", "b/1")
    simulation.run_until_idle()
    assert simulation.responses_by_request["b/1"] == [ANSWER] and simulation.runs == {"k": 1}


@pytest.mark.parametrize("vm", ["a", "b"])
def test_a_duplicate_gets_the_answer_of_the_first_request(vm: str) -> None:
    simulation = ClaimSimulation("a", "b")
    simulation.arrive("a", "a/1")
    simulation.answer_service_call("a")
    simulation.answer_service_call("a")
    simulation.arrive(vm, f"{vm}/2")
    simulation.run_until_idle()
    assert simulation.responses_by_request[f"{vm}/2"] == [ANSWER] and simulation.runs == {"k": 1}


@pytest.mark.parametrize("vm", ["a", "b"])
def test_a_key_with_another_body_is_refused(vm: str) -> None:
    simulation = ClaimSimulation("a", "b")
    simulation.arrive("a", "a/1")
    simulation.run_until_idle()
    simulation.arrive(vm, f"{vm}/2", body="other")
    simulation.run_until_idle()
    reused = ErrorKind.IDEMPOTENCY_KEY_REUSED.value
    assert simulation.responses_by_request[f"{vm}/2"] == [CallerResponse(reused, RunState.NOT_RUN)]


def test_a_duplicate_is_unknown_after_the_claim_holder_crashed() -> None:
    simulation = ClaimSimulation("a", "b")
    simulation.arrive("a", "a/1")
    simulation.answer_service_call("a")
    simulation.answer_service_call("a")
    simulation.crash("a")
    simulation.arrive("b", "b/1")
    simulation.arrive("a", "a/2")
    simulation.run_until_idle()
    assert (
        simulation.responses_by_request["b/1"]
        == simulation.responses_by_request["a/2"]
        == [UNKNOWN]
        and not simulation.runs
    )


def test_a_stored_outcome_remains_after_the_claim_holder_crashed() -> None:
    simulation = ClaimSimulation("a", "b")
    simulation.arrive("a", "a/1")
    simulation.run_until_idle()
    for _ in range(10):
        simulation.tick(100)
        simulation.answer_service_call("a")
    simulation.crash("a")
    simulation.arrive("b", "b/1")
    simulation.run_until_idle()
    assert simulation.responses_by_request["b/1"] == [ANSWER] and simulation.runs == {"k": 1}


def test_calls_wait_a_shorter_time_for_a_claim_during_an_outage_of_the_key_value_service() -> None:
    simulation = ClaimSimulation("a")
    simulation.arrive("a", "a/1")
    lose_until_answered(simulation, "a/1")
    arrived_at_ms = simulation.now_ms
    simulation.arrive("a", "a/2", "other")
    lose_until_answered(simulation, "a/2")
    assert simulation.responses_by_request["a/2"] == [NOT_RUN_OUTAGE]
    assert simulation.now_ms - arrived_at_ms <= OUTAGE_CLAIM_TIMEOUT_MS + 50
    simulation.run_until_idle()
    simulation.tick(1_000)
    simulation.answer_service_call("a")
    simulation.arrive("a", "a/3", "third")
    simulation.run_until_idle()
    assert simulation.responses_by_request["a/3"] == [ANSWER]


def test_an_upstream_that_deduplicates_needs_no_claim_in_an_outage() -> None:
    simulation = ClaimSimulation("a")
    simulation.arrive("a", "a/1", deduplicated=True)
    while not simulation.vms["a"].pending_dispatches:
        simulation.lose_service_answer("a", applied=False)
        simulation.tick(50)
    assert simulation.vms["a"].pending_dispatches[0].claim_nonce == ""


def test_a_ticket_runs_once_and_writes_nothing() -> None:
    simulation = ClaimSimulation("a")
    simulation.arrive("a", "a/1", ticket_nonce="t")
    simulation.execute_dispatch("a")
    simulation.arrive("a", "a/2", ticket_nonce="t")
    simulation.run_until_idle()
    assert (
        simulation.responses_by_request["a/2"] == [ANSWER]
        and simulation.runs == {"t": 1}
        and not simulation.service.values
    )


@pytest.mark.parametrize(
    ("issued_at_ms", "expected"),
    {
        UNIX_START_MS: CallerResponse(ErrorKind.OUTCOME_UNKNOWN.value, RunState.UNKNOWN),
        # Without a time of issue, a duplicate after the retention time is not recognised.
        0: ANSWER,
    }.items(),
)
def test_a_duplicate_after_the_retention_time(issued_at_ms: int, expected: CallerResponse) -> None:
    simulation = ClaimSimulation("a", "b")
    simulation.arrive("a", "a/1", issued_at_ms=issued_at_ms)
    simulation.run_until_idle()
    simulation.tick(RETENTION_MS + 1_000_000)
    expire_claim_of_key_k(simulation)
    simulation.arrive("b", "b/1", issued_at_ms=issued_at_ms)
    simulation.run_until_idle()
    assert simulation.responses_by_request["b/1"] == [expected]


def expire_claim_of_key_k(simulation: ClaimSimulation) -> None:
    """Write claims to all segments, so that the expired claim of key ``k`` is removed."""
    for number in range(200):
        simulation.arrive("b", f"b/other-{number}", f"other-{number}")
    simulation.run_until_idle()
