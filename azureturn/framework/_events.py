"""Events that controllers handle; each variant of the product adds its own."""

from dataclasses import dataclass


class Event:
    """Base class of all events."""


@dataclass(frozen=True)
class Tick(Event):
    """Periodic event that lets controllers act on the passage of time."""
