"""The revision of the shared settings that is in force on each VM."""

from dataclasses import dataclass

from azureturn.command._site import OperatorSite, VmAnswers
from azureturn.command._waiting import Progress
from azureturn.peers import NoArgument, VmStatus

_MAX_LISTED_VMS = 5


@dataclass(frozen=True)
class RevisionRow:
    """The revision in force on one VM, and how the VM obtained it."""

    vm: str
    availability_zone: str
    revision: int
    source: str


@dataclass(frozen=True)
class Revisions:
    """The revisions in force on all VMs."""

    rows: tuple[RevisionRow, ...]
    answers: VmAnswers[VmStatus]

    @classmethod
    def from_site(cls, site: OperatorSite) -> "Revisions":
        """Query all VMs."""
        answers = site.query_all("vm.status", NoArgument(), VmStatus)
        rows = tuple(
            RevisionRow(
                vm_answer.answer.vm,
                vm_answer.answer.availability_zone,
                vm_answer.answer.configuration_revision,
                vm_answer.answer.configuration_source,
            )
            for vm_answer in answers.answered
        )
        return cls(rows, answers)

    def progress(self, revision: int) -> Progress:
        """Return on how many VMs a revision, or a later one, is in force."""
        vms_behind = [row.vm for row in self.rows if row.revision < revision]
        vms_behind += [f"{silent_vm.vm} (no response)" for silent_vm in self.answers.silent]
        total = len(self.rows) + len(self.answers.silent)
        text = f"revision {revision} is in force on {total - len(vms_behind)} of {total} VMs"
        if vms_behind:
            more = (
                ""
                if len(vms_behind) <= _MAX_LISTED_VMS
                else f" and {len(vms_behind) - _MAX_LISTED_VMS} more"
            )
            text += f"; waiting for {', '.join(vms_behind[:_MAX_LISTED_VMS])}{more}"
        return Progress(done=not vms_behind, text=text)
