"""What a VM does with requests that are in quarantine."""

import pytest

from azureturn.errors import ErrorKind, RunState
from azureturn.framework import Action, AwaitPlacement, Refuse
from azureturn.gateway.decisions import (
    AttemptEnded,
    AttemptResult,
    PeerReportReceived,
    QuarantineTable,
    ReturnLastResult,
    SendAttempt,
    WriteQuarantineRecord,
)
from azureturn.gateway.decisions.tests.gateway_core_harness import (
    STARTED_UNIX_MS,
    GatewayCoreHarness,
    of_type,
    peer_report,
    upstream,
    view,
)
from azureturn.gateway.site import Prompt, PromptPart, QuarantinedTraits, QuarantineRecord

_QUARANTINED = QuarantinedTraits(frozenset({"bad"}), STARTED_UNIX_MS)


def _prompt(*part_ids: str) -> Prompt:
    return Prompt("m", 100, 20, 10, tuple(PromptPart(part_id, 50) for part_id in part_ids))


def _harness(*names: str, quarantined: QuarantinedTraits | None = None) -> GatewayCoreHarness:
    record = QuarantineRecord((quarantined,)) if quarantined else None
    return GatewayCoreHarness(view(*(upstream(name) for name in names), quarantine=record))


def _refusals(actions: tuple[Action, ...]) -> list[Refuse]:
    return [action for action in actions if isinstance(action, Refuse)]


@pytest.mark.parametrize(
    ("parts", "is_refused"),
    [
        (("bad", "own"), True),
        (("shared", "bad", "own"), True),
        (("shared", "own"), False),
        (("shared", "bad"), False),
        ((), False),
    ],
    ids=["first part", "second part", "not in it", "only the last part", "no parts"],
)
def test_a_request_is_refused_as_not_run_if_its_prompt_is_in_quarantine(
    parts: tuple[str, ...], is_refused: bool
) -> None:
    harness = _harness("e-1", quarantined=_QUARANTINED)
    actions = harness.submit_request("r1", prompt=_prompt(*parts))
    refusals = _refusals(actions)
    assert bool(refusals) is is_refused
    assert bool(of_type(actions, SendAttempt)) is not is_refused
    for refusal in refusals:
        assert (refusal.kind, refusal.run_state) == (
            ErrorKind.REQUEST_QUARANTINED,
            RunState.NOT_RUN,
        )
        assert refusal.retry_after_ms > 0


def test_a_prompt_without_all_parts_of_a_quarantine_is_sent() -> None:
    both = QuarantinedTraits(frozenset({"bad", "other"}), STARTED_UNIX_MS)
    harness = _harness("e-1", quarantined=both)
    assert of_type(harness.submit_request("r1", prompt=_prompt("bad", "own")), SendAttempt)


def _quarantine(harness: GatewayCoreHarness) -> tuple[Action, ...]:
    report = peer_report("vm-2", quarantined=(_QUARANTINED,))
    return harness.handle_event(PeerReportReceived(report))


def test_queued_requests_are_refused_when_their_prompt_is_put_into_quarantine() -> None:
    harness = _harness("e-1")
    number = 0
    while of_type(harness.submit_request(f"r{number}", prompt=_prompt("bad", "own")), SendAttempt):
        number += 1
    (refusal,) = _refusals(_quarantine(harness))
    assert (refusal.request_id, refusal.run_state) == (f"r{number}", RunState.NOT_RUN)


def test_a_request_that_has_run_is_not_refused_as_not_run_when_its_prompt_is_quarantined() -> None:
    harness = _harness("e-1", "e-2")
    harness.submit_request("r1", prompt=_prompt("bad", "own"))
    number = 0
    while of_type(harness.submit_request(f"s{number}", prompt=_prompt("a", "own")), SendAttempt):
        number += 1
    assert of_type(harness.handle_event(AttemptEnded("r1", AttemptResult.BROKEN)), AwaitPlacement)
    actions = _quarantine(harness)
    (returned,) = of_type(actions, ReturnLastResult)
    assert isinstance(returned, ReturnLastResult)
    assert returned.request_id == "r1"
    assert not _refusals(actions)


def test_a_request_whose_prompt_was_quarantined_meanwhile_is_not_sent_again() -> None:
    harness = _harness("e-1", "e-2")
    harness.submit_request("r1", prompt=_prompt("bad", "own"))
    _quarantine(harness)
    actions = harness.handle_event(AttemptEnded("r1", AttemptResult.BROKEN))
    assert of_type(actions, ReturnLastResult)
    assert not of_type(actions, SendAttempt)


def test_a_quarantine_that_the_store_lacks_is_written_there() -> None:
    harness = _harness("e-1")
    _quarantine(harness)
    (write,) = of_type(harness.tick(harness.now_ms + 1_000), WriteQuarantineRecord)
    assert isinstance(write, WriteQuarantineRecord)
    assert write.record.trait_sets == {frozenset({"bad"})}


def test_a_quarantine_ends_after_its_time() -> None:
    harness = _harness("e-1", quarantined=_QUARANTINED)
    harness.tick(harness.now_ms + 599_000)
    assert len(harness.core.board.table(QuarantineTable)) == 1
    harness.tick(harness.now_ms + 2_000)
    assert not len(harness.core.board.table(QuarantineTable))
    assert of_type(harness.submit_request("r1", prompt=_prompt("bad", "own")), SendAttempt)


def test_a_part_that_a_peer_saw_answered_is_released() -> None:
    both = QuarantinedTraits(frozenset({"bad", "sound"}), STARTED_UNIX_MS)
    harness = _harness("e-1", quarantined=both)
    harness.now_ms += 2_000
    report = peer_report("vm-2", cleared_traits_ms={"sound": 500})
    harness.handle_event(PeerReportReceived(report))
    harness.tick(harness.now_ms + 50)
    assert [row.traits for row in harness.core.board.table(QuarantineTable).rows()] == [
        frozenset({"bad"})
    ]
