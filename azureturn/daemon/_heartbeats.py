"""Converts heartbeats between the core's types and the thrift structs."""

from azureturn.core.membership import GossipRow, PeerHeartbeat, PeerIdentity, RowKey, Topic
from azureturn.peers.gen.ttypes import GossipRow as WireRow
from azureturn.peers.gen.ttypes import Heartbeat

#: Maximum number of rows read from one heartbeat; further ones are ignored.
ROW_LIMIT = 10_000
_TOPICS = frozenset(Topic)


def heartbeat_to_wire(heartbeat: PeerHeartbeat) -> Heartbeat:
    """Return the thrift struct of a heartbeat."""
    sender = heartbeat.sender
    return Heartbeat(
        vm=sender.vm,
        availability_zone=sender.availability_zone,
        host=sender.host,
        peer_port=sender.peer_port,
        boot_id=sender.boot_id,
        incarnation=sender.incarnation,
        configuration_revision=heartbeat.configuration_revision,
        leaving=heartbeat.leaving,
        rows=[_row_to_wire(row) for row in heartbeat.rows],
        place=heartbeat.place,
        taken=heartbeat.taken,
        taken_incarnation=heartbeat.taken_incarnation,
    )


def heartbeat_from_wire(wire: Heartbeat) -> PeerHeartbeat:
    """Return the heartbeat in a thrift struct; missing fields are read as empty or 0."""
    sender = PeerIdentity(
        vm=wire.vm or "",
        availability_zone=wire.availability_zone or "",
        host=wire.host or "",
        peer_port=wire.peer_port or 0,
        boot_id=wire.boot_id or "",
        incarnation=wire.incarnation or 0,
    )
    rows = (wire.rows or [])[:ROW_LIMIT]
    return PeerHeartbeat(
        sender=sender,
        configuration_revision=wire.configuration_revision or 0,
        leaving=bool(wire.leaving),
        # A newer release may send topics that this one does not know; they are ignored.
        rows=tuple(_row_from_wire(row) for row in rows if row.topic in _TOPICS),
        place=wire.place or 0,
        taken=wire.taken or 0,
        taken_incarnation=wire.taken_incarnation or 0,
    )


def _row_to_wire(row: GossipRow) -> WireRow:
    return WireRow(
        owner=row.row_key.owner,
        incarnation=row.incarnation,
        topic=int(row.row_key.topic),
        key=row.row_key.key,
        version=row.version,
        numbers=list(row.numbers),
    )


def _row_from_wire(wire: WireRow) -> GossipRow:
    return GossipRow(
        RowKey(wire.owner or "", Topic(wire.topic), wire.key or ""),
        wire.incarnation or 0,
        wire.version or 0,
        tuple(wire.numbers or ()),
    )
