"""Data exchanged between VMs: gossip rows, each owned by one VM, and heartbeats with them."""

from dataclasses import dataclass, replace
from enum import IntEnum

#: Bytes of the fixed part of a row in thrift's compact protocol.
_ROW_FIXED_BYTES = 20
#: Bytes of a heartbeat without rows, including its signature and the call envelope.
HEARTBEAT_FIXED_BYTES = 260


def _number_bytes(number: int) -> int:
    """Return the bytes of a number as a zigzag varint, which has seven bits per byte."""
    return 1 + number.bit_length() // 7


class Topic(IntEnum):
    """Subject of a gossip row; the value is sent on the wire."""

    #: Key: upstream. Numbers: 1 while the row's owner sees the upstream leaving, else 0.
    UPSTREAM_LEAVING = 1
    #: Key: empty. Numbers: none; the increasing version signals that the VM is alive.
    ALIVE = 2
    #: Key: digest of model and route, and an epoch. Numbers: see ``core.moves._gossip``.
    EVIDENCE = 3
    #: Key: model or plain service. Numbers: queued requests by tier, the most urgent first.
    QUEUE = 4
    #: Key: upstream. Numbers: outstanding tokens, outstanding requests.
    UPSTREAM_WORK = 5
    #: Key: model. Numbers: move number, how the move ended, and the reason.
    MOVE_ENDED = 6
    #: Key: upstream and slot. Numbers: digests of the leading blocks of a prompt.
    PREFIX = 7


#: Topics whose rows are sent only within one availability zone.
ZONE_TOPICS = frozenset({Topic.ALIVE, Topic.QUEUE})
#: Topics that are sent without waiting for the next heartbeat interval.
URGENT_TOPICS = frozenset({Topic.UPSTREAM_LEAVING, Topic.MOVE_ENDED})


@dataclass(frozen=True)
class RowKey:
    """Identifies a row; only its owner changes the row."""

    owner: str
    topic: Topic
    key: str = ""


@dataclass(frozen=True)
class GossipRow:
    """One replicated row; its incarnation and version order two copies of it."""

    row_key: RowKey
    #: Start time of the owner's process, by its own wall clock in ms.
    incarnation: int
    version: int
    numbers: tuple[int, ...] = ()

    def is_newer_than(self, other: "GossipRow") -> bool:
        """Return whether this copy replaces another copy of the same row."""
        return (self.incarnation, self.version) > (other.incarnation, other.version)

    @property
    def size_bytes(self) -> int:
        """Return the approximate size of the row in a heartbeat."""
        names = len(self.row_key.owner) + len(self.row_key.key)
        return _ROW_FIXED_BYTES + names + sum(map(_number_bytes, self.numbers))


@dataclass(frozen=True)
class PeerIdentity:
    """One process of the system and its address for peers."""

    vm: str
    availability_zone: str
    host: str
    peer_port: int
    boot_id: str = ""
    incarnation: int = 0


@dataclass(frozen=True)
class PeerHeartbeat:
    """A heartbeat from one VM to another: identity, configuration revision and changed rows."""

    sender: PeerIdentity
    configuration_revision: int
    leaving: bool = False
    rows: tuple[GossipRow, ...] = ()
    #: Position in the sender's log up to which the receiver is current after this heartbeat.
    place: int = 0
    #: Position in the receiver's log up to which the sender has applied changes.
    taken: int = 0
    #: Incarnation of the receiver that ``taken`` refers to.
    taken_incarnation: int = 0

    @property
    def size_bytes(self) -> int:
        """Return the approximate size of the heartbeat on the wire."""
        return HEARTBEAT_FIXED_BYTES + sum(row.size_bytes for row in self.rows)


@dataclass(frozen=True)
class Peer:
    """State that this VM keeps about another VM."""

    identity: PeerIdentity
    last_heard_ms: int
    #: Number of consecutive failed calls.
    failures: int = 0
    #: Earliest time of the next call after failures.
    retry_at_ms: int = 0
    leaving: bool = False
    #: Position in this VM's log up to which changes were sent to the peer.
    cursor: int = 0
    #: Position in this VM's log that the peer has acknowledged.
    acknowledged: int = 0
    #: Position in the peer's log up to which this VM has applied changes.
    taken: int = 0
    configuration_revision: int = 0

    def with_heartbeat(
        self, heartbeat: PeerHeartbeat, *, own_incarnation: int, now_ms: int
    ) -> "Peer":
        """Return a copy updated from a heartbeat of the peer.

        The cursor is set to the position acknowledged by the peer, so that the next heartbeat
        repeats what was lost with an earlier heartbeat or its answer, and a restarted process on
        either side receives all rows.
        """
        restarted = heartbeat.sender.incarnation != self.identity.incarnation
        cursor_is_current = heartbeat.taken_incarnation == own_incarnation
        return replace(
            self,
            identity=heartbeat.sender,
            last_heard_ms=now_ms,
            failures=0,
            retry_at_ms=0,
            leaving=heartbeat.leaving,
            cursor=heartbeat.taken if cursor_is_current else 0,
            acknowledged=heartbeat.taken if cursor_is_current else 0,
            taken=heartbeat.place if restarted else max(self.taken, heartbeat.place),
            configuration_revision=heartbeat.configuration_revision,
        )

    def with_failure(self, retry_at_ms: int) -> "Peer":
        """Return a copy after a failed call; unacknowledged changes will be sent again."""
        return replace(
            self,
            failures=self.failures + 1,
            retry_at_ms=retry_at_ms,
            cursor=self.acknowledged,
        )

    def with_cursor(self, cursor: int) -> "Peer":
        """Return a copy to which the changes up to a position in the log were sent."""
        return replace(self, cursor=cursor)

    def with_indirect_contact(self, now_ms: int) -> "Peer":
        """Return a copy that is known to be alive through another VM."""
        return replace(self, last_heard_ms=now_ms)

    def with_leaving(self, leaving: bool) -> "Peer":
        """Return a copy with ``leaving`` set."""
        return replace(self, leaving=leaving)
