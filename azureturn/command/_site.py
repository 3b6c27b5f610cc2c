"""The site that a command operates on: its settings, its platform, and its VMs."""

import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from azureturn.command._errors import CommandError
from azureturn.command._exit_codes import ExitCode
from azureturn.command._options import SiteOptions
from azureturn.errors import AzureturnError, ErrorKind, PlatformError
from azureturn.json_files import read_merged
from azureturn.peers import EnvelopeSigner, NoArgument, PeerAddress, PeerClient, VmAddresses
from azureturn.settings import Settings, check_settings
from azureturn.store import KeyValueClient, ListedVm, VmListClient

OPERATOR_NAME = "operator"
#: Maximum number of VMs queried concurrently.
QUERY_THREADS = 32
QUERY_TIMEOUT_MS = 2_000

_Answer = TypeVar("_Answer")


@dataclass(frozen=True)
class VmAnswer(Generic[_Answer]):
    """The response of one VM."""

    vm: ListedVm
    answer: _Answer


@dataclass(frozen=True)
class SilentVm:
    """A listed VM that did not respond, and the cause."""

    vm: str
    cause: str


@dataclass(frozen=True)
class VmAnswers(Generic[_Answer]):
    """The responses of all VMs, in order of name, and the VMs that did not respond."""

    answered: tuple[VmAnswer[_Answer], ...]
    silent: tuple[SilentVm, ...]

    @property
    def exit_code(self) -> ExitCode:
        """Return ``PARTIAL`` if some VMs did not respond, ``UNAVAILABLE`` if none did."""
        if not self.answered:
            return ExitCode.UNAVAILABLE
        return ExitCode.PARTIAL if self.silent else ExitCode.OK

    def silent_text(self) -> str:
        """Return a line for each VM that did not respond."""
        return "".join(f"no response from {vm.vm}: {vm.cause}\n" for vm in self.silent)

    def silent_documents(self) -> list[dict[str, str]]:
        """Return the VMs that did not respond as JSON objects."""
        return [{"vm": vm.vm, "cause": vm.cause} for vm in self.silent]


#: Commands may wait longer for a slow key-value service than requests served by a daemon.
_MIN_KEY_VALUE_TIMEOUT_MS = 5_000


class OperatorSite:
    """Access to a site's settings, key-value service and VMs, from its settings files."""

    def __init__(self, settings: Settings, document: Any) -> None:
        self.settings = settings
        #: The merged settings as written in the files, without defaults.
        self.document = document
        self.key_value = KeyValueClient.from_settings(
            settings.platform, min_timeout_ms=_MIN_KEY_VALUE_TIMEOUT_MS
        )
        self._vm_list = VmListClient(settings.platform.vm_list_url)
        signer = EnvelopeSigner(settings.daemon.peer_secret, OPERATOR_NAME, clock_s=time.monotonic)
        self._peers = PeerClient(signer)

    @classmethod
    def from_options(cls, options: SiteOptions) -> "OperatorSite":
        """Read and validate the settings files given by the options."""
        document = read_merged(options.config, options.overlay)
        return cls(check_settings(document), document)

    def known_vms(self) -> list[ListedVm]:
        """Return the VMs of the platform's list, sorted by name.

        If the list is unavailable or empty, the VM of the settings and the seed peers are queried
        for the VMs known to them.
        """
        try:
            vms = list(self._vm_list.read())
        except PlatformError:
            vms = []
        return sorted(vms or self._vms_from_peers(), key=lambda vm: vm.name)

    def query_all(
        self, query: str, argument: Any, answer_type: type[_Answer]
    ) -> VmAnswers[_Answer]:
        """Send a registered operator query to all known VMs concurrently."""
        vms = self.known_vms()
        with ThreadPoolExecutor(max_workers=QUERY_THREADS) as pool:
            results = list(pool.map(lambda vm: self._query(vm, query, argument, answer_type), vms))
        answered = tuple(result for result in results if isinstance(result, VmAnswer))
        silent = tuple(result for result in results if isinstance(result, SilentVm))
        return VmAnswers(answered, silent)

    def _query(
        self, vm: ListedVm, query: str, argument: Any, answer_type: type[_Answer]
    ) -> VmAnswer[_Answer] | SilentVm:
        address = PeerAddress(vm.host, vm.peer_port)
        try:
            answer = self._peers.operate(
                address, query, argument, answer_type, timeout_ms=QUERY_TIMEOUT_MS
            )
        except AzureturnError as error:
            return SilentVm(vm.name, error.message)
        return VmAnswer(vm, answer)

    def _vms_from_peers(self) -> list[ListedVm]:
        vms_by_name = {self.settings.vm.name: self._configured_vm()}
        for address in self._seed_addresses():
            try:
                answer = self._peers.operate(address, "vm.peers", NoArgument(), VmAddresses)
            except AzureturnError:
                continue
            for vm_address in answer.vms:
                vm = ListedVm(
                    vm_address.vm,
                    vm_address.availability_zone,
                    vm_address.host,
                    vm_address.port,
                    vm_address.peer_port,
                    vm_address.leaving,
                )
                vms_by_name.setdefault(vm.name, vm)
        return list(vms_by_name.values())

    def _seed_addresses(self) -> list[PeerAddress]:
        vm = self.settings.vm
        seeds = [PeerAddress(vm.host, vm.peer_port)]
        for seed in self.settings.platform.seed_peers:
            host, _, port = seed.rpartition(":")
            seeds.append(PeerAddress(host, int(port)))
        return seeds

    def _configured_vm(self) -> ListedVm:
        vm = self.settings.vm
        return ListedVm(vm.name, vm.availability_zone, vm.host, vm.port, vm.peer_port, False)


def require_answers(answers: VmAnswers[_Answer]) -> Sequence[VmAnswer[_Answer]]:
    """Return the responses, or raise :class:`CommandError` if no VM responded."""
    if answers.answered:
        return answers.answered
    causes = "; ".join(f"{vm.vm}: {vm.cause}" for vm in answers.silent)
    raise CommandError(
        ErrorKind.INTERNAL,
        f"no VM responded ({causes})",
        advice="check that --overlay belongs to this site and that its daemons are running",
        exit_code=ExitCode.UNAVAILABLE,
    )
