"""Decodes peers' reports; one that only repeats its sender's last report is not decoded again.

Load pattern: on a site with many VMs each receives about 160 reports a second, and most differ from
their sender's last one in nothing but their number.
"""

from dataclasses import dataclass

from azureturn.errors import AzureturnError, ErrorKind
from azureturn.gateway.daemon._report_codec import report_from_wire
from azureturn.gateway.decisions import PeerReport
from azureturn.peers import GatewayReport, decode_struct, encode_struct

#: Maximum number of senders whose last report is kept, so that spoofed ones take up little memory.
_MAX_SENDERS = 1_024
#: Header of the field ``sequence`` behind ``boot``: the difference of their ids, and the type i64.
_SEQUENCE_HEADER = b"\x16"
#: The stop byte at the end of a struct.
_STOP_BYTES = 1
_MAX_VARINT_BYTES = 10


@dataclass(frozen=True)
class _LastReport:
    report: PeerReport
    #: The encoded fields before the number, and those after it.
    before_number: bytes
    after_number: bytes


class ReportDecoder:
    """Decodes datagrams, and remembers the last report of each sender.

    >>> from azureturn.gateway.decisions.tests.gateway_core_harness import peer_report
    >>> from azureturn.gateway.daemon._report_codec import report_to_wire
    >>> decoder = ReportDecoder()
    >>> first, second = (
    ...     decoder.decode(encode_struct(report_to_wire(peer_report("vm-2", sequence=number))), "")
    ...     for number in (1, 200)
    ... )
    >>> (first.sequence, second.sequence, first.work is second.work)
    (1, 200, True)
    """

    def __init__(self) -> None:
        self._last_reports: dict[object, _LastReport] = {}

    def decode(self, data: bytes, sender: object) -> PeerReport:
        """Return the report in a datagram; raise an ``AzureturnError`` if it is not valid."""
        last = self._last_reports.get(sender)
        if last is not None and (report := _repeated(last, data)) is not None:
            return report
        try:
            report = report_from_wire(decode_struct(GatewayReport, data))
        except TypeError as error:
            # A field is missing in a row of a list.
            raise AzureturnError(ErrorKind.MALFORMED_REQUEST, "not a valid report") from error
        # Prompts are sent once, and would take up memory for each peer.
        if not report.prompts:
            self._remember(report, data, sender)
        return report

    def _remember(self, report: PeerReport, data: bytes, sender: object) -> None:
        before_number = _encoded_before_number(report)
        number_ends_at = _end_of_varint(data, len(before_number))
        last = _LastReport(report, before_number, data[number_ends_at:])
        if _repeated(last, data) != report:
            # An earlier or later build encodes reports in another way.
            self._last_reports.pop(sender, None)
            return
        if sender not in self._last_reports and len(self._last_reports) >= _MAX_SENDERS:
            self._last_reports.clear()
        self._last_reports[sender] = last


def _encoded_before_number(report: PeerReport) -> bytes:
    identity = GatewayReport(vm=report.vm, host=report.host, boot=report.boot)
    return encode_struct(identity)[:-_STOP_BYTES] + _SEQUENCE_HEADER


def _repeated(last: _LastReport, data: bytes) -> PeerReport | None:
    """Return the report if it equals the last one except for its number, else None."""
    starts_at = len(last.before_number)
    ends_at = len(data) - len(last.after_number)
    if not 0 < ends_at - starts_at <= _MAX_VARINT_BYTES:
        return None
    if not (data.startswith(last.before_number) and data.endswith(last.after_number)):
        return None
    if _end_of_varint(data, starts_at) != ends_at:
        return None
    return last.report.with_sequence(_decode_varint(data[starts_at:ends_at]))


def _end_of_varint(data: bytes, starts_at: int) -> int:
    """Return the offset behind the varint at an offset."""
    for offset in range(starts_at, min(len(data), starts_at + _MAX_VARINT_BYTES)):
        if data[offset] < 0x80:
            return offset + 1
    return -1


def _decode_varint(data: bytes) -> int:
    """Return the signed integer that Thrift's compact protocol encodes as these bytes.

    >>> [_decode_varint(data) for data in (b"\\x02", b"\\x01", b"\\x90\\x03")]
    [1, -1, 200]
    """
    value = 0
    for index, byte in enumerate(data):
        value |= (byte & 0x7F) << (7 * index)
    return (value >> 1) ^ -(value & 1)
