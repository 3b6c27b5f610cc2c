"""Gossip of state between VMs by heartbeats, within a budget of bytes per second.

Rows spread by an epidemic algorithm (Demers et al., 1987): in each interval a VM exchanges changed
rows with a few randomly chosen peers, in both directions in one call. Liveness spreads the same
way (van Renesse, Minsky and Hayden, 1998).

A gossip row is a small record that one VM, its owner, publishes under a topic and a key. Rows of an
urgent topic are sent without waiting for the next interval.
"""

from azureturn.core._actions import AnswerHeartbeat, FetchConfiguration, SendHeartbeat
from azureturn.core._configuration import ConfigurationTable
from azureturn.core._controllers import controller
from azureturn.core._events import (
    GossipRowsReceived,
    HeartbeatFailed,
    HeartbeatReceived,
    ImmediateGossipRequested,
    LeavingAnnounced,
    PeersListed,
    PeerStarted,
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

#: Number of peers of its own availability zone that a VM calls in each interval, and when an
#: urgent row has changed.
ZONE_FANOUT = 1
URGENT_ZONE_FANOUT = 3
#: Number of peers of other zones that a VM calls in every ``REMOTE_ROUNDS``-th interval, and when
#: an urgent row has changed.
REMOTE_FANOUT = 1
URGENT_REMOTE_FANOUT = 2
REMOTE_ROUNDS = 2
#: Urgent rows may overdraw the byte budget by what it grants in this many seconds.
URGENT_OVERDRAFT_S = 0.5
#: A peer that did not answer is called again after this delay, doubled for each further failure.
INITIAL_RETRY_DELAY_MS = 500
MAX_RETRY_DELAY_MS = 8_000
#: A VM from which neither a heartbeat nor a newer liveness row arrived for this long is considered
#: failed, and its rows are removed.
FAILURE_TIMEOUT_MS = 10_000
#: The rows of one heartbeat take at most this share of one second's byte budget.
HEARTBEAT_SHARE = 0.25
#: Interval at which this VM renews its liveness row.
ALIVE_INTERVAL_MS = 2_000


@controller("membership")
class MembershipController(Controller[Settings]):
    """Maintains the peer table and exchanges gossip rows with peers."""

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
        self.board.write(PeerTable).local_identity = event.identity

    @on(LeavingAnnounced)
    def _on_leaving(self, event: LeavingAnnounced, context: Context) -> None:
        self.board.write(PeerTable).own_leaving = True
        self._urgent = True

    @on(PeersListed)
    def _on_listed(self, event: PeersListed, context: Context) -> None:
        peers = self.board.write(PeerTable)
        for identity, leaving in event.peers:
            peer = peers.get(identity.vm)
            if peers.local_identity is not None and identity.vm == peers.local_identity.vm:
                continue
            if peer is None:
                peers.put(identity.vm, Peer(identity, context.now_ms, leaving=leaving))
            elif leaving and not peer.leaving:
                peers.put(identity.vm, peer.with_leaving(True))

    @on(UpstreamLeaving)
    def _on_upstream_leaving(self, event: UpstreamLeaving, context: Context) -> None:
        own_identity = self.board.read(PeerTable).local_identity
        if own_identity is None:
            return
        numbers = (int(event.leaving),)
        gossip = self.board.write(GossipTable)
        row_key = RowKey(own_identity.vm, Topic.UPSTREAM_LEAVING, event.upstream)
        if not event.leaving and row_key not in gossip:
            return
        changed = gossip.change_own(
            own_identity, Topic.UPSTREAM_LEAVING, event.upstream, numbers, context.now_ms
        )
        self._urgent = self._urgent or changed
        self._apply_leaving(event.upstream)

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        own_identity = self.board.read(PeerTable).local_identity
        if own_identity is None:
            return
        if context.now_ms >= self._next_alive_ms:
            self._next_alive_ms = context.now_ms + ALIVE_INTERVAL_MS
            self.board.write(GossipTable).renew_own(own_identity, Topic.ALIVE, context.now_ms)
            self._remove_rows_of_failed_peers(context.now_ms)
        left_bytes = self._budget_left_bytes(context.now_ms)
        overdraft_bytes = self.settings.daemon.control_bytes_per_s * URGENT_OVERDRAFT_S
        if self._urgent and left_bytes > -overdraft_bytes:
            self._urgent = False
            self._send_round(own_identity, URGENT_ZONE_FANOUT, URGENT_REMOTE_FANOUT, context)
        elif context.now_ms >= self._next_round_ms:
            self._next_round_ms = context.now_ms + self.settings.daemon.heartbeat_interval_ms
            self._round += 1
            remote = REMOTE_FANOUT if self._round % REMOTE_ROUNDS == 0 else 0
            if left_bytes > 0:
                self._send_round(own_identity, ZONE_FANOUT, remote, context)

    @on(ImmediateGossipRequested)
    def _on_immediate_gossip(self, event: ImmediateGossipRequested, context: Context) -> None:
        self._urgent = True

    @on(HeartbeatReceived)
    def _on_received(self, event: HeartbeatReceived, context: Context) -> None:
        heartbeat = event.heartbeat
        self._spend(heartbeat.size_bytes, context.now_ms)
        self._apply_heartbeat(heartbeat, context)
        own_identity = self.board.read(PeerTable).local_identity
        if event.answer_wanted and own_identity is not None:
            peer = self.board.read(PeerTable).get(heartbeat.sender.vm)
            assert peer is not None
            context.act(AnswerHeartbeat(self._heartbeat_for(own_identity, peer, context.now_ms)))

    @on(HeartbeatFailed)
    def _on_failed(self, event: HeartbeatFailed, context: Context) -> None:
        peers = self.board.write(PeerTable)
        peer = peers.get(event.vm)
        if peer is not None:
            wait_ms = min(MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS << min(peer.failures, 10))
            peers.put(event.vm, peer.with_failure(context.now_ms + wait_ms))

    def _send_round(
        self, own_identity: PeerIdentity, zone_fanout: int, remote_fanout: int, context: Context
    ) -> None:
        peers = self.board.read(PeerTable)
        reachable = peers.reachable(context.now_ms)
        same_zone = [
            p for p in reachable if p.identity.availability_zone == own_identity.availability_zone
        ]
        other_zones = [
            p for p in reachable if p.identity.availability_zone != own_identity.availability_zone
        ]
        selected_peers = context.random.sample(same_zone, min(zone_fanout, len(same_zone)))
        selected_peers += context.random.sample(other_zones, min(remote_fanout, len(other_zones)))
        for peer in selected_peers:
            heartbeat = self._heartbeat_for(own_identity, peer, context.now_ms)
            context.act(SendHeartbeat(peer.identity, heartbeat))

    def _heartbeat_for(self, own_identity: PeerIdentity, peer: Peer, now_ms: int) -> PeerHeartbeat:
        gossip = self.board.read(GossipTable)
        left_bytes = self._budget_left_bytes(now_ms) - HEARTBEAT_FIXED_BYTES
        share_bytes = self.settings.daemon.control_bytes_per_s * HEARTBEAT_SHARE
        limit_bytes = min(left_bytes, share_bytes)
        selection = select_rows(
            gossip.changes_since(peer.cursor),
            peer,
            own_zone=own_identity.availability_zone,
            limit_bytes=max(0, int(limit_bytes)),
            urgent_limit_bytes=int(share_bytes),
            end=gossip.last_place,
        )
        heartbeat = PeerHeartbeat(
            own_identity,
            self.board.read(ConfigurationTable).get_active().revision,
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
        budgets.set_current(budgets.current(bytes_per_s, now_ms).spent(size_bytes))

    def _apply_heartbeat(self, heartbeat: PeerHeartbeat, context: Context) -> None:
        peers = self.board.write(PeerTable)
        sender = heartbeat.sender
        peer = peers.get(sender.vm) or Peer(sender, context.now_ms)
        own_identity = peers.local_identity
        updated_peer = peer.with_heartbeat(
            heartbeat,
            own_incarnation=0 if own_identity is None else own_identity.incarnation,
            now_ms=context.now_ms,
        )
        peers.put(sender.vm, updated_peer)
        self._merge_rows(heartbeat, context)
        active = self.board.read(ConfigurationTable).get_active()
        if heartbeat.configuration_revision > active.revision:
            context.act(FetchConfiguration(sender, heartbeat.configuration_revision))

    def _merge_rows(self, heartbeat: PeerHeartbeat, context: Context) -> None:
        gossip = self.board.write(GossipTable)
        peers = self.board.write(PeerTable)
        own_identity = peers.local_identity
        changed_rows = []
        for row in heartbeat.rows:
            if own_identity is not None and row.row_key.owner == own_identity.vm:
                continue
            if not gossip.store_if_newer(row, context.now_ms, received_from=heartbeat.sender.vm):
                continue
            changed_rows.append(row)
            owner = peers.get(row.row_key.owner)
            if owner is not None and row.row_key.topic is Topic.ALIVE:
                peers.put(row.row_key.owner, owner.with_indirect_contact(context.now_ms))
            if row.row_key.topic in URGENT_TOPICS:
                self._urgent = True
            if row.row_key.topic is Topic.UPSTREAM_LEAVING:
                self._apply_leaving(row.row_key.key)
        if changed_rows:
            context.post(GossipRowsReceived(tuple(changed_rows)))

    def _apply_leaving(self, name: str) -> None:
        rows = self.board.read(GossipTable).of_topic(Topic.UPSTREAM_LEAVING)
        leaving = any(row.numbers == (1,) for row in rows if row.row_key.key == name)
        upstreams = self.board.write(UpstreamTable)
        upstream = upstreams.get(name)
        if upstream is not None and upstream.leaving != leaving:
            upstreams.put(name, upstream.with_leaving(leaving))

    def _remove_rows_of_failed_peers(self, now_ms: int) -> None:
        peers = self.board.write(PeerTable)
        gossip = self.board.write(GossipTable)
        failed_vms = {
            peer.identity.vm
            for peer in peers.rows()
            if now_ms - peer.last_heard_ms > FAILURE_TIMEOUT_MS
        }
        if not failed_vms:
            return
        removed_keys = [key for key, _ in gossip.items() if key.owner in failed_vms]
        gossip.remove_rows(removed_keys)
        for key in removed_keys:
            if key.topic is Topic.UPSTREAM_LEAVING:
                self._apply_leaving(key.key)
