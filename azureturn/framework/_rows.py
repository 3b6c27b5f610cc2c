"""Fast copies of the immutable rows of tables."""

from typing import TypeVar

_Row = TypeVar("_Row")


def changed(row: _Row, **fields: object) -> _Row:
    """Return a copy of a frozen data class with some fields replaced.

    Equivalent to ``dataclasses.replace`` for classes without ``__post_init__``, but takes about a
    tenth of the time, since it bypasses the constructor. Unknown field names are not detected.

    >>> from dataclasses import dataclass
    >>> @dataclass(frozen=True)
    ... class Point:
    ...     x: int
    ...     y: int
    >>> changed(Point(1, 2), y=3)
    Point(x=1, y=3)
    """
    copy = object.__new__(type(row))
    copy.__dict__.update(row.__dict__)
    copy.__dict__.update(fields)
    return copy
