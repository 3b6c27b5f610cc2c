"""What VMs tell each other: rows that each belong to one VM, and heartbeats that carry them."""

from dataclasses import dataclass, replace
from enum import IntEnum

#: Bytes of a row's fixed part, as thrift's compact form has it.
_ROW_FIXED_BYTES = 20
#: Bytes of a heartbeat without rows, its signature and the call around it.
HEARTBEAT_FIXED_BYTES = 260


def _number_bytes(number: int) -> int:
    """Return the bytes of a number as a zigzag integer of seven bits a byte."""
    return 1 + number.bit_length() // 7


class Topic(IntEnum):
    """What a row is about; the lowest number goes first when the byte budget is short."""

    #: Key: upstream. Numbers: 1 while its owner sees the upstream leaving, else 0.
    UPSTREAM_LEAVING = 1
    #: Key: empty. Numbers: none; the rising version alone says that the VM lives.
    ALIVE = 2
    #: Key: digest of a model's route, and an epoch. Numbers: as the version moves define.
    EVIDENCE = 3
    #: Key: model or plain service. Numbers: queued requests by tier, the most urgent first.
    QUEUE = 4
    #: Key: upstream. Numbers: outstanding tokens, outstanding requests.
    UPSTREAM_WORK = 5
    #: Key: a model. Numbers: its move, and how the move is known to have ended.
    MOVE_ENDED = 6
    #: Key: upstream and a slot. Numbers: digests of a prompt's leading blocks.
    PREFIX = 7


#: Topics whose rows stay among the VMs of one availability zone.
ZONE_TOPICS = frozenset({Topic.ALIVE, Topic.QUEUE})
#: Topics that do not wait for the next heartbeat.
URGENT_TOPICS = frozenset({Topic.UPSTREAM_LEAVING, Topic.MOVE_ENDED})


@dataclass(frozen=True)
class RowKey:
    """Names a row: its owner alone changes it."""

    owner: str
    topic: Topic
    key: str = ""


@dataclass(frozen=True)
class GossipRow:
    """One fact, with the version that tells which of two copies is newer."""

    row_key: RowKey
    #: When the owner's process started, by its own wall clock in ms.
    incarnation: int
    version: int
    numbers: tuple[int, ...] = ()

    def is_newer_than(self, other: "GossipRow") -> bool:
        """Return whether this copy replaces another of the same row."""
        return (self.incarnation, self.version) > (other.incarnation, other.version)

    @property
    def size_bytes(self) -> int:
        """Return about how many bytes the row takes in a heartbeat."""
        names = len(self.row_key.owner) + len(self.row_key.key)
        return _ROW_FIXED_BYTES + names + sum(map(_number_bytes, self.numbers))


@dataclass(frozen=True)
class PeerIdentity:
    """One process of the system, and where its peers reach it."""

    vm: str
    availability_zone: str
    host: str
    peer_port: int
    boot_id: str = ""
    incarnation: int = 0


@dataclass(frozen=True)
class PeerHeartbeat:
    """What one VM tells another: who it is, its configuration's revision, and news."""

    sender: PeerIdentity
    configuration_revision: int
    leaving: bool = False
    rows: tuple[GossipRow, ...] = ()
    #: Place in the sender's log up to which the receiver is told with this heartbeat.
    place: int = 0
    #: Place in the receiver's log up to which the sender has taken in.
    taken: int = 0
    #: The receiver's process that ``taken`` is about.
    taken_incarnation: int = 0

    @property
    def size_bytes(self) -> int:
        """Return about how many bytes the heartbeat takes on the wire."""
        return HEARTBEAT_FIXED_BYTES + sum(row.size_bytes for row in self.rows)


@dataclass(frozen=True)
class Peer:
    """What this VM knows of another."""

    identity: PeerIdentity
    last_heard_ms: int
    #: Failed calls in a row.
    failures: int = 0
    #: No call before this time, after failures.
    retry_at_ms: int = 0
    leaving: bool = False
    #: Place in this VM's log up to which the peer has been told.
    cursor: int = 0
    #: Place up to which the peer has said that it has taken in.
    confirmed: int = 0
    #: Place in the peer's log up to which this VM has taken in.
    taken: int = 0
    configuration_revision: int = 0

    def with_heard(self, heartbeat: PeerHeartbeat, *, own_incarnation: int, now_ms: int) -> "Peer":
        """Return a copy that was just heard.

        The cursor follows what the peer says that it has taken, so that a lost heartbeat or
        answer is made good by the next one, and a new process on either side is told all.
        """
        restarted = heartbeat.sender.incarnation != self.identity.incarnation
        knows_us = heartbeat.taken_incarnation == own_incarnation
        return replace(
            self,
            identity=heartbeat.sender,
            last_heard_ms=now_ms,
            failures=0,
            retry_at_ms=0,
            leaving=heartbeat.leaving,
            cursor=heartbeat.taken if knows_us else 0,
            confirmed=heartbeat.taken if knows_us else 0,
            taken=heartbeat.place if restarted else max(self.taken, heartbeat.place),
            configuration_revision=heartbeat.configuration_revision,
        )

    def with_failure(self, retry_at_ms: int) -> "Peer":
        """Return a copy that did not answer; what it has not confirmed it is told again."""
        return replace(
            self,
            failures=self.failures + 1,
            retry_at_ms=retry_at_ms,
            cursor=self.confirmed,
        )

    def with_cursor(self, cursor: int) -> "Peer":
        """Return a copy that was told the changes up to a place in the log."""
        return replace(self, cursor=cursor)

    def with_heard_of(self, now_ms: int) -> "Peer":
        """Return a copy that another VM has just heard."""
        return replace(self, last_heard_ms=now_ms)

    def with_leaving(self, leaving: bool) -> "Peer":
        """Return a copy that is, or is not, leaving."""
        return replace(self, leaving=leaving)
