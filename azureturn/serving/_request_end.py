"""Which comes first: the own answer of a request, or its end by a planned stop."""

import threading

from azureturn.errors import RunState


class RequestEnd:
    """Lets either the application or a planned stop answer a request, and says whether it may run.

    The application asks before it sends the request anywhere, and the server before it sends the
    head of an answer; both may do so on any thread.

    >>> end = RequestEnd()
    >>> end.begin_run(), end.end_by_stop()
    (True, <RunState.UNKNOWN: 'unknown'>)
    >>> end.begin_answer()
    False
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._is_running = False
        self._may_have_run = False
        self._has_answer = False
        self._is_ended_by_stop = False
        #: The id by which the application logs the request; empty if it has none yet.
        self.request_id = ""

    @property
    def is_ended_by_stop(self) -> bool:
        """Return whether a planned stop has answered the request."""
        return self._is_ended_by_stop

    def begin_run(self) -> bool:
        """Return whether the request may be sent to an upstream or a peer now."""
        with self._lock:
            self._is_running = not self._is_ended_by_stop
            return self._is_running

    def end_run(self, *, may_have_run: bool) -> None:
        """Record the end of what :meth:`begin_run` has begun."""
        with self._lock:
            self._is_running = False
            self._may_have_run = self._may_have_run or may_have_run

    def begin_answer(self) -> bool:
        """Return whether the application may answer the request now."""
        with self._lock:
            self._has_answer = not self._is_ended_by_stop
            return self._has_answer

    def end_by_stop(self) -> RunState | None:
        """Return whether the request may have run; None if it has an answer already.

        Otherwise the caller of this method answers it, and nobody else does.
        """
        with self._lock:
            if self._has_answer or self._is_ended_by_stop:
                return None
            self._is_ended_by_stop = True
            is_unknown = self._is_running or self._may_have_run
            return RunState.UNKNOWN if is_unknown else RunState.NOT_RUN
