"""Tables that are shared by several controllers."""

from azureturn.framework import RequestQueue, Table
from azureturn.gateway.decisions._evacuations import EvacuatedZones
from azureturn.gateway.decisions._requests import GatewayRequest
from azureturn.gateway.site import RegisteredUpstream, SiteView, UpstreamRun

#: Runs of upstreams that are remembered to have left or to be leaving.
_LEAVING_RUNS_LIMIT = 1_000
#: Time for which requests must have waited until the rate is measured: the time constant of its
#: average.
_MEASURED_BACKLOG_MS = 2_000


class ViewTable(Table[str, SiteView]):
    """Holds this VM's current view: its copy of all documents in the store."""

    _CURRENT = "current"

    def __init__(self) -> None:
        super().__init__()
        self._lapsed: dict[str, RegisteredUpstream] = {}
        self._retained_until_ms = 0
        self._store_contact_since_ms: int | None = None
        #: When a peer whose store answers last had no newer configuration.
        self.confirmed_by_peer_at_ms = 0
        #: Runs that are known to leave, in the order in which this VM learned of them.
        self._leaving_runs: dict[UpstreamRun, None] = {}
        self._evacuated = EvacuatedZones()
        #: Upstreams that may receive new requests, by service, outside of the zones that were
        #: evacuated then.
        self._serving_by_service: dict[str, list[RegisteredUpstream]] = {}
        self._served_outside: frozenset[str] = frozenset()

    def put(self, key: str, row: SiteView) -> None:
        """Replace the view."""
        self._serving_by_service.clear()
        super().put(key, row)

    def current(self) -> SiteView:
        """Return the current view; it is empty until one is received from the store or a peer."""
        return self.get(self._CURRENT) or SiteView()

    def is_older_than(self, configuration_version: int) -> bool:
        """Return whether the configuration of the current view is older than a version."""
        return self.current().configuration_version < configuration_version

    def accept(self, view: SiteView, *, now_ms: int) -> bool:
        """Replace the current view if ``view`` is newer; return whether it is.

        It has a higher revision, or the same one and a configuration of a higher version.
        """
        previous = self.current()
        version = (view.revision, view.configuration_version)
        if version <= (previous.revision, previous.configuration_version):
            return False
        self.put(self._CURRENT, view)
        self._evacuated.record_view(previous, view, now_ms)
        for upstream in view.upstreams.values():
            if upstream.is_leaving and upstream.started_unix_ms:
                self.record_leaving(upstream.run)
        if self.retains_lapsed(now_ms):
            self._lapsed.update(
                (name, upstream)
                for name, upstream in previous.upstreams.items()
                if name not in view.upstreams and not self.is_leaving(upstream)
            )
        return True

    def record_leaving(self, run: UpstreamRun) -> bool:
        """Use a run of an upstream no more, and return whether that is new.

        Leaving is final for a run, whatever its registration says later. Without a start time, a
        registration does not tell the next run of an upstream from this one.
        """
        if run in self._leaving_runs:
            return False
        self._serving_by_service.clear()
        self._leaving_runs[run] = None
        if len(self._leaving_runs) > _LEAVING_RUNS_LIMIT:
            del self._leaving_runs[next(iter(self._leaving_runs))]
        return True

    def is_leaving(self, upstream: RegisteredUpstream) -> bool:
        """Return whether an upstream must get no new requests, since it leaves."""
        return upstream.is_leaving or upstream.run in self._leaving_runs

    def evacuated_zones(self, now_ms: int) -> frozenset[str]:
        """Return the availability zones whose upstreams get nothing more."""
        return self._evacuated.zones(self.current(), now_ms)

    def is_evacuated(self, upstream: RegisteredUpstream, now_ms: int) -> bool:
        """Return whether an upstream is in a zone that operators have taken out of service."""
        return upstream.availability_zone in self.evacuated_zones(now_ms)

    def unregistered_leaving_runs(self) -> list[UpstreamRun]:
        """Return the runs that leave although their registrations do not say so."""
        if not self._leaving_runs:
            return []
        return [
            upstream.run
            for upstream in self.current().upstreams.values()
            if not upstream.is_leaving and upstream.run in self._leaving_runs
        ]

    def record_store_reached(self, now_ms: int) -> None:
        """Record that the store answers from now on."""
        self._store_contact_since_ms = now_ms

    def record_store_restored(self, now_ms: int) -> None:
        """Record that the store has come back from a copy, so that entries may lack for a while."""
        if self._store_contact_since_ms is not None:
            self._store_contact_since_ms = now_ms

    def record_store_lost(self) -> None:
        """Record that the store does not answer."""
        self._store_contact_since_ms = None

    def store_contact_ms(self, now_ms: int) -> int | None:
        """Return for how long the store has answered without a failure; None if it does not."""
        since_ms = self._store_contact_since_ms
        return None if since_ms is None else now_ms - since_ms

    def retain_lapsed(self, until_ms: int) -> None:
        """Use upstreams until then that lose their registrations from now on.

        A registration lapses if the upstream cannot renew it during an outage of the store.
        """
        self._lapsed.clear()
        self._retained_until_ms = until_ms

    def retains_lapsed(self, now_ms: int) -> bool:
        """Return whether upstreams that are not registered may still be used."""
        return now_ms < self._retained_until_ms

    def drop_lapsed(self, now_ms: int) -> set[str]:
        """Use only registered upstreams from now on; return the names of those dropped."""
        dropped = self.retained_names(now_ms)
        self._lapsed.clear()
        self._retained_until_ms = 0
        return dropped

    def serving_upstreams(self, service: str, now_ms: int) -> list[RegisteredUpstream]:
        """Return the upstreams of a service that may receive new requests.

        The list must not be changed. Every event asks for it, and views seldom change.
        """
        if self.retains_lapsed(now_ms):
            return self._serving(service, now_ms)
        evacuated = self.evacuated_zones(now_ms)
        if evacuated != self._served_outside:
            self._serving_by_service.clear()
            self._served_outside = evacuated
        serving = self._serving_by_service.get(service)
        if serving is None:
            serving = self._serving_by_service[service] = self._serving(service, now_ms)
        return serving

    def _serving(self, service: str, now_ms: int) -> list[RegisteredUpstream]:
        view = self.current()
        serving = [
            upstream
            for upstream in view.upstreams.values()
            if upstream.service == service and not self.is_leaving(upstream)
        ]
        serving.extend(
            self._lapsed[name]
            for name in self.retained_names(now_ms)
            if self._lapsed[name].service == service
        )
        evacuated = self.evacuated_zones(now_ms)
        if not evacuated:
            return serving
        return [upstream for upstream in serving if upstream.availability_zone not in evacuated]

    def retained_names(self, now_ms: int) -> set[str]:
        """Return the names of the upstreams that are used although they are not registered."""
        if not self.retains_lapsed(now_ms):
            return set()
        upstreams = self.current().upstreams
        return {
            name
            for name, upstream in self._lapsed.items()
            if name not in upstreams and not self.is_leaving(upstream)
        }


class BacklogTable(Table[str, int]):
    """Since when requests have waited without a break, by service."""

    def is_measured(self, service: str, now_ms: int) -> bool:
        """Return whether the measured rate says how fast upstreams take the requests."""
        since_ms = self.get(service)
        return since_ms is not None and now_ms - since_ms >= _MEASURED_BACKLOG_MS


class GatewayQueueTable(Table[str, "RequestQueue[GatewayRequest]"]):
    """Request queues, keyed by service."""

    def of(self, service: str) -> "RequestQueue[GatewayRequest]":
        """Return the queue of a service, creating it on first use."""
        queue = self.get(service)
        if queue is None:
            queue = RequestQueue()
            self.put(service, queue)
        return queue

    def waiting_count(self) -> int:
        """Return the number of requests in all queues."""
        return sum(len(queue) for queue in self.rows())

    def pop_least_urgent(self, *, below_rank: int) -> GatewayRequest | None:
        """Remove and return the request to refuse first, of all services.

        Return None if no request that waits is less urgent than the tier of ``below_rank``.
        """
        last_ranks = {
            service: queue.waiting_ranks()[-1] for service, queue in self.items() if len(queue)
        }
        service = max(last_ranks, key=last_ranks.__getitem__, default=None)
        if service is None or last_ranks[service] <= below_rank:
            return None
        return self.of(service).pop_least_urgent()
