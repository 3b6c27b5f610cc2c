"""Checks whether upstreams accept connections."""

from contextlib import suppress

from azureturn.errors import UpstreamUnreachableError
from azureturn.gateway.daemon._threads import run_forever
from azureturn.gateway.decisions import (
    ProbeConnection,
    UpstreamConnectionFailed,
    UpstreamProcessEnded,
    UpstreamReconnected,
)
from azureturn.gateway.exchange import UpstreamConnector
from azureturn.observability import EventLog, LogEvent
from azureturn.serving import CoreRuntime
from azureturn.tasks import Mailbox, MailboxFullError, TaskLoop

_TASKS = 4
_QUEUE_LIMIT = 32


class ConnectionProbes:
    """Tasks that open and close a connection to an upstream, without risking a request on it."""

    def __init__(
        self, runtime: CoreRuntime, connector: UpstreamConnector, log: EventLog, loop: TaskLoop
    ) -> None:
        self._runtime = runtime
        self._connector = connector
        self._log = log
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
            action = self._queue.get()
            upstream = action.upstream
            relay_host = action.relay.host if action.relay else ""
            try:
                connection = self._connector.connect(upstream, relay_host)
            except UpstreamUnreachableError as error:
                if isinstance(error.__cause__, ConnectionRefusedError):
                    if action.after_broken_answer:
                        self._log.info(LogEvent.UPSTREAM_ENDED, upstream=upstream.name)
                    self._runtime.submit(UpstreamProcessEnded(upstream.run))
                elif not relay_host:
                    self._runtime.submit(UpstreamConnectionFailed(upstream.run))
                continue
            connection.close()
            if relay_host:
                continue
            if not action.after_broken_answer:
                self._log.info(LogEvent.UPSTREAM_REACHED, upstream=upstream.name)
            self._runtime.submit(UpstreamReconnected(upstream.name))
