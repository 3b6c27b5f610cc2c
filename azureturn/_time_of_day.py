"""The time of day, for people and reports; no decision rests on it."""

import time


def unix_now_ms() -> int:
    """Return milliseconds since 1970, by this machine's clock."""
    return time.time_ns() // 1_000_000
