"""The clock by which time limits count."""

from azureturn.serving import now_ms

__all__ = ["now_ms"]
