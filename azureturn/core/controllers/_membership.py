"""Heartbeats between VMs: few peers at a time, only what changed, within a budget of bytes.

Rows spread as in epidemic algorithms (Demers et al., 1987): each interval a VM exchanges news
with a few peers chosen by chance, both ways in one call. That a VM lives spreads the same way
(van Renesse, Minsky and Hayden, 1998).
"""

from azureturn.core._actions import AnswerHeartbeat, FetchConfiguration, SendHeartbeat
from azureturn.core._configuration import ConfigurationTable
from azureturn.core._controllers import controller
from azureturn.core._events import (
    HeartbeatFailed,
    HeartbeatReceived,
    LeavingAnnounced,
    NewsIsUrgent,
    PeersListed,
    PeerStarted,
    RowsReceived,
    UpstreamLeaving,
)
from azureturn.core._upstreams import UpstreamTable
from azureturn.core.membership import (
    HEARTBEAT_FIXED_BYTES,
    URGENT_TOPICS,
    BudgetTable,
    GossipTable,
    Peer,
    PeerHeartbeat,
    PeerIdentity,
    PeerTable,
    RowKey,
    Topic,
    select_rows,
)
from azureturn.framework import Context, Controller, Tick, on
from azureturn.settings import Settings

#: Peers of its own availability zone that a VM calls in each interval, and at urgent news.
ZONE_DEGREE = 1
URGENT_ZONE_DEGREE = 3
#: Peers of other zones that a VM calls in every second interval, and at urgent news.
REMOTE_DEGREE = 1
URGENT_REMOTE_DEGREE = 2
REMOTE_ROUNDS = 2
#: Urgent news may overdraw the budget by this many seconds' worth.
URGENT_DEBT_S = 0.5
#: A peer that did not answer is called again after this, doubled for each further failure.
FIRST_RETRY_MS = 500
RETRY_LIMIT_MS = 8_000
#: A peer that nobody heard of for this long is taken for gone, and its rows with it.
SILENCE_LIMIT_MS = 10_000
#: Rows in one heartbeat take at most this share of one second's budget.
HEARTBEAT_SHARE = 0.25
#: How often the row that says that this VM lives is renewed.
ALIVE_INTERVAL_MS = 2_000


@controller("membership")
class MembershipController(Controller[Settings]):
    """Keeps the table of peers, and spreads rows among them."""

    reads = (ConfigurationTable,)
    writes = (PeerTable, GossipTable, BudgetTable, UpstreamTable)
    after = ("configuration",)

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self._next_round_ms = 0
        self._next_alive_ms = 0
        self._urgent = False
        self._round = 0

    @on(PeerStarted)
    def _on_started(self, event: PeerStarted, context: Context) -> None:
        self.board.write(PeerTable).own = event.identity

    @on(LeavingAnnounced)
    def _on_leaving(self, event: LeavingAnnounced, context: Context) -> None:
        self.board.write(PeerTable).own_leaving = True
        self._urgent = True

    @on(PeersListed)
    def _on_listed(self, event: PeersListed, context: Context) -> None:
        peers = self.board.write(PeerTable)
        for identity, leaving in event.peers:
            known = peers.get(identity.vm)
            if peers.own is not None and identity.vm == peers.own.vm:
                continue
            if known is None:
                peers.put(identity.vm, Peer(identity, context.now_ms, leaving=leaving))
            elif leaving and not known.leaving:
                peers.put(identity.vm, known.with_leaving(True))

    @on(UpstreamLeaving)
    def _on_upstream_leaving(self, event: UpstreamLeaving, context: Context) -> None:
        own = self.board.read(PeerTable).own
        if own is None:
            return
        numbers = (int(event.leaving),)
        gossip = self.board.write(GossipTable)
        row_key = RowKey(own.vm, Topic.UPSTREAM_LEAVING, event.upstream)
        if not event.leaving and row_key not in gossip:
            return
        changed = gossip.change_own(
            own, Topic.UPSTREAM_LEAVING, event.upstream, numbers, context.now_ms
        )
        self._urgent = self._urgent or changed
        self._apply_leaving(event.upstream)

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        own = self.board.read(PeerTable).own
        if own is None:
            return
        if context.now_ms >= self._next_alive_ms:
            self._next_alive_ms = context.now_ms + ALIVE_INTERVAL_MS
            self.board.write(GossipTable).renew_own(own, Topic.ALIVE, context.now_ms)
            self._forget_the_gone(context.now_ms)
        left_bytes = self._budget_left_bytes(context.now_ms)
        debt_bytes = self.settings.daemon.control_bytes_per_s * URGENT_DEBT_S
        if self._urgent and left_bytes > -debt_bytes:
            self._urgent = False
            self._send_round(own, URGENT_ZONE_DEGREE, URGENT_REMOTE_DEGREE, context)
        elif context.now_ms >= self._next_round_ms:
            self._next_round_ms = context.now_ms + self.settings.daemon.heartbeat_interval_ms
            self._round += 1
            remote = REMOTE_DEGREE if self._round % REMOTE_ROUNDS == 0 else 0
            if left_bytes > 0:
                self._send_round(own, ZONE_DEGREE, remote, context)

    @on(NewsIsUrgent)
    def _on_urgent(self, event: NewsIsUrgent, context: Context) -> None:
        self._urgent = True

    @on(HeartbeatReceived)
    def _on_received(self, event: HeartbeatReceived, context: Context) -> None:
        heartbeat = event.heartbeat
        self._spend(heartbeat.size_bytes, context.now_ms)
        self._hear(heartbeat, context)
        own = self.board.read(PeerTable).own
        if event.answer_wanted and own is not None:
            peer = self.board.read(PeerTable).get(heartbeat.sender.vm)
            assert peer is not None
            context.act(AnswerHeartbeat(self._heartbeat_for(own, peer, context.now_ms)))

    @on(HeartbeatFailed)
    def _on_failed(self, event: HeartbeatFailed, context: Context) -> None:
        peers = self.board.write(PeerTable)
        peer = peers.get(event.vm)
        if peer is not None:
            wait_ms = min(RETRY_LIMIT_MS, FIRST_RETRY_MS << min(peer.failures, 10))
            peers.put(event.vm, peer.with_failure(context.now_ms + wait_ms))

    def _send_round(
        self, own: PeerIdentity, zone_degree: int, remote_degree: int, context: Context
    ) -> None:
        peers = self.board.read(PeerTable)
        reachable = peers.reachable(context.now_ms)
        near = [p for p in reachable if p.identity.availability_zone == own.availability_zone]
        far = [p for p in reachable if p.identity.availability_zone != own.availability_zone]
        chosen = context.random.sample(near, min(zone_degree, len(near)))
        chosen += context.random.sample(far, min(remote_degree, len(far)))
        for peer in chosen:
            heartbeat = self._heartbeat_for(own, peer, context.now_ms)
            context.act(SendHeartbeat(peer.identity, heartbeat))

    def _heartbeat_for(self, own: PeerIdentity, peer: Peer, now_ms: int) -> PeerHeartbeat:
        gossip = self.board.read(GossipTable)
        left_bytes = self._budget_left_bytes(now_ms) - HEARTBEAT_FIXED_BYTES
        share_bytes = self.settings.daemon.control_bytes_per_s * HEARTBEAT_SHARE
        limit_bytes = min(left_bytes, share_bytes)
        selection = select_rows(
            gossip.changes_since(peer.cursor),
            peer,
            own_zone=own.availability_zone,
            limit_bytes=max(0, int(limit_bytes)),
            urgent_limit_bytes=int(share_bytes),
            end=gossip.last_place,
        )
        heartbeat = PeerHeartbeat(
            own,
            self.board.read(ConfigurationTable).in_force().revision,
            self.board.read(PeerTable).own_leaving,
            selection.rows,
            place=selection.cursor,
            taken=peer.taken,
            taken_incarnation=peer.identity.incarnation,
        )
        self._spend(heartbeat.size_bytes, now_ms)
        self.board.write(PeerTable).put(peer.identity.vm, peer.with_cursor(selection.cursor))
        return heartbeat

    def _budget_left_bytes(self, now_ms: int) -> float:
        bytes_per_s = self.settings.daemon.control_bytes_per_s
        return self.board.read(BudgetTable).current(bytes_per_s, now_ms).left_bytes

    def _spend(self, size_bytes: int, now_ms: int) -> None:
        budgets = self.board.write(BudgetTable)
        bytes_per_s = self.settings.daemon.control_bytes_per_s
        budgets.keep(budgets.current(bytes_per_s, now_ms).spent(size_bytes))

    def _hear(self, heartbeat: PeerHeartbeat, context: Context) -> None:
        peers = self.board.write(PeerTable)
        sender = heartbeat.sender
        known = peers.get(sender.vm) or Peer(sender, context.now_ms)
        own = peers.own
        heard = known.with_heard(
            heartbeat,
            own_incarnation=0 if own is None else own.incarnation,
            now_ms=context.now_ms,
        )
        peers.put(sender.vm, heard)
        self._learn_rows(heartbeat, context)
        in_force = self.board.read(ConfigurationTable).in_force()
        if heartbeat.configuration_revision > in_force.revision:
            context.act(FetchConfiguration(sender, heartbeat.configuration_revision))

    def _learn_rows(self, heartbeat: PeerHeartbeat, context: Context) -> None:
        gossip = self.board.write(GossipTable)
        peers = self.board.write(PeerTable)
        own = peers.own
        news = []
        for row in heartbeat.rows:
            if own is not None and row.row_key.owner == own.vm:
                continue
            if not gossip.learn(row, context.now_ms, told_by=heartbeat.sender.vm):
                continue
            news.append(row)
            owner = peers.get(row.row_key.owner)
            if owner is not None and row.row_key.topic is Topic.ALIVE:
                peers.put(row.row_key.owner, owner.with_heard_of(context.now_ms))
            if row.row_key.topic in URGENT_TOPICS:
                self._urgent = True
            if row.row_key.topic is Topic.UPSTREAM_LEAVING:
                self._apply_leaving(row.row_key.key)
        if news:
            context.post(RowsReceived(tuple(news)))

    def _apply_leaving(self, name: str) -> None:
        rows = self.board.read(GossipTable).of_topic(Topic.UPSTREAM_LEAVING)
        leaving = any(row.numbers == (1,) for row in rows if row.row_key.key == name)
        upstreams = self.board.write(UpstreamTable)
        upstream = upstreams.get(name)
        if upstream is not None and upstream.leaving != leaving:
            upstreams.put(name, upstream.with_leaving(leaving))

    def _forget_the_gone(self, now_ms: int) -> None:
        peers = self.board.write(PeerTable)
        gossip = self.board.write(GossipTable)
        gone = {
            peer.identity.vm
            for peer in peers.rows()
            if now_ms - peer.last_heard_ms > SILENCE_LIMIT_MS
        }
        if not gone:
            return
        dropped = [key for key, _ in gossip.items() if key.owner in gone]
        gossip.forget(dropped)
        for key in dropped:
            if key.topic is Topic.UPSTREAM_LEAVING:
                self._apply_leaving(key.key)
