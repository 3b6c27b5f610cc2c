"""Tries connections to upstreams that could not be reached."""

import queue

from azureturn.errors import UpstreamUnreachableError
from azureturn.gateway.daemon._threads import run_forever
from azureturn.gateway.decisions import TryConnection, UpstreamReached
from azureturn.gateway.exchange import CONNECT_TIMEOUT_MS, UpstreamConnection
from azureturn.observability import EventLog, LogEvent
from azureturn.serving import CoreRuntime

_THREADS = 4
_QUEUE_LIMIT = 32


class ConnectionTrials:
    """A few threads that connect and close again; no request is risked."""

    def __init__(self, runtime: CoreRuntime, log: EventLog) -> None:
        self._runtime = runtime
        self._log = log
        self._waiting: queue.Queue[TryConnection] = queue.Queue(_QUEUE_LIMIT)

    def start(self) -> None:
        """Begin to try."""
        for number in range(_THREADS):
            run_forever(self._try_forever, f"trials-{number}", self._log)

    def take(self, action: TryConnection) -> None:
        """Try soon; where too many wait, the decisions ask again."""
        if not self._waiting.full():
            self._waiting.put_nowait(action)

    def _try_forever(self) -> None:
        while True:
            upstream = self._waiting.get().upstream
            try:
                connection = UpstreamConnection.open(
                    upstream.host, upstream.port, timeout_ms=CONNECT_TIMEOUT_MS
                )
            except UpstreamUnreachableError:
                continue
            connection.close()
            self._log.info(LogEvent.UPSTREAM_REACHED, upstream=upstream.name)
            self._runtime.submit(UpstreamReached(upstream.name))
