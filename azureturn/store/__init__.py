"""Clients of the platform's services: the key-value service and the list of VMs."""

from azureturn._socket_options import SOCKET_OPTIONS
from azureturn.store._key_value import KeyValueClient
from azureturn.store._key_value_answers import KeyValueEntry
from azureturn.store._protocols import (
    ConditionalStore,
    HistoryLostError,
    KeyCondition,
    StoreChange,
    StoreChanges,
    StoreRefusedError,
    StoreSnapshot,
    StoreWrite,
    TransactionalStore,
    WatchedStore,
)
from azureturn.store._task_pool import task_pool_manager
from azureturn.store._vm_list import ListedVm, VmListClient

__all__ = [
    "SOCKET_OPTIONS",
    "ConditionalStore",
    "HistoryLostError",
    "KeyCondition",
    "KeyValueClient",
    "KeyValueEntry",
    "ListedVm",
    "StoreChange",
    "StoreChanges",
    "StoreRefusedError",
    "StoreSnapshot",
    "StoreWrite",
    "TransactionalStore",
    "VmListClient",
    "WatchedStore",
    "task_pool_manager",
]
