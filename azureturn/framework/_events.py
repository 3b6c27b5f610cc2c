"""Events that controllers handle; each program adds its own."""

from dataclasses import dataclass


class Event:
    """Base class of all events."""


@dataclass(frozen=True)
class Tick(Event):
    """Sent at a fixed interval, so that controllers can act when time has passed."""
