"""What earlier builds report, since builds run side by side during an upgrade."""

from base64 import b64decode

import pytest

from azureturn.gateway.daemon._report_codec import report_from_wire, report_to_wire
from azureturn.gateway.decisions import ColdReport, OutstandingWork, SpeedReport
from azureturn.gateway.decisions.tests.gateway_core_harness import peer_report
from azureturn.gateway.site import QuarantinedTraits
from azureturn.peers import GatewayReport, decode_struct, encode_struct

#: A report as the build of commit 5707ed4 encodes it.
_REPORT_OF_5707ED4 = (
    "GAR2bS05GAgxMC4wLjEuMhYKFgISFhQZHBgBdRUCFQQAGQwZDBkMGQwZDCIYABkMGQwZDBkcGRgBcBYKABkM"
    "GSgBYQFiAA=="
)


def test_a_report_of_an_earlier_build_is_read() -> None:
    report = report_from_wire(decode_struct(GatewayReport, b64decode(_REPORT_OF_5707ED4)))
    assert report == peer_report(
        "vm-9",
        work={"u": OutstandingWork(requests=1, pending_tokens=2)},
        unreachable=frozenset({"a", "b"}),
        quarantined=(QuarantinedTraits(frozenset({"p"}), 5),),
    )
    # An earlier build does not say for how long the store has answered it.
    assert report.store_contact_ms is None


@pytest.mark.parametrize("cold", [(), (ColdReport(("e-1", 1_780_000_000_000), 2_500),)])
def test_cold_upstreams_take_up_no_field_unless_there_are_some(
    cold: tuple[ColdReport, ...],
) -> None:
    """Earlier builds read the report as before, and absent fields cost nothing."""
    report = peer_report("vm-9", cold=cold)
    wire = report_to_wire(report)
    assert (wire.cold is None) is not bool(cold)
    assert report_from_wire(decode_struct(GatewayReport, encode_struct(wire))) == report


def test_measured_speeds_are_read_as_they_were_sent_and_absent_in_earlier_builds() -> None:
    """The field is new: a wrong number in it would be taken for another field by peers."""
    speeds = (SpeedReport(("e-1", 1_780_000_000_000), 2, 4_000, 11_200),)
    wire = report_to_wire(peer_report("vm-9", speeds=speeds))
    assert report_from_wire(decode_struct(GatewayReport, encode_struct(wire))).speeds == speeds
    earlier = decode_struct(GatewayReport, b64decode(_REPORT_OF_5707ED4))
    assert report_from_wire(earlier).speeds == ()
