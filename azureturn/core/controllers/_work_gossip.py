"""Publishes this VM's outstanding and queued work to its peers and receives the work of peers.

Outstanding work is the requests, and their tokens, that a VM has sent to an upstream and that have
not ended.
"""

from azureturn.core._controllers import controller
from azureturn.core._events import (
    GossipRowsReceived,
    PeerPrefixSent,
    PeerQueueReported,
    PeerWorkReported,
)
from azureturn.core._queue import QueueTable
from azureturn.core._upstreams import Upstream, UpstreamTable
from azureturn.core.membership import GossipRow, GossipTable, PeerIdentity, PeerTable, Topic
from azureturn.core.placement import PrefixTable
from azureturn.framework import Context, Controller, Tick, on
from azureturn.settings import Settings

#: Interval at which changed work and queue lengths are published.
PUBLISH_INTERVAL_MS = 500
#: Interval at which unchanged work and queue lengths are published again, since a VM drops those of
#: a peer that it has not heard from.
RENEW_INTERVAL_MS = 3_000
#: Token counts are rounded up to a multiple of this, so that small changes send no bytes.
TOKEN_STEP = 64
#: Interval at which the prefix of one prompt is published; a row of digests takes about 270 bytes.
PREFIX_INTERVAL_MS = 1_000
#: Number of rows for the prefixes of one upstream; a new prefix overwrites an older one.
PREFIX_SLOTS = 4
_DIGEST_BITS = 64
#: Number of tiers, from the most urgent, whose queue lengths are published.
PUBLISHED_RANKS = 4


@controller("work_gossip")
class WorkGossipController(Controller[Settings]):
    """Spreads outstanding work, queue lengths and prompt prefixes as gossip rows."""

    reads = (PeerTable, UpstreamTable, QueueTable)
    writes = (GossipTable, PrefixTable)
    after = ("membership", "learning", "placement")

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self._next_publish_ms = 0
        self._next_prefix_ms = 0
        self._prefixes_published = 0
        #: Upstreams for which non-zero work was published last.
        self._published: set[str] = set()

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        own_identity = self.board.read(PeerTable).local_identity
        if own_identity is None or context.now_ms < self._next_publish_ms:
            return
        self._next_publish_ms = context.now_ms + PUBLISH_INTERVAL_MS
        self._publish_work(own_identity, context.now_ms)
        self._publish_queues(own_identity, context.now_ms)
        if context.now_ms >= self._next_prefix_ms:
            self._next_prefix_ms = context.now_ms + PREFIX_INTERVAL_MS
            self._publish_prefix(own_identity, context.now_ms)

    @on(GossipRowsReceived)
    def _on_rows(self, event: GossipRowsReceived, context: Context) -> None:
        for row in event.rows:
            if row.row_key.topic is Topic.UPSTREAM_WORK and len(row.numbers) == 2:
                context.post(_work_from_row(row, context.now_ms))
            elif row.row_key.topic is Topic.QUEUE:
                context.post(_queue_from_row(row, context.now_ms))
            elif row.row_key.topic is Topic.PREFIX:
                context.post(_prefix_from_row(row))

    def _publish_work(self, own_identity: PeerIdentity, now_ms: int) -> None:
        gossip = self.board.write(GossipTable)
        busy = self.board.read(UpstreamTable).busy
        for name in self._published | busy:
            upstream = self.board.read(UpstreamTable).get(name)
            numbers = (0, 0) if upstream is None else _published_work(upstream)
            gossip.change_own(
                own_identity,
                Topic.UPSTREAM_WORK,
                name,
                numbers,
                now_ms,
                renew_after_ms=RENEW_INTERVAL_MS,
            )
        self._published = set(busy)

    def _publish_queues(self, own_identity: PeerIdentity, now_ms: int) -> None:
        gossip = self.board.write(GossipTable)
        for target, queue in self.board.read(QueueTable).items():
            numbers = queue.lengths(PUBLISHED_RANKS)
            gossip.change_own(
                own_identity, Topic.QUEUE, target, numbers, now_ms, renew_after_ms=RENEW_INTERVAL_MS
            )

    def _publish_prefix(self, own_identity: PeerIdentity, now_ms: int) -> None:
        for sent_prefix in self.board.write(PrefixTable).take_unpublished(1):
            self._prefixes_published += 1
            key = f"{sent_prefix.upstream}/{self._prefixes_published % PREFIX_SLOTS}"
            numbers = tuple(_signed_64_bit(digest) for digest in sent_prefix.digests)
            self.board.write(GossipTable).change_own(
                own_identity, Topic.PREFIX, key, numbers, now_ms
            )


def _published_work(upstream: Upstream) -> tuple[int, int]:
    steps = -(-upstream.outstanding_tokens // TOKEN_STEP)
    return upstream.outstanding_requests, steps * TOKEN_STEP


def _work_from_row(row: GossipRow, now_ms: int) -> PeerWorkReported:
    requests, tokens = row.numbers
    return PeerWorkReported(row.row_key.owner, row.row_key.key, now_ms, requests, tokens)


def _queue_from_row(row: GossipRow, now_ms: int) -> PeerQueueReported:
    return PeerQueueReported(row.row_key.owner, row.row_key.key, now_ms, row.numbers)


def _prefix_from_row(row: GossipRow) -> PeerPrefixSent:
    upstream = row.row_key.key.rpartition("/")[0]
    digests = tuple(f"{number % (1 << _DIGEST_BITS):016x}" for number in row.numbers)
    return PeerPrefixSent(row.row_key.owner, upstream, digests)


def _signed_64_bit(digest: str) -> int:
    """Return a digest as a signed 64-bit integer, as Thrift's ``i64`` is."""
    number = int(digest, 16)
    return number - (1 << _DIGEST_BITS) if number >> (_DIGEST_BITS - 1) else number
