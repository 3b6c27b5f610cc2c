"""Heartbeats keep their content and stay within their size estimate when encoded."""

import time

from azureturn.core.membership import GossipRow, PeerHeartbeat, PeerIdentity, RowKey, Topic
from azureturn.daemon._heartbeats import heartbeat_from_wire, heartbeat_to_wire
from azureturn.peers import EnvelopeSigner
from azureturn.peers._authentication import encode_struct
from azureturn.peers.gen.ttypes import Heartbeat

#: Overhead of the thrift call around an envelope, and of TCP and IP for a call and its answer.
CALL_BYTES = 60


def heartbeat(rows: int) -> PeerHeartbeat:
    identity = PeerIdentity("burdekin-vm-17", "zone-a", "10.1.2.3", 8_081, "0123456789abcdef", 9)
    return PeerHeartbeat(
        identity,
        123_456,
        rows=tuple(
            GossipRow(
                RowKey("burdekin-vm-17", Topic.UPSTREAM_WORK, f"drafting-{number}"),
                1_790_000_000_000,
                1_000 + number,
                (40_000 + number, 7),
            )
            for number in range(rows)
        ),
        place=1_000_000,
        taken=1_000_000,
        taken_incarnation=1_790_000_000_000,
    )


def test_heartbeat_round_trips_through_thrift() -> None:
    original = heartbeat(3)
    assert heartbeat_from_wire(heartbeat_to_wire(original)) == original


def test_size_estimate_is_an_upper_bound_of_the_encoded_size() -> None:
    signer = EnvelopeSigner("a-secret-of-enough-length", "burdekin-vm-17", clock_s=time.monotonic)
    for rows in (0, 1, 20, 100):
        original = heartbeat(rows)
        envelope = signer.seal("exchange_heartbeat", heartbeat_to_wire(original))
        assert len(encode_struct(envelope)) + CALL_BYTES <= original.size_bytes


def test_missing_fields_are_read_as_an_empty_heartbeat() -> None:
    assert heartbeat_from_wire(Heartbeat()).rows == ()
