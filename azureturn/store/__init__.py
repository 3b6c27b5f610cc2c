"""Clients of the platform's services: the key-value service and the list of VMs."""

from azureturn._limited_http import read_whole
from azureturn._socket_options import SOCKET_OPTIONS
from azureturn.store._key_value import ANSWER_LIMIT_BYTES, KeyValueClient
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
    "ANSWER_LIMIT_BYTES",
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
    "read_whole",
    "task_pool_manager",
]
