"""Events that controllers handle; each program adds its own."""

from dataclasses import dataclass


class Event:
    """Base class of all events."""


@dataclass(frozen=True)
class Tick(Event):
    """Sent at a fixed interval, so that controllers can act when time has passed."""

    #: For how long what has happened, such as the receipt of a response, may not have been handled
    #: yet, since this process lacks time.
    lag_ms: int = 0
    #: By how much all that was ready has been delayed since the tick before.
    delay_ms: int = 0
