"""``azureturn config``: check, compare, apply and show the settings."""

import json
from dataclasses import asdict, dataclass
from typing import Annotated, Any

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
from azureturn.command._site import OperatorSite, require_answers
from azureturn.command._waiting import wait_until_done
from azureturn.errors import ErrorKind, PlatformError
from azureturn.json_files import read_json, read_merged
from azureturn.settings import Change, differences, load_settings, mask_secrets, settings_schema


@cappa.command(name="check", help="Check settings and list every mistake.")
@dataclass(frozen=True)
class ConfigCheck:
    """``azureturn config check``."""

    options: cappa.Destructured[SiteOptions]

    def __call__(self) -> ExitCode:
        """Exit with 0 if the settings are valid; otherwise list every mistake and exit with 2."""
        settings = load_settings(self.options.config, self.options.overlay)
        site = settings.shared.site
        Output.to_stdout(as_json=self.options.json).write(
            {"site": site, "mistakes": []}, f"{site}: the settings are valid"
        )
        return ExitCode.OK


@cappa.command(name="diff", help="Show what the overlays change, and what 'apply' would change.")
@dataclass(frozen=True)
class ConfigDiff:
    """``azureturn config diff``."""

    options: cappa.Destructured[SiteOptions]

    def __call__(self) -> ExitCode:
        """Compare the base file with the merged files, and the merged with the stored settings."""
        site = OperatorSite.from_options(self.options)
        overlay_changes = differences(read_json(self.options.config), site.document)
        try:
            stored = ConfigurationStore(site.key_value).read()
        except PlatformError as error:
            raise CommandError(
                ErrorKind.KEY_VALUE_UNAVAILABLE,
                f"the key-value service did not respond ({error.message})",
                advice="use 'azureturn config check', which does not need it",
            ) from error
        apply_changes = differences(stored.settings, candidate_settings(site, stored))
        document = {
            "revision": stored.revision,
            "overlay": [change.to_document() for change in overlay_changes],
            "apply": [change.to_document() for change in apply_changes],
        }
        text = _format_changes("the overlays change", overlay_changes)
        text += _format_changes(
            f"'apply' would change, compared with revision {stored.revision}", apply_changes
        )
        Output.to_stdout(as_json=self.options.json).write(document, text)
        return ExitCode.OK


@cappa.command(
    name="apply",
    help="Apply the files' shared settings on all VMs, unless another change was made first.",
)
@dataclass(frozen=True)
class ConfigApply:
    """``azureturn config apply``."""

    options: cappa.Destructured[SiteOptions]
    waiting: cappa.Destructured[WaitOptions]
    expect_revision: Annotated[
        int | None,
        cappa.Arg(
            long=True,
            show_default=False,
            help="Fail unless this revision, as shown by diff, is still the latest.",
        ),
    ] = None

    def __call__(self) -> ExitCode:
        """Replace the stored revision by compare-and-swap."""
        site = OperatorSite.from_options(self.options)
        store = ConfigurationStore(site.key_value)
        stored = store.read()
        if self.expect_revision not in (None, stored.revision):
            raise CommandError(
                ErrorKind.CONFLICT,
                f"revision {stored.revision} by {stored.author} is the latest, "
                f"not {self.expect_revision}",
                advice="view it with 'azureturn config diff', then apply again",
            )
        candidate = candidate_settings(site, stored)
        changes = differences(stored.settings, candidate)
        output = Output.to_stdout(as_json=self.options.json)
        if changes:
            stored = store.replace(candidate, expected_revision=stored.revision)
        document = {
            "revision": stored.revision,
            "changed": bool(changes),
            "changes": [change.to_document() for change in changes],
        }
        output.write(document, _format_applied(stored, changes))
        if not self.waiting.wait:
            return ExitCode.OK
        revision = stored.revision
        return wait_until_done(
            lambda: Revisions.from_site(site).progress(revision), self.waiting, output
        )


@cappa.command(name="show", help="Show the shared settings; secrets are masked.")
@dataclass(frozen=True)
class ConfigShow:
    """``azureturn config show``."""

    options: cappa.Destructured[SiteOptions]
    files: Annotated[
        bool,
        cappa.Arg(
            long=True,
            show_default=False,
            help="Show the merged files instead of the stored settings.",
        ),
    ] = False

    def __call__(self) -> ExitCode:
        """Write the stored settings, or those of the files."""
        output = Output.to_stdout(as_json=self.options.json)
        if self.files:
            load_settings(self.options.config, self.options.overlay)
            merged = mask_secrets(read_merged(self.options.config, self.options.overlay))
            output.write(merged, json.dumps(merged, indent=2))
            return ExitCode.OK
        site = OperatorSite.from_options(self.options)
        stored = ConfigurationStore(site.key_value).read()
        if not stored.revision:
            raise CommandError(
                ErrorKind.NOT_FOUND,
                "the key-value service contains no settings yet: each VM uses its own files",
                advice="run 'azureturn config apply', or show the files with --files",
            )
        document = {"revision": stored.revision, "settings": mask_secrets(stored.document)}
        heading = f"revision {stored.revision} by {stored.author}\n"
        output.write(document, heading + json.dumps(mask_secrets(stored.settings), indent=2))
        return ExitCode.OK


@cappa.command(name="status", help="Show each VM's revision in force and its source.")
@dataclass(frozen=True)
class ConfigStatus:
    """``azureturn config status``."""

    options: cappa.Destructured[SiteOptions]
    waiting: cappa.Destructured[WaitOptions]

    def __call__(self) -> ExitCode:
        """Query all VMs, and show the stored revision if the key-value service responds."""
        site = OperatorSite.from_options(self.options)
        output = Output.to_stdout(as_json=self.options.json)
        newest = _newest_revision(site)
        if self.waiting.wait and newest is not None:
            code = wait_until_done(
                lambda: Revisions.from_site(site).progress(newest), self.waiting, output
            )
            if code is not ExitCode.OK:
                return code
        revisions = Revisions.from_site(site)
        require_answers(revisions.answers)
        document = {
            "service_revision": newest,
            "vms": [asdict(row) for row in revisions.rows],
            "silent": revisions.answers.silent_documents(),
        }
        output.write(document, _format_status(revisions, newest))
        return revisions.answers.exit_code


@cappa.command(name="schema", help="Print the JSON Schema of the settings.")
@dataclass(frozen=True)
class ConfigSchema:
    """``azureturn config schema``."""

    def __call__(self) -> ExitCode:
        """Write the schema; no site is needed."""
        Output.to_stdout(as_json=True).write(settings_schema(), "")
        return ExitCode.OK


@cappa.command(name="config", help="Check, compare, apply and show the settings.")
@dataclass(frozen=True)
class ConfigCommand:
    """``azureturn config``."""

    command: cappa.Subcommands[
        ConfigCheck | ConfigDiff | ConfigApply | ConfigShow | ConfigStatus | ConfigSchema
    ]


def candidate_settings(site: OperatorSite, stored: StoredConfiguration) -> Document:
    """Return the settings that applying the files would store.

    An upstream that was drained by command stays drained unless the files set ``draining``
    themselves, since the files do not reflect operators' commands.
    """
    shared: Document = json.loads(json.dumps(site.document["shared"]))
    shared.pop("change", None)
    drained_names = {
        upstream["name"]
        for upstream in stored.document.get("upstreams", [])
        if upstream.get("draining")
    }
    for upstream in shared["upstreams"]:
        if upstream["name"] in drained_names:
            upstream.setdefault("draining", True)
    return shared


def _newest_revision(site: OperatorSite) -> int | None:
    try:
        return ConfigurationStore(site.key_value).read().revision
    except PlatformError:
        return None


def _format_changes(heading: str, changes: list[Change]) -> str:
    if not changes:
        return f"{heading}: no changes\n"
    return f"{heading}:\n" + "".join(f"  {change}\n" for change in changes)


def _format_applied(stored: StoredConfiguration, changes: list[Change]) -> str:
    if not changes:
        return f"nothing to change: revision {stored.revision} contains the same settings"
    count = f"{len(changes)} change" + ("" if len(changes) == 1 else "s")
    return f"revision {stored.revision} accepted, {count}"


def _format_status(revisions: Revisions, newest: int | None) -> str:
    rows: list[list[Any]] = [list(asdict(row).values()) for row in revisions.rows]
    stored = "no response" if newest is None else f"revision {newest}"
    return (
        f"key-value service: {stored}\n"
        + format_table(["vm", "zone", "revision", "source"], rows)
        + f"\n{revisions.answers.silent_text()}"
    )
