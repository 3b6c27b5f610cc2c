"""Interface to key-value services, independent of the service's own protocol."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from azureturn.errors import PlatformError
from azureturn.store._key_value_answers import KeyValueEntry


class HistoryLostError(PlatformError):
    """The service no longer has all changes since a revision; read the current state instead."""


class StoreRefusedError(PlatformError):
    """The service refused a call and changed nothing."""


@dataclass(frozen=True)
class StoreSnapshot:
    """All entries below a prefix."""

    entries: tuple[KeyValueEntry, ...]
    #: ``entries`` contains at least every change up to this revision.
    revision: int
    #: Number of times that the service came back from a copy; None if it does not say.
    era: int | None = None


@dataclass(frozen=True)
class StoreChanges:
    """Changes below a prefix after a revision, in order."""

    #: Written and removed keys; ``value`` is None for a removed key.
    changes: tuple["StoreChange", ...]
    #: The revision up to which ``changes`` is complete.
    revision: int
    #: Number of times that the service came back from a copy; None if it does not say.
    era: int | None = None


@dataclass(frozen=True)
class StoreChange:
    """One written or removed key."""

    key: str
    revision: int
    value: bytes | None


@dataclass(frozen=True)
class KeyCondition:
    """A condition of a write: a key is at this revision; 0 stands for an absent key."""

    key: str
    revision: int


@dataclass(frozen=True)
class StoreWrite:
    """A write that took effect."""

    revision: int
    #: Number of times that the service came back from a copy; None if it does not say.
    era: int | None = None


class ConditionalStore(Protocol):
    """Reads and compare-and-swap, which every key-value service provides."""

    def read(self, key: str) -> KeyValueEntry | None:
        """Return the entry at ``key``, or None if there is none."""

    def compare_and_swap(self, key: str, value: bytes, *, expected_revision: int) -> int:
        """Write ``value`` if the key is at ``expected_revision`` (0: absent).

        Return the new revision. ``CompareFailedError`` means that nothing was written; after
        ``KeyValueUnavailableError`` the result is not known.
        """


class WatchedStore(ConditionalStore, Protocol):
    """A store whose changes are read by long polling."""

    def read_all(self, prefix: str) -> StoreSnapshot:
        """Return all entries below ``prefix``."""

    def changes(self, prefix: str, *, after_revision: int, wait_ms: int) -> StoreChanges:
        """Wait up to ``wait_ms`` for changes after a revision, and return them.

        :class:`HistoryLostError` means that the service no longer has all of the changes.
        """


class TransactionalStore(WatchedStore, Protocol):
    """A store with writes under several conditions."""

    def transact(
        self,
        key: str,
        value: bytes,
        *,
        conditions: Sequence[KeyCondition],
        removed: Sequence[str] = (),
    ) -> StoreWrite:
        """Write ``value`` and remove keys, all or nothing, if all conditions hold.

        ``CompareFailedError`` means that nothing was written; after ``KeyValueUnavailableError``
        the result is not known.
        """
