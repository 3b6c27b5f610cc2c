"""Client of the platform's list of live and leaving VMs."""

import json
from dataclasses import dataclass

import urllib3

from azureturn._limited_http import limited_pool_manager, read_whole
from azureturn.errors import ErrorKind, PlatformError

_TIMEOUT_S = 1.0
#: Maximum size of the list.
LIST_LIMIT_BYTES = 4 << 20


@dataclass(frozen=True)
class ListedVm:
    """One VM in the platform's list, which may be slightly outdated."""

    name: str
    availability_zone: str
    host: str
    port: int
    peer_port: int
    leaving: bool


class VmListClient:
    """Reads the platform's list of VMs, and registers this VM in it."""

    def __init__(self, base_url: str) -> None:
        self._base_url = base_url.rstrip("/")
        self._pool = limited_pool_manager(num_pools=1, retries=False, timeout=_TIMEOUT_S)

    def read(self) -> tuple[ListedVm, ...]:
        """Return the listed VMs, or raise :class:`PlatformError`."""
        try:
            response = self._pool.request(
                "GET", self._base_url + "/vms", redirect=False, preload_content=False
            )
            data = read_whole(response, limit_bytes=LIST_LIMIT_BYTES)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise PlatformError(ErrorKind.KEY_VALUE_UNAVAILABLE, str(error)) from error
        return decode_vm_list(data)

    def register(self, vm: ListedVm) -> None:
        """Add or replace a VM's row in the list, or raise :class:`PlatformError`."""
        row = {**vars(vm), "state": "leaving" if vm.leaving else "live"}
        row.pop("leaving")
        try:
            response = self._pool.request(
                "POST", self._base_url + "/vms", json=row, redirect=False, preload_content=False
            )
            read_whole(response, limit_bytes=LIST_LIMIT_BYTES)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise PlatformError(ErrorKind.KEY_VALUE_UNAVAILABLE, str(error)) from error


def decode_vm_list(data: bytes) -> tuple[ListedVm, ...]:
    """Return the VMs in a JSON list, or raise :class:`PlatformError`."""
    try:
        return tuple(_listed_vm(row) for row in json.loads(data)["vms"])
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        raise PlatformError(ErrorKind.KEY_VALUE_UNAVAILABLE, "invalid list of VMs") from error


def _listed_vm(row: dict[str, object]) -> ListedVm:
    return ListedVm(
        name=str(row["name"]),
        availability_zone=str(row["availability_zone"]),
        host=str(row["host"]),
        port=int(str(row["port"])),
        peer_port=int(str(row["peer_port"])),
        leaving=row.get("state") == "leaving",
    )
