"""Framework of the decision core: controllers handle events, share tables and emit actions.

An event tells the controllers what has happened; an action tells the adapters, which do all I/O,
what to do.
"""

from azureturn.framework._actions import Action, AwaitPlacement, Refuse, RequestAction
from azureturn.framework._blackboard import (
    Blackboard,
    RestrictedBlackboard,
    Table,
    UndeclaredTableError,
)
from azureturn.framework._controllers import Context, Controller, in_dependency_order, on
from azureturn.framework._core import Core
from azureturn.framework._drain import DrainRate, DrainTable
from azureturn.framework._events import Event, Tick
from azureturn.framework._fair_share import FairShareQueue
from azureturn.framework._queue import QueuedRequest, RequestQueue
from azureturn.framework._rows import changed as changed_row

__all__ = [
    "Action",
    "AwaitPlacement",
    "Blackboard",
    "Context",
    "Controller",
    "Core",
    "DrainRate",
    "DrainTable",
    "Event",
    "FairShareQueue",
    "QueuedRequest",
    "Refuse",
    "RequestAction",
    "RequestQueue",
    "RestrictedBlackboard",
    "Table",
    "Tick",
    "UndeclaredTableError",
    "changed_row",
    "in_dependency_order",
    "on",
]
