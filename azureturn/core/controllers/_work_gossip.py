"""Tells peers what this VM has outstanding and queued, and takes in what they tell."""

from azureturn.core._controllers import controller
from azureturn.core._events import PeerPrefixSent, PeerQueueReported, PeerWorkReported, RowsReceived
from azureturn.core._queue import QueueTable
from azureturn.core._upstreams import Upstream, UpstreamTable
from azureturn.core.membership import GossipRow, GossipTable, PeerIdentity, PeerTable, Topic
from azureturn.core.placement import PrefixTable
from azureturn.framework import Context, Controller, Tick, on
from azureturn.settings import Settings

#: Changed amounts are told this often.
PUBLISH_INTERVAL_MS = 500
#: Amounts that stay the same are told again this often, since readers forget a silent peer.
RENEW_INTERVAL_MS = 3_000
#: Tokens are told in steps of this size, so that a small change takes no bytes.
TOKEN_STEP = 64
#: One prompt's prefix is told this often; a row of digests takes some 270 bytes.
PREFIX_INTERVAL_MS = 1_000
#: Prefixes of one upstream that are told side by side; an older one is overwritten.
PREFIX_SLOTS = 4
_DIGEST_BITS = 64
#: Tiers whose queued requests are told.
TOLD_RANKS = 4


@controller("work_gossip")
class WorkGossipController(Controller[Settings]):
    """Spreads work and queues by the rows of the membership's gossip."""

    reads = (PeerTable, UpstreamTable, QueueTable)
    writes = (GossipTable, PrefixTable)
    after = ("membership", "learning", "placement")

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self._next_publish_ms = 0
        self._next_prefix_ms = 0
        self._prefixes_told = 0
        #: Upstreams of which something other than nothing was told.
        self._told: set[str] = set()

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        own = self.board.read(PeerTable).own
        if own is None or context.now_ms < self._next_publish_ms:
            return
        self._next_publish_ms = context.now_ms + PUBLISH_INTERVAL_MS
        self._publish_work(own, context.now_ms)
        self._publish_queues(own, context.now_ms)
        if context.now_ms >= self._next_prefix_ms:
            self._next_prefix_ms = context.now_ms + PREFIX_INTERVAL_MS
            self._publish_prefix(own, context.now_ms)

    @on(RowsReceived)
    def _on_rows(self, event: RowsReceived, context: Context) -> None:
        for row in event.rows:
            if row.row_key.topic is Topic.UPSTREAM_WORK and len(row.numbers) == 2:
                context.post(_work_of(row, context.now_ms))
            elif row.row_key.topic is Topic.QUEUE:
                context.post(_queue_of(row, context.now_ms))
            elif row.row_key.topic is Topic.PREFIX:
                context.post(_prefix_of(row))

    def _publish_work(self, own: PeerIdentity, now_ms: int) -> None:
        gossip = self.board.write(GossipTable)
        busy = self.board.read(UpstreamTable).busy
        for name in self._told | busy:
            upstream = self.board.read(UpstreamTable).get(name)
            numbers = (0, 0) if upstream is None else _told_work(upstream)
            gossip.change_own(
                own,
                Topic.UPSTREAM_WORK,
                name,
                numbers,
                now_ms,
                renew_after_ms=RENEW_INTERVAL_MS,
            )
        self._told = set(busy)

    def _publish_queues(self, own: PeerIdentity, now_ms: int) -> None:
        gossip = self.board.write(GossipTable)
        for target, queue in self.board.read(QueueTable).items():
            numbers = queue.lengths(TOLD_RANKS)
            gossip.change_own(
                own, Topic.QUEUE, target, numbers, now_ms, renew_after_ms=RENEW_INTERVAL_MS
            )

    def _publish_prefix(self, own: PeerIdentity, now_ms: int) -> None:
        for sent in self.board.write(PrefixTable).take_untold(1):
            self._prefixes_told += 1
            key = f"{sent.upstream}/{self._prefixes_told % PREFIX_SLOTS}"
            numbers = tuple(_signed(digest) for digest in sent.digests)
            self.board.write(GossipTable).change_own(own, Topic.PREFIX, key, numbers, now_ms)


def _told_work(upstream: Upstream) -> tuple[int, int]:
    steps = -(-upstream.outstanding_tokens // TOKEN_STEP)
    return upstream.outstanding_requests, steps * TOKEN_STEP


def _work_of(row: GossipRow, now_ms: int) -> PeerWorkReported:
    requests, tokens = row.numbers
    return PeerWorkReported(row.row_key.owner, row.row_key.key, now_ms, requests, tokens)


def _queue_of(row: GossipRow, now_ms: int) -> PeerQueueReported:
    return PeerQueueReported(row.row_key.owner, row.row_key.key, now_ms, row.numbers)


def _prefix_of(row: GossipRow) -> PeerPrefixSent:
    upstream = row.row_key.key.rpartition("/")[0]
    digests = tuple(f"{number % (1 << _DIGEST_BITS):016x}" for number in row.numbers)
    return PeerPrefixSent(row.row_key.owner, upstream, digests)


def _signed(digest: str) -> int:
    """Return a digest as a signed number of 64 bits, as thrift's integers are."""
    number = int(digest, 16)
    return number - (1 << _DIGEST_BITS) if number >> (_DIGEST_BITS - 1) else number
