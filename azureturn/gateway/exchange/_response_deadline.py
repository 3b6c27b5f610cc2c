"""How long an attempt waits for the next part of a response."""

from collections.abc import Callable

from azureturn.gateway.exchange._connections import UpstreamConnection
from azureturn.serving import now_ms


class ResponseDeadline:
    """A time by which a part of a response must arrive."""

    def __init__(self, ends_at_ms: int) -> None:
        self._ends_at_ms = ends_at_ms

    @property
    def at_ms(self) -> int:
        """Return when to stop waiting, or to ask :meth:`has_passed`."""
        return self._ends_at_ms

    def has_passed(self) -> bool:
        """Return whether the part is not awaited any longer."""
        return now_ms() >= self._ends_at_ms

    def next_event(self, connection: UpstreamConnection) -> object:
        """Return the next event on a connection; raises ``TimeoutError`` if none arrives in time.

        Raises :class:`UpstreamError` as :meth:`UpstreamConnection.next_event` does.
        """
        while True:
            try:
                return connection.next_event(timeout_ms=self.at_ms - now_ms())
            except TimeoutError:
                if self.has_passed():
                    raise


class StallDeadline(ResponseDeadline):
    """A deadline for a silent upstream, which is left only for another one that has room.

    ``take_over`` is called once the upstream has been silent for ``patience_ms``, and every
    ``interval_ms`` after that. It returns whether another upstream has taken the request over. An
    upstream that is only busy may still answer, and closing its connection gives up the answer.
    """

    def __init__(
        self,
        ends_at_ms: int,
        *,
        patience_ms: int,
        interval_ms: int,
        take_over: Callable[[int], bool],
    ) -> None:
        super().__init__(ends_at_ms)
        self._patience_ms = patience_ms
        self._interval_ms = interval_ms
        self._take_over = take_over
        self.restart()

    @property
    def at_ms(self) -> int:
        """Return when to stop waiting, or to ask :meth:`has_passed`."""
        return min(self._ends_at_ms, self._checks_at_ms)

    def restart(self) -> None:
        """Begin to wait anew, since a part that counts has arrived."""
        self._silent_since_ms = now_ms()
        self._checks_at_ms = self._silent_since_ms + self._patience_ms

    def has_passed(self) -> bool:
        """Return whether the time limit has passed, or another upstream has the request now."""
        if super().has_passed():
            return True
        if now_ms() < self._checks_at_ms:
            return False
        if self._take_over(now_ms() - self._silent_since_ms):
            return True
        self._checks_at_ms = now_ms() + self._interval_ms
        return False
