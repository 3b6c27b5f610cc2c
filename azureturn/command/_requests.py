"""``azureturn requests``: what became of requests."""

from dataclasses import asdict, dataclass
from datetime import UTC, datetime
from typing import Annotated

import cappa

from azureturn.command._exit_codes import ExitCode
from azureturn.command._explain import RequestsExplain
from azureturn.command._options import SiteOptions
from azureturn.command._output import Output, table
from azureturn.command._site import OperatorSite, require_answers
from azureturn.errors import ErrorKind
from azureturn.peers import Refusal, Refusals, RefusalsArgument

#: Refusals asked of each VM, before any are filtered out.
ASKED_LIMIT = 1_000
DEFAULT_SHOWN_LIMIT = 20
_MS_PER_S = 1_000


@dataclass(frozen=True)
class RefusalRow:
    """One refusal or failure as a caller was told it."""

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
        """Return the row of what a VM told."""
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
    limit: Annotated[int, cappa.Arg(long=True, help="Show this many, the latest first.")] = (
        DEFAULT_SHOWN_LIMIT
    )
    kind: Annotated[
        ErrorKind | None,
        cappa.Arg(long=True, show_default=False, help="Only this error kind."),
    ] = None
    organisation: Annotated[
        str | None, cappa.Arg(long=True, show_default=False, help="Only this organisation.")
    ] = None

    def __call__(self) -> ExitCode:
        """Ask every VM for its latest refusals and show the latest of all."""
        site = OperatorSite.from_options(self.options)
        argument = RefusalsArgument(limit=ASKED_LIMIT)
        answers = site.ask_all("requests.refused", argument, Refusals)
        rows = [
            RefusalRow.from_refusal(one.vm.name, refusal)
            for one in require_answers(answers)
            for refusal in one.answer.refusals
        ]
        wanted = sorted(filter(self._wants, rows), key=lambda row: row.refused_at, reverse=True)
        shown = wanted[: self.limit]
        document = {
            "refusals": [asdict(row) for row in shown],
            "silent": answers.silent_documents(),
        }
        text = _refusals_text(shown) + answers.silent_text()
        Output.to_stdout(as_json=self.options.json).write(document, text)
        return answers.exit_code

    def _wants(self, row: RefusalRow) -> bool:
        if self.kind is not None and row.kind != self.kind.value:
            return False
        return self.organisation in (None, row.organisation)


@cappa.command(name="requests", help="See what became of requests.")
@dataclass(frozen=True)
class RequestsCommand:
    """``azureturn requests``."""

    command: cappa.Subcommands[RequestsRefused | RequestsExplain]


def _refusals_text(rows: list[RefusalRow]) -> str:
    if not rows:
        return "no refusals that are remembered\n"
    headings = ["at", "vm", "request", "organisation", "route", "kind", "ran", "cause"]
    cells = [
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
    return table(headings, cells) + "\n"
