"""``azureturn vm``: list the VMs."""

from dataclasses import asdict, dataclass
from datetime import UTC, datetime

import cappa

from azureturn.command._exit_codes import ExitCode
from azureturn.command._options import SiteOptions
from azureturn.command._output import Output, format_table
from azureturn.command._site import OperatorSite, VmAnswer, require_answers
from azureturn.peers import NoArgument, VmStatus

_MS_PER_S = 1_000


@dataclass(frozen=True)
class VmRow:
    """One VM's row in the list."""

    vm: str
    availability_zone: str
    state: str
    started_at: str
    version: str
    revision: int
    requests_in_progress: int

    @classmethod
    def from_answer(cls, vm_answer: VmAnswer[VmStatus]) -> "VmRow":
        """Return the row for a VM that responded."""
        status = vm_answer.answer
        leaving = vm_answer.vm.leaving or status.leaving
        started_at = datetime.fromtimestamp(status.started_at_unix_ms / _MS_PER_S, UTC)
        return cls(
            vm=status.vm,
            availability_zone=status.availability_zone,
            state="leaving" if leaving else "live",
            started_at=started_at.isoformat(timespec="seconds"),
            version=status.version,
            revision=status.configuration_revision,
            requests_in_progress=status.requests_in_progress,
        )


@cappa.command(name="list", help="List all VMs with zone, state, revision and requests.")
@dataclass(frozen=True)
class VmList:
    """``azureturn vm list``."""

    options: cappa.Destructured[SiteOptions]

    def __call__(self) -> ExitCode:
        """Query the state of all listed VMs."""
        answers = OperatorSite.from_options(self.options).query_all(
            "vm.status", NoArgument(), VmStatus
        )
        rows = [VmRow.from_answer(vm_answer) for vm_answer in require_answers(answers)]
        headings = ["vm", "zone", "state", "started", "version", "revision", "requests"]
        text = format_table(headings, [list(asdict(row).values()) for row in rows])
        document = {
            "vms": [asdict(row) for row in rows],
            "silent": answers.silent_documents(),
        }
        Output.to_stdout(as_json=self.options.json).write(
            document, f"{text}\n{answers.silent_text()}"
        )
        return answers.exit_code


@cappa.command(name="vm", help="List the VMs.")
@dataclass(frozen=True)
class VmCommand:
    """``azureturn vm``."""

    command: cappa.Subcommands[VmList]
