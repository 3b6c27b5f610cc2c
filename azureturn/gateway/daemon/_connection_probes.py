"""Checks whether upstreams accept connections and respond."""

from collections.abc import Callable
from contextlib import suppress

import h11

from azureturn.errors import UpstreamError, UpstreamUnreachableError
from azureturn.framework import Event
from azureturn.gateway.daemon._threads import run_forever
from azureturn.gateway.decisions import (
    AvailabilityStated,
    ProbeConnection,
    UpstreamConnectionFailed,
    UpstreamProcessEnded,
    UpstreamReconnected,
    UpstreamSilent,
)
from azureturn.gateway.exchange import (
    UpstreamConnection,
    UpstreamConnector,
    read_facts,
    request_status,
)
from azureturn.gateway.site import Dialect, RegisteredUpstream, StatedAvailability
from azureturn.observability import EventLog, LogEvent
from azureturn.serving import CoreRuntime, now_ms
from azureturn.tasks import Mailbox, MailboxFullError, TaskLoop

_TASKS = 4
_QUEUE_LIMIT = 32
#: How long an upstream may take to report its status.
_STATUS_TIMEOUT_MS = 400


class ConnectionProbes:
    """Tasks that connect to upstreams, and ask for their status, without risking a request.

    ``may_probe`` returns whether an upstream may be connected now, or be asked for its status.
    """

    def __init__(
        self,
        runtime: CoreRuntime,
        connector: UpstreamConnector,
        dialect: Dialect,
        log: EventLog,
        loop: TaskLoop,
        *,
        may_probe: Callable[[RegisteredUpstream, bool], bool],
    ) -> None:
        self._runtime = runtime
        self._dialect = dialect
        self._connector = connector
        self._log = log
        self._may_probe = may_probe
        self._loop = loop
        self._queue: Mailbox[ProbeConnection] = Mailbox(limit=_QUEUE_LIMIT)

    def start(self) -> None:
        """Start the tasks."""
        for number in range(_TASKS):
            run_forever(self._probe_forever, f"probes-{number}", self._log, loop=self._loop)

    def enqueue(self, action: ProbeConnection) -> None:
        """Queue a probe; drop it if the queue is full, as the controllers request it again."""
        with suppress(MailboxFullError):
            self._queue.put(action)

    def _probe_forever(self) -> None:
        while True:
            event = self._probe(self._queue.get())
            if event is not None:
                self._runtime.submit(event)

    def _request_status(self, connection: UpstreamConnection, action: ProbeConnection) -> None:
        upstream = action.upstream
        asked_at_ms = now_ms()

        def report_availability(head: h11.Response | h11.InformationalResponse) -> None:
            availability = read_facts(head, self._dialect).availability
            if availability != StatedAvailability():
                relay_vm = action.relay.vm if action.relay else ""
                self._runtime.submit(
                    AvailabilityStated(upstream.run, availability, relay_vm, asked_at_ms)
                )

        request_status(
            connection,
            upstream,
            action.status_path,
            timeout_ms=_STATUS_TIMEOUT_MS,
            on_head=report_availability,
        )

    def _probe(self, action: ProbeConnection) -> Event | None:
        """Make one probe; return what it shows, or None if that is nothing."""
        upstream = action.upstream
        relay_host = action.relay.host if action.relay else ""
        if not self._may_probe(upstream, False):
            return None
        try:
            connection = self._connector.connect(upstream, relay_host)
        except UpstreamUnreachableError as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                if action.after_broken_answer:
                    self._log.info(LogEvent.UPSTREAM_ENDED, upstream=upstream.name)
                return UpstreamProcessEnded(upstream.run)
            return None if relay_host else UpstreamConnectionFailed(upstream.run)
        try:
            if action.status_path:
                if not self._may_probe(upstream, True):
                    return None
                self._request_status(connection, action)
        except (TimeoutError, UpstreamError):
            return UpstreamSilent(upstream.run)
        finally:
            connection.close()
        if relay_host:
            return None
        if not action.after_broken_answer:
            self._log.info(LogEvent.UPSTREAM_REACHED, upstream=upstream.name)
        return UpstreamReconnected(upstream.name, has_responded=bool(action.status_path))
