"""Data exchanged between VMs: gossip rows, each owned by one VM, and heartbeats that carry them."""

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

    #: Key: upstream. Numbers: 1 while the row's owner reports that the upstream is leaving (is
    #: shutting down and must get no new requests), else 0.
    UPSTREAM_LEAVING = 1
    #: Key: empty. Numbers: none; the increasing version signals that the VM is alive.
    ALIVE = 2
    #: Key: digest of model and route, and an epoch. Numbers: see ``core.moves._gossip``.
    EVIDENCE = 3
    #: Key: model or plain service. Numbers: queued requests by tier, the most urgent first.
    QUEUE = 4
    #: Key: upstream. Numbers: outstanding tokens, outstanding requests.
    UPSTREAM_WORK = 5
    #: Key: model. Numbers: move number, and codes of the outcome and of the reason.
    MOVE_ENDED = 6
    #: Key: upstream and the number of one of the rows that the owner reuses in turn. Numbers:
    #: digests of the leading blocks of a prompt.
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
    """One replicated row; its incarnation and version tell which of two copies is newer."""

    row_key: RowKey
    #: Start time of the owner's process in ms, by the wall clock of the owner.
    incarnation: int
    #: Incremented by each change of the row within an incarnation.
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
    #: Identifies one start of the process of a VM.
    boot_id: str = ""
    #: Start time of the process in ms, by its own wall clock; orders the processes of a VM.
    incarnation: int = 0


@dataclass(frozen=True)
class PeerHeartbeat:
    """A heartbeat from one VM to another: identity, configuration revision and changed rows."""

    sender: PeerIdentity
    #: Revision of the configuration that the sender applies.
    configuration_revision: int
    #: Whether the sender has announced that it is shutting down.
    leaving: bool = False
    rows: tuple[GossipRow, ...] = ()
    #: Position in the sender's change log up to which the receiver has all changes after this
    #: heartbeat.
    place: int = 0
    #: Position in the receiver's change log up to which the sender has applied changes.
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
    #: Time at which the peer was last known to be alive, from its heartbeats or through other VMs.
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
        repeats the rows that were lost with an earlier heartbeat or its answer, and a restarted
        process on either side receives all rows.
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
        """Return a copy with the position in the log up to which changes were sent to the peer."""
        return replace(self, cursor=cursor)

    def with_indirect_contact(self, now_ms: int) -> "Peer":
        """Return a copy after another VM has reported that the peer is alive."""
        return replace(self, last_heard_ms=now_ms)

    def with_leaving(self, leaving: bool) -> "Peer":
        """Return a copy with ``leaving`` set."""
        return replace(self, leaving=leaving)
