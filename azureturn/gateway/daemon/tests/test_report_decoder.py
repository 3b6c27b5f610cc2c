"""Reports that repeat the last one of their sender, and those that only look like it."""

from typing import Any

import pytest

from azureturn.errors import AzureturnError
from azureturn.gateway.daemon._report_codec import report_to_wire
from azureturn.gateway.daemon._report_decoder import ReportDecoder
from azureturn.gateway.decisions import OutstandingWork, PeerReport, SentPrompt
from azureturn.gateway.decisions.tests.gateway_core_harness import peer_report
from azureturn.gateway.site import PromptPart
from azureturn.peers import encode_struct

_WORK = {"u1": OutstandingWork(2, 900)}
_PROMPTS = (SentPrompt("u1", "m", (PromptPart("p", 10),)),)


def _encode(report: PeerReport) -> bytes:
    return encode_struct(report_to_wire(report))


@pytest.mark.parametrize(
    "fields",
    [
        {"sequence": 64},
        {"sequence": 2**40},
        {"boot": 6},
        {"vm": "vm-22"},
        {"host": "10.0.1.22"},
        {"work": {"u1": OutstandingWork(3, 900)}},
        {"work": {}},
        {"prompts": _PROMPTS},
        {"leaving": True},
        {"store_contact_ms": None},
    ],
)
def test_every_report_is_decoded_as_without_the_ones_before(fields: dict[str, Any]) -> None:
    # Guards against a change that is missed, since the report is taken for a repeated one.
    first = {"vm": "vm-2", "sequence": 63, "work": _WORK, "store_contact_ms": 10_000}
    decoder = ReportDecoder()
    for values in (first, {**first, **fields}, {**first, "sequence": 65}):
        report = peer_report(**values)
        assert decoder.decode(_encode(report), "sender") == report


def test_a_repeated_report_is_not_decoded_again() -> None:
    decoder = ReportDecoder()
    first, second = (
        decoder.decode(_encode(peer_report("vm-2", number, work=_WORK)), "sender")
        for number in (1, 300)
    )
    assert (second.sequence, second.work is first.work) == (300, True)


def test_each_sender_is_compared_with_its_own_last_report() -> None:
    decoder = ReportDecoder()
    for number, vm in enumerate(("vm-2", "vm-3", "vm-2", "vm-3")):
        report = peer_report(vm, number, work=_WORK if vm == "vm-2" else {})
        assert decoder.decode(_encode(report), vm) == report


@pytest.mark.parametrize("length", [0, 1, 8, 20, 40])
def test_a_truncated_report_is_refused(length: int) -> None:
    # Guards against an endless or wrong number when a datagram ends inside it.
    decoder = ReportDecoder()
    data = _encode(peer_report("vm-2", 2**40, work=_WORK))
    decoder.decode(data, "sender")
    with pytest.raises(AzureturnError):
        decoder.decode(data[:length], "sender")


def test_unknown_senders_take_up_bounded_memory() -> None:
    decoder = ReportDecoder()
    for number in range(3_000):
        decoder.decode(_encode(peer_report(f"vm-{number}")), number)
    assert len(decoder._last_reports) <= 1_024
