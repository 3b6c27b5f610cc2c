"""Which revision of the shared settings is in force at each VM."""

from dataclasses import dataclass

from azureturn.command._site import OperatorSite, VmAnswers
from azureturn.command._waiting import Progress
from azureturn.peers import NoArgument, VmStatus

_NAMES_SHOWN = 5


@dataclass(frozen=True)
class RevisionRow:
    """One VM's revision in force, and how the VM learned it."""

    vm: str
    availability_zone: str
    revision: int
    source: str


@dataclass(frozen=True)
class Revisions:
    """The revisions of all VMs."""

    rows: tuple[RevisionRow, ...]
    answers: VmAnswers[VmStatus]

    @classmethod
    def from_site(cls, site: OperatorSite) -> "Revisions":
        """Ask every VM."""
        answers = site.ask_all("vm.status", NoArgument(), VmStatus)
        rows = tuple(
            RevisionRow(
                one.answer.vm,
                one.answer.availability_zone,
                one.answer.configuration_revision,
                one.answer.configuration_source,
            )
            for one in answers.answered
        )
        return cls(rows, answers)

    def progress(self, revision: int) -> Progress:
        """Return how far a revision is from being in force everywhere."""
        behind = [row.vm for row in self.rows if row.revision < revision]
        behind += [f"{one.vm} (no answer)" for one in self.answers.silent]
        total = len(self.rows) + len(self.answers.silent)
        text = f"revision {revision} is in force on {total - len(behind)} of {total} VMs"
        if behind:
            more = "" if len(behind) <= _NAMES_SHOWN else f" and {len(behind) - _NAMES_SHOWN} more"
            text += f"; waiting for {', '.join(behind[:_NAMES_SHOWN])}{more}"
        return Progress(done=not behind, text=text)
