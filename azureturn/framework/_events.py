"""Events: what decisions are told; each form of the product adds its own."""

from dataclasses import dataclass


class Event:
    """The base of every event."""


@dataclass(frozen=True)
class Tick(Event):
    """Time has passed."""
