"""Checks whether upstreams accept connections."""

import queue

from azureturn.errors import UpstreamUnreachableError
from azureturn.gateway.daemon._threads import run_forever
from azureturn.gateway.decisions import (
    ProbeConnection,
    UpstreamProcessEnded,
    UpstreamReconnected,
)
from azureturn.gateway.exchange import CONNECT_TIMEOUT_MS, UpstreamConnection
from azureturn.observability import EventLog, LogEvent
from azureturn.serving import CoreRuntime

_THREADS = 4
_QUEUE_LIMIT = 32


class ConnectionProbes:
    """Threads that open and close a connection to an upstream, without risking a request on it."""

    def __init__(self, runtime: CoreRuntime, log: EventLog) -> None:
        self._runtime = runtime
        self._log = log
        self._queue: queue.Queue[ProbeConnection] = queue.Queue(_QUEUE_LIMIT)

    def start(self) -> None:
        """Start the threads."""
        for number in range(_THREADS):
            run_forever(self._probe_forever, f"trials-{number}", self._log)

    def enqueue(self, action: ProbeConnection) -> None:
        """Queue a probe; drop it if the queue is full, as the controllers request it again."""
        if not self._queue.full():
            self._queue.put_nowait(action)

    def _probe_forever(self) -> None:
        while True:
            action = self._queue.get()
            upstream = action.upstream
            try:
                connection = UpstreamConnection.open(
                    upstream.host, upstream.port, timeout_ms=CONNECT_TIMEOUT_MS
                )
            except UpstreamUnreachableError as error:
                if isinstance(error.__cause__, ConnectionRefusedError):
                    if action.after_broken_answer:
                        self._log.info(LogEvent.UPSTREAM_ENDED, upstream=upstream.name)
                    self._runtime.submit(UpstreamProcessEnded(upstream.run))
                continue
            connection.close()
            if not action.after_broken_answer:
                self._log.info(LogEvent.UPSTREAM_REACHED, upstream=upstream.name)
            self._runtime.submit(UpstreamReconnected(upstream.name))
