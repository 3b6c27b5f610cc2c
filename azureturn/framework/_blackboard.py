"""Blackboard architecture: the shared state is a set of typed tables, the blackboard."""

from collections.abc import Iterator
from typing import Any, Generic, TypeVar, cast

from azureturn.errors import AzureturnError, ErrorKind

_Key = TypeVar("_Key")
_Row = TypeVar("_Row")
_Table = TypeVar("_Table", bound="Table")  # type: ignore[type-arg]


class UndeclaredTableError(AzureturnError):
    """A controller accessed a table that is not declared in its ``reads`` or ``writes``."""

    def __init__(self, controller: str, table: str) -> None:
        super().__init__(ErrorKind.INTERNAL, f"{controller} does not declare table {table}")


class Table(Generic[_Key, _Row]):
    """Immutable rows, keyed; a row is changed by replacing it as a whole.

    Tables let controllers share state without calling each other, and let tests check which
    controllers read a table and which write it.

    >>> table = Table[str, int]()
    >>> table.put("a", 1)
    >>> table.get("a")
    1
    """

    def __init__(self) -> None:
        self._rows: dict[_Key, _Row] = {}

    def get(self, key: _Key) -> _Row | None:
        """Return the row at ``key``, or None if there is none."""
        return self._rows.get(key)

    def put(self, key: _Key, row: _Row) -> None:
        """Insert or replace the row at ``key``."""
        self._rows[key] = row

    def remove(self, key: _Key) -> _Row | None:
        """Remove the row at ``key`` and return it, or None if there is none."""
        return self._rows.pop(key, None)

    def rows(self) -> Iterator[_Row]:
        """Return the rows in the insertion order of their keys."""
        return iter(self._rows.values())

    def items(self) -> Iterator[tuple[_Key, _Row]]:
        """Return keys and rows in the insertion order of the keys."""
        return iter(self._rows.items())

    def __len__(self) -> int:
        return len(self._rows)

    def __contains__(self, key: object) -> bool:
        return key in self._rows


class Blackboard:
    """All tables of one VM, created on first use."""

    def __init__(self) -> None:
        self._tables: dict[type[object], object] = {}

    def table(self, table_type: type[_Table]) -> _Table:
        """Return the single table of this type."""
        table = self._tables.get(table_type)
        if table is None:
            table = self._tables[table_type] = table_type()
        return cast(_Table, table)


class RestrictedBlackboard:
    """A controller's access to the blackboard, restricted to the tables that it declares."""

    def __init__(
        self,
        board: Blackboard,
        controller: str,
        *,
        reads: frozenset[type[object]],
        writes: frozenset[type[object]],
    ) -> None:
        self._board = board
        self._controller = controller
        self._reads = reads | writes
        self._writes = writes
        #: Tables that were accessed before, so that their declaration is checked only once.
        self._readable: dict[type[object], Any] = {}
        self._writable: dict[type[object], Any] = {}

    def read(self, table_type: type[_Table]) -> _Table:
        """Return a table for reading; raise UndeclaredTableError if it is not declared."""
        table: _Table | None = self._readable.get(table_type)
        if table is None:
            if table_type not in self._reads:
                raise UndeclaredTableError(self._controller, table_type.__name__)
            table = self._readable[table_type] = self._board.table(table_type)
        return table

    def write(self, table_type: type[_Table]) -> _Table:
        """Return a table for reading and writing; raise UndeclaredTableError if not declared."""
        table: _Table | None = self._writable.get(table_type)
        if table is None:
            if table_type not in self._writes:
                raise UndeclaredTableError(self._controller, table_type.__name__)
            table = self._writable[table_type] = self._board.table(table_type)
        return table
