"""``azureturn requests``: outcomes of individual requests."""

from dataclasses import asdict, dataclass
from datetime import UTC, datetime
from typing import Annotated

import cappa

from azureturn.command._exit_codes import ExitCode
from azureturn.command._explain import RequestsExplain
from azureturn.command._options import SiteOptions
from azureturn.command._output import Output, format_table
from azureturn.command._site import OperatorSite, require_answers
from azureturn.errors import ErrorKind
from azureturn.peers import Refusal, Refusals, RefusalsArgument

#: Maximum number of refusals requested from each VM, before filtering.
REFUSALS_PER_VM = 1_000
DEFAULT_SHOWN_LIMIT = 20
_MS_PER_S = 1_000


@dataclass(frozen=True)
class RefusalRow:
    """One refusal or failure as it was reported to a caller."""

    refused_at: str
    vm: str
    request_id: str
    organisation: str
    route: str
    tier: str
    upstream: str
    kind: str
    run_state: str
    retry_after_ms: int
    cause: str

    @classmethod
    def from_refusal(cls, vm: str, refusal: Refusal) -> "RefusalRow":
        """Return the row for a refusal reported by a VM."""
        at = datetime.fromtimestamp(refusal.refused_at_unix_ms / _MS_PER_S, UTC)
        return cls(
            refused_at=at.isoformat(timespec="milliseconds"),
            vm=vm,
            request_id=refusal.request_id,
            organisation=refusal.organisation,
            route=refusal.route,
            tier=refusal.tier,
            upstream=refusal.upstream,
            kind=refusal.kind,
            run_state=refusal.run_state,
            retry_after_ms=refusal.retry_after_ms,
            cause=refusal.cause,
        )


@cappa.command(name="refused", help="Show recent refusals and failures, with kind and cause.")
@dataclass(frozen=True)
class RequestsRefused:
    """``azureturn requests refused``."""

    options: cappa.Destructured[SiteOptions]
    limit: Annotated[int, cappa.Arg(long=True, help="Maximum number to show, latest first.")] = (
        DEFAULT_SHOWN_LIMIT
    )
    kind: Annotated[
        ErrorKind | None,
        cappa.Arg(long=True, show_default=False, help="Show only this error kind."),
    ] = None
    organisation: Annotated[
        str | None, cappa.Arg(long=True, show_default=False, help="Show only this organisation.")
    ] = None

    def __call__(self) -> ExitCode:
        """Query all VMs for their latest refusals and show the latest overall."""
        site = OperatorSite.from_options(self.options)
        argument = RefusalsArgument(limit=REFUSALS_PER_VM)
        answers = site.query_all("requests.refused", argument, Refusals)
        rows = [
            RefusalRow.from_refusal(vm_answer.vm.name, refusal)
            for vm_answer in require_answers(answers)
            for refusal in vm_answer.answer.refusals
        ]
        matching = sorted(filter(self._matches, rows), key=lambda row: row.refused_at, reverse=True)
        latest = matching[: self.limit]
        document = {
            "refusals": [asdict(row) for row in latest],
            "silent": answers.silent_documents(),
        }
        text = _refusals_text(latest) + answers.silent_text()
        Output.to_stdout(as_json=self.options.json).write(document, text)
        return answers.exit_code

    def _matches(self, row: RefusalRow) -> bool:
        if self.kind is not None and row.kind != self.kind.value:
            return False
        return self.organisation in (None, row.organisation)


@cappa.command(name="requests", help="Show the outcomes of requests.")
@dataclass(frozen=True)
class RequestsCommand:
    """``azureturn requests``."""

    command: cappa.Subcommands[RequestsRefused | RequestsExplain]


def _refusals_text(rows: list[RefusalRow]) -> str:
    if not rows:
        return "no refusals are recorded\n"
    headings = ["at", "vm", "request", "organisation", "route", "kind", "ran", "cause"]
    table_rows = [
        [
            row.refused_at,
            row.vm,
            row.request_id,
            row.organisation,
            row.route,
            row.kind,
            row.run_state,
            row.cause,
        ]
        for row in rows
    ]
    return format_table(headings, table_rows) + "\n"
