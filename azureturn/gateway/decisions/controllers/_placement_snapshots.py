"""Makes snapshots of the upstreams of a service, on which its placements are based."""

from collections.abc import Callable, Iterable
from itertools import compress

from azureturn.framework import Context
from azureturn.framework import changed_row as changed
from azureturn.gateway.decisions._availability import PauseTable
from azureturn.gateway.decisions._cold_upstreams import ColdUpstreamTable
from azureturn.gateway.decisions._estimates import PlacementSnapshot, SnapshotBasis
from azureturn.gateway.decisions._peers import PeerTable
from azureturn.gateway.decisions._prefill_speed import PrefillSpeedTable
from azureturn.gateway.decisions._prefix_cache import PrefixCacheTable
from azureturn.gateway.decisions._request_limits import RequestLimitTable
from azureturn.gateway.decisions._slot_sharing import TurnoverTable
from azureturn.gateway.decisions._speeds import SpeedEstimate, SpeedTable
from azureturn.gateway.decisions._tables import ViewTable
from azureturn.gateway.decisions._upstream_paths import UpstreamPathTable
from azureturn.gateway.decisions._upstream_state import UpstreamStateTable
from azureturn.gateway.decisions.controllers._registry import GatewayController
from azureturn.gateway.settings import GatewayPolicy
from azureturn.gateway.site import EngineCapacity, RegisteredUpstream


class SnapshotMaker(GatewayController):
    """Base class of the controller that places requests: reads what it knows of upstreams."""

    def _snapshot(self, service: str, context: Context, *, relayed: bool) -> PlacementSnapshot:
        """Return the state of a service's upstreams that this VM, or a peer, can connect to."""
        peers = self.board.read(PeerTable)
        engine = self._engine_of(service)
        vm_count = peers.vm_count_outside(self._partitioned_zones(context.now_ms), context.now_ms)
        return PlacementSnapshot(
            self._basis(service, engine, context.now_ms, relayed=relayed),
            engine,
            vm_count=vm_count,
            live_share=(peers.live_count(context.now_ms) + 1) / vm_count,
            own_zone=self.settings.vm.availability_zone,
            policy=self._policy(service),
            now_ms=context.now_ms,
            has_old_reports=peers.has_old_reports(context.now_ms),
            remaining_share=self._remaining_share(service, context.now_ms),
        )

    def _basis(
        self, service: str, engine: EngineCapacity | None, now_ms: int, *, relayed: bool
    ) -> SnapshotBasis:
        peers = self.board.read(PeerTable)
        limits = self.board.read(RequestLimitTable)
        serving = self.board.read(ViewTable).serving_upstreams(service, now_ms)
        states = self.board.write(UpstreamStateTable).of_each(serving)
        if relayed:
            reachable = [bool(peers.reaching(upstream.name, now_ms)) for upstream in serving]
        else:
            reachable = [not state.is_unreachable for state in states]
        upstreams = serving
        if not all(reachable):
            upstreams = list(compress(serving, reachable))
            states = list(compress(states, reachable))
        prefix_caches = self.board.write(PrefixCacheTable)
        return SnapshotBasis(
            upstreams,
            states,
            peers.work_at_each(upstreams),
            prefix_caches.of_each(upstreams, engine.memory_tokens) if engine else [],
            self._may_send_to(upstreams, now_ms),
            relayed,
            # An upstream that has just started has stated nothing yet, but is like the others.
            len(limits) > 0 and any(limits.is_brittle(upstream.run) for upstream in serving),
            self._shared_speeds(service, serving, now_ms),
        )

    def _may_send_to(
        self, upstreams: list[RegisteredUpstream], now_ms: int
    ) -> Callable[[int], bool]:
        """Return a function that tells whether limits let this VM send to an upstream now."""
        pauses = self.board.read(PauseTable)
        limits = self.board.read(RequestLimitTable)
        cold = self.board.read(ColdUpstreamTable)
        if not (len(pauses) or len(limits) or len(cold)):
            return lambda index: True
        known_vms = self.board.read(PeerTable).vms(now_ms)

        def may_send(index: int) -> bool:
            upstream = upstreams[index]
            return (
                not pauses.is_paused(upstream.run, now_ms)
                and limits.may_send(upstream.run, known_vms, now_ms)
                and cold.may_send(upstream, now_ms)
            )

        return may_send

    def _remaining_share(self, service: str, now_ms: int) -> float:
        """Return the share of peers' reported requests that have not ended since."""
        peers = self.board.read(PeerTable)
        if not peers.has_old_reports(now_ms):
            return 1.0
        mean_age_ms = peers.interval_ms(self.settings.limits.report_interval_ms) / 2
        return self.board.read(TurnoverTable).remaining_share(service, mean_age_ms)

    def _policy(self, service: str) -> GatewayPolicy:
        """Return the policy with the speed of prefill that was measured at a service."""
        policy = self.settings.policy
        speed = self.board.read(PrefillSpeedTable).get(service)
        if speed is None:
            return policy
        engine = speed.applied_to(policy.engine)
        return policy if engine is policy.engine else changed(policy, engine=engine)

    def _shared_speeds(
        self, service: str, upstreams: Iterable[RegisteredUpstream], now_ms: int
    ) -> dict[str, SpeedEstimate]:
        """Return what all VMs have measured, by upstream; empty unless the VMs share that."""
        if not self.settings.policy.shares_speeds:
            return {}
        return self.board.read(SpeedTable).estimates(service, upstreams, now_ms)

    def _is_isolated(self) -> bool:
        """Return whether this VM is to be taken for cut off from all upstreams."""
        upstream_count = len(self.board.read(ViewTable).current().upstreams)
        return self.board.read(UpstreamPathTable).is_isolated(upstream_count)

    def _partitioned_zones(self, now_ms: int) -> frozenset[str]:
        """Return the zones of which no VM is live and no upstream is reachable.

        VMs in such a zone cannot reach the upstreams that this VM can reach, and so have no
        requests at those upstreams.
        """
        dead_zones = self.board.read(PeerTable).zones_without_live_vms(now_ms)
        dead_zones -= {self.settings.vm.availability_zone}
        if not dead_zones:
            return dead_zones
        states = self.board.read(UpstreamStateTable)
        unreachable: set[str] = set()
        reachable: set[str] = set()
        for upstream in self.board.read(ViewTable).current().upstreams.values():
            is_unreachable = states.is_unreachable(upstream.run)
            (unreachable if is_unreachable else reachable).add(upstream.availability_zone)
        return dead_zones & (unreachable - reachable)

    def _engine_of(self, service_name: str) -> EngineCapacity | None:
        configuration = self.board.read(ViewTable).current().configuration
        service = None if configuration is None else configuration.service(service_name)
        return None if service is None else service.engine
