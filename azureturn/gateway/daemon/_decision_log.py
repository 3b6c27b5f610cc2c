"""Logs what the core decided, where nothing else is to be carried out."""

from azureturn.gateway.decisions import (
    LogAllotmentRestore,
    LogAvailability,
    LogColdUpstream,
    LogProcessingLimit,
    LogQuarantineChange,
    LogReachability,
    LogRetainedUpstreams,
    LogSilentUpstreams,
    LogStoreRole,
    LogUpstreamLimit,
)
from azureturn.observability import EventLog, LogEvent
from azureturn.serving import CoreRuntime


class DecisionLog:
    """Writes a line for each action of the core that is only to be logged."""

    def __init__(self, log: EventLog) -> None:
        self._log = log

    def register(self, runtime: CoreRuntime) -> None:
        """Receive the actions of a core."""
        runtime.register_handler(LogAllotmentRestore, self._log_allotment_restore)
        runtime.register_handler(LogAvailability, self._log_availability)
        runtime.register_handler(LogColdUpstream, self._log_cold_upstream)
        runtime.register_handler(LogProcessingLimit, self._log_processing_limit)
        runtime.register_handler(LogQuarantineChange, self._log_quarantine_change)
        runtime.register_handler(LogReachability, self._log_reachability)
        runtime.register_handler(LogRetainedUpstreams, self._log_retained_upstreams)
        runtime.register_handler(LogSilentUpstreams, self._log_silent_upstreams)
        runtime.register_handler(LogStoreRole, self._log_store_role)
        runtime.register_handler(LogUpstreamLimit, self._log_upstream_limit)

    def _log_allotment_restore(self, action: LogAllotmentRestore) -> None:
        self._log.info(
            LogEvent.ALLOTMENTS_RECALLED,
            processes=action.processes,
            age_ms=action.age_ms,
            outcome="relied on" if action.record_used else "guessed",
        )

    def _log_availability(self, action: LogAvailability) -> None:
        self._log.info(
            LogEvent.UPSTREAM_AVAILABILITY,
            upstream=action.upstream,
            source=action.source,
            pause_ms=action.pause_ms,
            outcome=action.outcome,
        )

    def _log_cold_upstream(self, action: LogColdUpstream) -> None:
        self._log.info(
            LogEvent.UPSTREAM_COLD,
            upstream=action.upstream,
            source=action.source,
            cold_left_ms=action.left_ms,
            outcome=action.outcome,
        )

    def _log_processing_limit(self, action: LogProcessingLimit) -> None:
        self._log.info(
            LogEvent.PROCESSING_LIMIT_CHANGED,
            limit=action.limit,
            in_progress=action.in_progress,
            queued=action.waiting,
            delay_ms=action.delay_ms,
        )

    def _log_upstream_limit(self, action: LogUpstreamLimit) -> None:
        self._log.info(
            LogEvent.UPSTREAM_LIMIT_CHANGED,
            upstream=action.upstream,
            limit=action.limit,
            slots=action.slots,
            slowdown=round(action.slowdown, 2),
        )

    def _log_quarantine_change(self, action: LogQuarantineChange) -> None:
        self._log.info(
            LogEvent.QUARANTINE_CHANGED,
            traits=",".join(sorted(action.traits)),
            source=action.source,
            crashes=action.crashes,
            outcome=action.outcome,
        )

    def _log_reachability(self, action: LogReachability) -> None:
        self._log.info(
            LogEvent.REACHABILITY_CHANGED,
            service=action.service,
            reachable=action.reachable,
            upstreams=action.upstreams,
            live_peers=action.live_peers,
        )

    def _log_retained_upstreams(self, action: LogRetainedUpstreams) -> None:
        self._log.info(
            LogEvent.UPSTREAMS_RETAINED,
            names=",".join(action.names),
            outage_ms=action.outage_ms,
            outcome=action.outcome,
        )

    def _log_store_role(self, action: LogStoreRole) -> None:
        self._log.info(
            LogEvent.STORE_ROLE_CHANGED,
            outcome="watches" if action.watches else "follows",
            live_peers=action.live_peers,
        )

    def _log_silent_upstreams(self, action: LogSilentUpstreams) -> None:
        self._log.info(
            LogEvent.UPSTREAMS_SILENT,
            waiting=action.attempts,
            upstreams=action.upstreams,
            silent_ms=action.silent_ms,
            live_peers=action.live_peers,
        )
