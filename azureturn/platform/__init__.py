"""Clients of what the platform gives: the key-value service and the list of VMs."""

from azureturn.platform._key_value import KeyValueClient
from azureturn.platform._key_value_answers import KeyValueEntry
from azureturn.platform._vm_list import ListedVm, VmListClient

__all__ = ["KeyValueClient", "KeyValueEntry", "ListedVm", "VmListClient"]
