"""Declarations of controllers: the order of the controllers and the tables that they may access."""

import pytest

from azureturn.core import CONTROLLERS, QueueTable, RequestTable
from azureturn.framework import Blackboard, RestrictedBlackboard, UndeclaredTableError


@pytest.mark.parametrize("name", CONTROLLERS)
def test_after_names_only_registered_controllers(name: str) -> None:
    assert all(earlier in CONTROLLERS for earlier in CONTROLLERS[name].after)


def test_a_view_admits_only_declared_tables() -> None:
    view = RestrictedBlackboard(
        Blackboard(), "one", reads=frozenset({RequestTable}), writes=frozenset()
    )
    view.read(RequestTable)
    with pytest.raises(UndeclaredTableError):
        view.write(RequestTable)
    with pytest.raises(UndeclaredTableError):
        view.read(QueueTable)
