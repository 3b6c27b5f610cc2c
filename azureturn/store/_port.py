"""What azureturn needs of a key-value service, whatever the service's own protocol."""

from dataclasses import dataclass
from typing import Protocol

from azureturn.errors import PlatformError
from azureturn.store._key_value_answers import KeyValueEntry


class HistoryLostError(PlatformError):
    """The service no longer has the changes since a revision: read the present state instead."""


class StoreRefusedError(PlatformError):
    """The service refused a call and did nothing."""


@dataclass(frozen=True)
class StoreSnapshot:
    """Every entry below a prefix, and a revision that they are at least as new as."""

    entries: tuple[KeyValueEntry, ...]
    revision: int


@dataclass(frozen=True)
class StoreChanges:
    """What changed below a prefix after a revision, in order."""

    #: Entries as they were written; ``value`` is None for a key that was removed.
    changes: tuple["StoreChange", ...]
    #: The revision up to which these are all the changes.
    revision: int


@dataclass(frozen=True)
class StoreChange:
    """One written or removed key."""

    key: str
    revision: int
    value: bytes | None


class ConditionalStore(Protocol):
    """Reads and compare-and-swap; every form of the key-value service has them."""

    def read(self, key: str) -> KeyValueEntry | None:
        """Return the entry at ``key``, or None where there is none."""

    def compare_and_swap(self, key: str, value: bytes, *, expected_revision: int) -> int:
        """Write ``value`` if the key is at ``expected_revision`` (0: absent).

        The new revision is returned. ``CompareFailedError`` says that nothing was written,
        ``KeyValueUnavailableError`` that it is not known.
        """


class WatchedStore(ConditionalStore, Protocol):
    """A store whose changes are asked for in calls that wait."""

    def read_all(self, prefix: str) -> StoreSnapshot:
        """Return every entry below ``prefix``."""

    def changes(self, prefix: str, *, after_revision: int, wait_ms: int) -> StoreChanges:
        """Return the changes after a revision as soon as there are any.

        :class:`HistoryLostError` says that the service no longer knows them all.
        """
