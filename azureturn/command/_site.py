"""The site that a command works on: its settings, its platform, and its VMs."""

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
#: VMs that are asked at the same time.
ASK_THREADS = 32
ASK_TIMEOUT_MS = 2_000

_Answer = TypeVar("_Answer")


@dataclass(frozen=True)
class VmAnswer(Generic[_Answer]):
    """What one VM answered."""

    vm: ListedVm
    answer: _Answer


@dataclass(frozen=True)
class SilentVm:
    """A listed VM that gave no answer, and why."""

    vm: str
    cause: str


@dataclass(frozen=True)
class VmAnswers(Generic[_Answer]):
    """What all VMs answered, in order of name, and which of them did not."""

    answered: tuple[VmAnswer[_Answer], ...]
    silent: tuple[SilentVm, ...]

    @property
    def exit_code(self) -> ExitCode:
        """Return ``PARTIAL`` where a VM is missing."""
        if not self.answered:
            return ExitCode.UNAVAILABLE
        return ExitCode.PARTIAL if self.silent else ExitCode.OK

    def silent_text(self) -> str:
        """Return a line for each VM that gave no answer."""
        return "".join(f"no answer from {one.vm}: {one.cause}\n" for one in self.silent)

    def silent_documents(self) -> list[dict[str, str]]:
        """Return the VMs that gave no answer as JSON."""
        return [{"vm": one.vm, "cause": one.cause} for one in self.silent]


#: An operator's command waits for a slow service; a request that a daemon serves can't.
_LEAST_TIMEOUT_MS = 5_000


class OperatorSite:
    """What commands need of a site; made from the files that its daemons read."""

    def __init__(self, settings: Settings, document: Any) -> None:
        self.settings = settings
        #: The merged settings as they stand in the files, defaults left out.
        self.document = document
        self.key_value = KeyValueClient.from_settings(
            settings.platform, least_timeout_ms=_LEAST_TIMEOUT_MS
        )
        self._vm_list = VmListClient(settings.platform.vm_list_url)
        signer = EnvelopeSigner(settings.daemon.peer_secret, OPERATOR_NAME, clock_s=time.monotonic)
        self._peers = PeerClient(signer)

    @classmethod
    def from_options(cls, options: SiteOptions) -> "OperatorSite":
        """Read and check the settings files that the options name."""
        document = read_merged(options.config, options.overlay)
        return cls(check_settings(document), document)

    def known_vms(self) -> list[ListedVm]:
        """Return the VMs of the platform's list, by name.

        Where the list does not answer, the VM of the settings and the seed peers are asked
        which VMs they know.
        """
        try:
            vms = list(self._vm_list.read())
        except PlatformError:
            vms = []
        return sorted(vms or self._vms_known_by_peers(), key=lambda vm: vm.name)

    def ask_all(self, query: str, argument: Any, answer_type: type[_Answer]) -> VmAnswers[_Answer]:
        """Ask every known VM a registered operators' query, all at the same time."""
        vms = self.known_vms()
        with ThreadPoolExecutor(max_workers=ASK_THREADS) as pool:
            results = list(pool.map(lambda vm: self._ask(vm, query, argument, answer_type), vms))
        answered = tuple(one for one in results if isinstance(one, VmAnswer))
        silent = tuple(one for one in results if isinstance(one, SilentVm))
        return VmAnswers(answered, silent)

    def _ask(
        self, vm: ListedVm, query: str, argument: Any, answer_type: type[_Answer]
    ) -> VmAnswer[_Answer] | SilentVm:
        address = PeerAddress(vm.host, vm.peer_port)
        try:
            answer = self._peers.operate(
                address, query, argument, answer_type, timeout_ms=ASK_TIMEOUT_MS
            )
        except AzureturnError as error:
            return SilentVm(vm.name, error.message)
        return VmAnswer(vm, answer)

    def _vms_known_by_peers(self) -> list[ListedVm]:
        found = {self.settings.vm.name: self._own_vm()}
        for address in self._seeds():
            try:
                answer = self._peers.operate(address, "vm.peers", NoArgument(), VmAddresses)
            except AzureturnError:
                continue
            for one in answer.vms:
                vm = ListedVm(
                    one.vm,
                    one.availability_zone,
                    one.host,
                    one.port,
                    one.peer_port,
                    one.leaving,
                )
                found.setdefault(vm.name, vm)
        return list(found.values())

    def _seeds(self) -> list[PeerAddress]:
        vm = self.settings.vm
        seeds = [PeerAddress(vm.host, vm.peer_port)]
        for seed in self.settings.platform.seed_peers:
            host, _, port = seed.rpartition(":")
            seeds.append(PeerAddress(host, int(port)))
        return seeds

    def _own_vm(self) -> ListedVm:
        vm = self.settings.vm
        return ListedVm(vm.name, vm.availability_zone, vm.host, vm.port, vm.peer_port, False)


def require_answers(answers: VmAnswers[_Answer]) -> Sequence[VmAnswer[_Answer]]:
    """Return the answers, or raise where no VM gave one."""
    if answers.answered:
        return answers.answered
    causes = "; ".join(f"{one.vm}: {one.cause}" for one in answers.silent)
    raise CommandError(
        ErrorKind.INTERNAL,
        f"no VM gave an answer ({causes})",
        advice="check that --overlay is this site's and that its daemons run",
        exit_code=ExitCode.UNAVAILABLE,
    )
