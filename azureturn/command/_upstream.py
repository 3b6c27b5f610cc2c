"""``azureturn upstream``: see upstreams, take them out of service and put them back."""

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
from azureturn.command._output import Output, table
from azureturn.command._revisions import Revisions
from azureturn.command._site import OperatorSite, VmAnswers, require_answers
from azureturn.command._waiting import Progress, wait_until_done
from azureturn.errors import ErrorKind
from azureturn.peers import NoArgument, UpstreamStatuses

#: Draining one upstream does not clash with another change, so it is tried again over it.
CONFLICT_RETRIES = 3


@dataclass(frozen=True)
class UpstreamRow:
    """One upstream as all VMs that answered see it together."""

    upstream: str
    kind: str
    availability_zone: str
    version: str
    state: str
    outstanding_requests: int
    outstanding_tokens: int
    #: VMs that give it no work for now, after a failed connection.
    closed_by_vms: int


def upstream_rows(answers: VmAnswers[UpstreamStatuses]) -> list[UpstreamRow]:
    """Add up what the VMs told of each upstream."""
    rows: dict[str, UpstreamRow] = {}
    for one in answers.answered:
        for told in one.answer.upstreams:
            row = UpstreamRow(
                upstream=told.upstream,
                kind=told.kind,
                availability_zone=told.availability_zone,
                version=told.version,
                state="draining" if told.draining else "leaving" if told.leaving else "serving",
                outstanding_requests=told.outstanding_requests,
                outstanding_tokens=told.outstanding_tokens,
                closed_by_vms=int(told.closed),
            )
            known = rows.get(told.upstream)
            rows[told.upstream] = row if known is None else _sum_of(known, row)
    return [rows[name] for name in sorted(rows)]


def _sum_of(one: UpstreamRow, other: UpstreamRow) -> UpstreamRow:
    states = {one.state, other.state}
    state = next(name for name in ("draining", "leaving", "serving") if name in states)
    return UpstreamRow(
        upstream=one.upstream,
        kind=one.kind,
        availability_zone=one.availability_zone,
        version=one.version,
        state=state,
        outstanding_requests=one.outstanding_requests + other.outstanding_requests,
        outstanding_tokens=one.outstanding_tokens + other.outstanding_tokens,
        closed_by_vms=one.closed_by_vms + other.closed_by_vms,
    )


@cappa.command(name="list", help="Show every upstream, and what all VMs have outstanding there.")
@dataclass(frozen=True)
class UpstreamList:
    """``azureturn upstream list``."""

    options: cappa.Destructured[SiteOptions]

    def __call__(self) -> ExitCode:
        """Ask every VM."""
        site = OperatorSite.from_options(self.options)
        answers = site.ask_all("upstream.list", NoArgument(), UpstreamStatuses)
        require_answers(answers)
        rows = upstream_rows(answers)
        document = {
            "upstreams": [asdict(row) for row in rows],
            "silent": answers.silent_documents(),
        }
        headings = ["upstream", "kind", "zone", "version", "state", "requests", "tokens", "closed"]
        text = table(headings, [list(asdict(row).values()) for row in rows])
        output = Output.to_stdout(as_json=self.options.json)
        output.write(document, f"{text}\n{answers.silent_text()}")
        return answers.exit_code


@cappa.command(name="drain", help="Give an upstream no new work; what it has is finished.")
@dataclass(frozen=True)
class UpstreamDrain:
    """``azureturn upstream drain``."""

    name: Annotated[str, cappa.Arg(help="The upstream's name.")]
    options: cappa.Destructured[SiteOptions]
    waiting: cappa.Destructured[WaitOptions]

    def __call__(self) -> ExitCode:
        """Mark it in the shared settings; with ``--wait``, until no VM has work there."""
        site = OperatorSite.from_options(self.options)
        output = Output.to_stdout(as_json=self.options.json)
        stored = set_draining(site, self.name, draining=True)
        document = {"upstream": self.name, "draining": True, "revision": stored.revision}
        output.write(document, f"{self.name} is draining by revision {stored.revision}")
        if not self.waiting.wait:
            return ExitCode.OK
        return wait_until_done(
            lambda: _drained(site, self.name, stored.revision), self.waiting, output
        )


@cappa.command(name="return", help="Give a drained upstream new work again.")
@dataclass(frozen=True)
class UpstreamReturn:
    """``azureturn upstream return``."""

    name: Annotated[str, cappa.Arg(help="The upstream's name.")]
    options: cappa.Destructured[SiteOptions]
    waiting: cappa.Destructured[WaitOptions]

    def __call__(self) -> ExitCode:
        """Take the mark off; with ``--wait``, until every VM knows."""
        site = OperatorSite.from_options(self.options)
        output = Output.to_stdout(as_json=self.options.json)
        stored = set_draining(site, self.name, draining=False)
        document = {"upstream": self.name, "draining": False, "revision": stored.revision}
        output.write(document, f"{self.name} is back by revision {stored.revision}")
        if not self.waiting.wait:
            return ExitCode.OK
        return wait_until_done(
            lambda: Revisions.from_site(site).progress(stored.revision), self.waiting, output
        )


@cappa.command(name="upstream", help="See, drain and return upstreams.")
@dataclass(frozen=True)
class UpstreamCommand:
    """``azureturn upstream``."""

    command: cappa.Subcommands[UpstreamList | UpstreamDrain | UpstreamReturn]


def set_draining(site: OperatorSite, name: str, *, draining: bool) -> StoredConfiguration:
    """Mark an upstream in the newest settings and return what is stored then."""
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
    present = stored.settings if stored.revision else site.document["shared"]
    settings: Document = json.loads(json.dumps(present))
    upstreams = {upstream["name"]: upstream for upstream in settings["upstreams"]}
    if name not in upstreams:
        raise CommandError(
            ErrorKind.NOT_FOUND,
            f"no upstream is named '{name}'",
            advice="see the names with 'azureturn upstream list'",
        )
    if draining:
        upstreams[name]["draining"] = True
    else:
        upstreams[name].pop("draining", None)
    return settings


def _drained(site: OperatorSite, name: str, revision: int) -> Progress:
    known = Revisions.from_site(site).progress(revision)
    if not known.done:
        return known
    answers = site.ask_all("upstream.list", NoArgument(), UpstreamStatuses)
    outstanding = sum(
        row.outstanding_requests for row in upstream_rows(answers) if row.upstream == name
    )
    done = not outstanding and not answers.silent
    text = f"{known.text}; {name} has {outstanding} requests outstanding"
    return Progress(done=done, text=text)
