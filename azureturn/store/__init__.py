"""Clients of what the platform gives: the key-value service and the list of VMs."""

from azureturn.store._key_value import KeyValueClient
from azureturn.store._key_value_answers import KeyValueEntry
from azureturn.store._vm_list import ListedVm, VmListClient

__all__ = ["KeyValueClient", "KeyValueEntry", "ListedVm", "VmListClient"]
