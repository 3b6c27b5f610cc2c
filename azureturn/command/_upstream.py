"""``azureturn upstream``: list upstreams, drain them and return them to service."""

import json
from dataclasses import asdict, dataclass
from typing import Annotated

import cappa

from azureturn.command._configuration_store import (
    ConfigurationStore,
    Document,
    StoredConfiguration,
)
from azureturn.command._errors import CommandError
from azureturn.command._exit_codes import ExitCode
from azureturn.command._options import SiteOptions, WaitOptions
from azureturn.command._output import Output, format_table
from azureturn.command._revisions import Revisions
from azureturn.command._site import OperatorSite, VmAnswers, require_answers
from azureturn.command._waiting import Progress, wait_until_done
from azureturn.errors import ErrorKind
from azureturn.peers import NoArgument, UpstreamStatuses

#: Draining an upstream is independent of other changes, so it is retried up to this many times
#: after a conflict.
CONFLICT_RETRIES = 3


@dataclass(frozen=True)
class UpstreamRow:
    """State of one upstream, summed over the VMs that responded."""

    upstream: str
    kind: str
    availability_zone: str
    version: str
    state: str
    outstanding_requests: int
    outstanding_tokens: int
    #: Number of VMs that send the upstream no requests at present, after a failed connection.
    closed_by_vms: int


def upstream_rows(answers: VmAnswers[UpstreamStatuses]) -> list[UpstreamRow]:
    """Sum the VMs' status reports by upstream."""
    rows: dict[str, UpstreamRow] = {}
    for vm_answer in answers.answered:
        for status in vm_answer.answer.upstreams:
            row = UpstreamRow(
                upstream=status.upstream,
                kind=status.kind,
                availability_zone=status.availability_zone,
                version=status.version,
                state=(
                    "draining" if status.draining else "leaving" if status.leaving else "serving"
                ),
                outstanding_requests=status.outstanding_requests,
                outstanding_tokens=status.outstanding_tokens,
                closed_by_vms=int(status.closed),
            )
            existing = rows.get(status.upstream)
            rows[status.upstream] = row if existing is None else _add_rows(existing, row)
    return [rows[name] for name in sorted(rows)]


def _add_rows(row: UpstreamRow, other: UpstreamRow) -> UpstreamRow:
    states = {row.state, other.state}
    state = next(name for name in ("draining", "leaving", "serving") if name in states)
    return UpstreamRow(
        upstream=row.upstream,
        kind=row.kind,
        availability_zone=row.availability_zone,
        version=row.version,
        state=state,
        outstanding_requests=row.outstanding_requests + other.outstanding_requests,
        outstanding_tokens=row.outstanding_tokens + other.outstanding_tokens,
        closed_by_vms=row.closed_by_vms + other.closed_by_vms,
    )


@cappa.command(name="list", help="List all upstreams with the outstanding requests of all VMs.")
@dataclass(frozen=True)
class UpstreamList:
    """``azureturn upstream list``."""

    options: cappa.Destructured[SiteOptions]

    def __call__(self) -> ExitCode:
        """Query all VMs."""
        site = OperatorSite.from_options(self.options)
        answers = site.query_all("upstream.list", NoArgument(), UpstreamStatuses)
        require_answers(answers)
        rows = upstream_rows(answers)
        document = {
            "upstreams": [asdict(row) for row in rows],
            "silent": answers.silent_documents(),
        }
        headings = ["upstream", "kind", "zone", "version", "state", "requests", "tokens", "closed"]
        text = format_table(headings, [list(asdict(row).values()) for row in rows])
        output = Output.to_stdout(as_json=self.options.json)
        output.write(document, f"{text}\n{answers.silent_text()}")
        return answers.exit_code


@cappa.command(name="drain", help="Send an upstream no new requests; let its current ones finish.")
@dataclass(frozen=True)
class UpstreamDrain:
    """``azureturn upstream drain``."""

    name: Annotated[str, cappa.Arg(help="The upstream's name.")]
    options: cappa.Destructured[SiteOptions]
    waiting: cappa.Destructured[WaitOptions]

    def __call__(self) -> ExitCode:
        """Set ``draining``; with ``--wait``, wait until no VM has requests outstanding there."""
        site = OperatorSite.from_options(self.options)
        output = Output.to_stdout(as_json=self.options.json)
        stored = set_draining(site, self.name, draining=True)
        document = {"upstream": self.name, "draining": True, "revision": stored.revision}
        output.write(document, f"{self.name} is draining as of revision {stored.revision}")
        if not self.waiting.wait:
            return ExitCode.OK
        return wait_until_done(
            lambda: _drain_progress(site, self.name, stored.revision), self.waiting, output
        )


@cappa.command(name="return", help="Return a drained upstream to service.")
@dataclass(frozen=True)
class UpstreamReturn:
    """``azureturn upstream return``."""

    name: Annotated[str, cappa.Arg(help="The upstream's name.")]
    options: cappa.Destructured[SiteOptions]
    waiting: cappa.Destructured[WaitOptions]

    def __call__(self) -> ExitCode:
        """Remove ``draining``; with ``--wait``, wait until all VMs have applied the change."""
        site = OperatorSite.from_options(self.options)
        output = Output.to_stdout(as_json=self.options.json)
        stored = set_draining(site, self.name, draining=False)
        document = {"upstream": self.name, "draining": False, "revision": stored.revision}
        output.write(document, f"{self.name} is in service as of revision {stored.revision}")
        if not self.waiting.wait:
            return ExitCode.OK
        return wait_until_done(
            lambda: Revisions.from_site(site).progress(stored.revision), self.waiting, output
        )


@cappa.command(name="upstream", help="List, drain and return upstreams.")
@dataclass(frozen=True)
class UpstreamCommand:
    """``azureturn upstream``."""

    command: cappa.Subcommands[UpstreamList | UpstreamDrain | UpstreamReturn]


def set_draining(site: OperatorSite, name: str, *, draining: bool) -> StoredConfiguration:
    """Set or remove ``draining`` in the latest settings and return the stored configuration."""
    store = ConfigurationStore(site.key_value)
    for retries_left in range(CONFLICT_RETRIES, -1, -1):
        stored = store.read()
        settings = _with_draining(site, stored, name, draining=draining)
        if settings == stored.settings:
            return stored
        try:
            return store.replace(settings, expected_revision=stored.revision)
        except CommandError as error:
            if error.kind is not ErrorKind.CONFLICT or not retries_left:
                raise
    raise AssertionError("the loop returns or raises")


def _with_draining(
    site: OperatorSite, stored: StoredConfiguration, name: str, *, draining: bool
) -> Document:
    current = stored.settings if stored.revision else site.document["shared"]
    settings: Document = json.loads(json.dumps(current))
    upstreams = {upstream["name"]: upstream for upstream in settings["upstreams"]}
    if name not in upstreams:
        raise CommandError(
            ErrorKind.NOT_FOUND,
            f"unknown upstream '{name}'",
            advice="list the names with 'azureturn upstream list'",
        )
    if draining:
        upstreams[name]["draining"] = True
    else:
        upstreams[name].pop("draining", None)
    return settings


def _drain_progress(site: OperatorSite, name: str, revision: int) -> Progress:
    revision_progress = Revisions.from_site(site).progress(revision)
    if not revision_progress.done:
        return revision_progress
    answers = site.query_all("upstream.list", NoArgument(), UpstreamStatuses)
    outstanding = sum(
        row.outstanding_requests for row in upstream_rows(answers) if row.upstream == name
    )
    done = not outstanding and not answers.silent
    text = f"{revision_progress.text}; {name} has {outstanding} requests outstanding"
    return Progress(done=done, text=text)
