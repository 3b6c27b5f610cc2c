"""The blackboard: typed tables that controllers read and write."""

from collections.abc import Iterator
from typing import Generic, TypeVar, cast

from azureturn.errors import AzureturnError, ErrorKind

_Key = TypeVar("_Key")
_Row = TypeVar("_Row")
_Table = TypeVar("_Table", bound="Table")  # type: ignore[type-arg]


class UndeclaredTableError(AzureturnError):
    """A controller touched a table that it did not declare."""

    def __init__(self, controller: str, table: str) -> None:
        super().__init__(ErrorKind.INTERNAL, f"{controller} does not declare table {table}")


class Table(Generic[_Key, _Row]):
    """Rows by key; rows are immutable and replaced whole.

    A table exists so that what one controller knows is there for the others without calls
    between them, and so that a test can say who reads and who writes what.

    >>> table = Table[str, int]()
    >>> table.put("a", 1)
    >>> table.get("a")
    1
    """

    def __init__(self) -> None:
        self._rows: dict[_Key, _Row] = {}

    def get(self, key: _Key) -> _Row | None:
        """Return the row at ``key``, or None where there is none."""
        return self._rows.get(key)

    def put(self, key: _Key, row: _Row) -> None:
        """Insert or replace the row at ``key``."""
        self._rows[key] = row

    def remove(self, key: _Key) -> _Row | None:
        """Take the row at ``key`` out and return it."""
        return self._rows.pop(key, None)

    def rows(self) -> Iterator[_Row]:
        """Return the rows in the order in which their keys first came."""
        return iter(self._rows.values())

    def items(self) -> Iterator[tuple[_Key, _Row]]:
        """Return keys and rows in the order in which the keys first came."""
        return iter(self._rows.items())

    def __len__(self) -> int:
        return len(self._rows)

    def __contains__(self, key: object) -> bool:
        return key in self._rows


class Blackboard:
    """All tables of one VM, made when first asked for."""

    def __init__(self) -> None:
        self._tables: dict[type[object], object] = {}

    def table(self, table_type: type[_Table]) -> _Table:
        """Return the one table of this type."""
        table = self._tables.get(table_type)
        if table is None:
            table = self._tables[table_type] = table_type()
        return cast(_Table, table)


class BlackboardView:
    """One controller's view, which admits only the tables that it declared."""

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

    def read(self, table_type: type[_Table]) -> _Table:
        """Return a table for reading."""
        if table_type not in self._reads:
            raise UndeclaredTableError(self._controller, table_type.__name__)
        return self._board.table(table_type)

    def write(self, table_type: type[_Table]) -> _Table:
        """Return a table for reading and writing."""
        if table_type not in self._writes:
            raise UndeclaredTableError(self._controller, table_type.__name__)
        return self._board.table(table_type)
