"""``azureturn move``: shift a model's requests to another version in stages."""

import secrets
from dataclasses import asdict, dataclass
from typing import Annotated, Any

import cappa

from azureturn._time_of_day import unix_now_ms
from azureturn.command._errors import CommandError
from azureturn.command._exit_codes import ExitCode
from azureturn.command._move_store import MoveStore
from azureturn.command._options import SiteOptions, WaitOptions
from azureturn.command._output import Output, format_table
from azureturn.command._site import OperatorSite
from azureturn.command._waiting import Progress, wait_until_done
from azureturn.core.moves import MoveRecord, MoveRecordError, MoveState, StoredMove
from azureturn.errors import ErrorKind
from azureturn.settings import SharedSettings

_MS_PER_S = 1_000
_MOVE_ID_BYTES = 6
_PERCENT = 100.0
_HEADINGS = ("model", "move", "from", "to", "state", "reason", "share", "left_s", "detail")


@cappa.command(name="start", help="Move a model to another version, or roll back by the deadline.")
@dataclass(frozen=True)
class MoveStart:
    """``azureturn move start``."""

    model: Annotated[str, cappa.Arg(help="The model's name.")]
    to_version: Annotated[str, cappa.Arg(help="The version to move to.")]
    options: cappa.Destructured[SiteOptions]
    waiting: cappa.Destructured[WaitOptions]
    deadline_s: Annotated[
        float,
        cappa.Arg(
            long=True, help="Seconds until all requests must have moved; otherwise roll back."
        ),
    ] = 3_600.0
    from_version: Annotated[
        str, cappa.Arg(long=True, show_default=False, help="The version that serves currently.")
    ] = ""
    stages: Annotated[
        str, cappa.Arg(long=True, help="Increasing shares in percent, separated by commas.")
    ] = "1,5,25,50,100"
    samples: Annotated[
        int, cappa.Arg(long=True, help="Requests to the new version required in each stage.")
    ] = 30
    route_samples: Annotated[
        int, cappa.Arg(long=True, help="Requests required of each route before the second stage.")
    ] = 12
    stage_s: Annotated[
        float, cappa.Arg(long=True, help="Minimum duration of a stage in seconds.")
    ] = 20.0
    baking_s: Annotated[
        float, cappa.Arg(long=True, help="Seconds of evaluation after all requests have moved.")
    ] = 300.0

    def __call__(self) -> ExitCode:
        """Write the move's record; with ``--wait``, wait until all requests moved or it ended."""
        site = OperatorSite.from_options(self.options)
        store = MoveStore(site.key_value)
        output = Output.to_stdout(as_json=self.options.json)
        try:
            stored = store.start(self._record(site, store))
        except MoveRecordError as error:
            raise CommandError(
                ErrorKind.MALFORMED_REQUEST,
                error.message,
                advice="see 'azureturn move start --help'",
            ) from error
        record = stored.record
        text = f"move {record.move_id}: {record.model} {record.from_version} > {record.to_version}"
        output.write(move_document(stored), text)
        if not self.waiting.wait:
            return ExitCode.OK
        code = wait_until_done(lambda: _progress(store, record), self.waiting, output)
        last = store.read(record.model)
        failed = last is not None and last.record.state in (
            MoveState.TAKEN_BACK,
            MoveState.ABORTED,
        )
        return ExitCode.FAILED if code is ExitCode.OK and failed else code

    def _record(self, site: OperatorSite, store: MoveStore) -> MoveRecord:
        now_ms = unix_now_ms()
        return MoveRecord(
            move_id=secrets.token_hex(_MOVE_ID_BYTES),
            model=self.model,
            from_version=self.from_version or _serving_version(site, store, self.model),
            to_version=self.to_version,
            started_unix_ms=now_ms,
            deadline_unix_ms=now_ms + round(self.deadline_s * _MS_PER_S),
            stages=_parse_shares(self.stages),
            samples_per_stage=self.samples,
            samples_per_route=self.route_samples,
            stage_min_ms=round(self.stage_s * _MS_PER_S),
            baking_ms=round(self.baking_s * _MS_PER_S),
        )


@cappa.command(name="show", help="Show a model's current or last move.")
@dataclass(frozen=True)
class MoveShow:
    """``azureturn move show``."""

    model: Annotated[str, cappa.Arg(help="The model's name.")]
    options: cappa.Destructured[SiteOptions]

    def __call__(self) -> ExitCode:
        """Read and show the record."""
        site = OperatorSite.from_options(self.options)
        stored = MoveStore(site.key_value).read(self.model)
        if stored is None:
            raise CommandError(
                ErrorKind.NOT_FOUND,
                f"no move of '{self.model}' exists",
                advice="list the moves with 'azureturn move list'",
            )
        rows = [[name, value] for name, value in move_document(stored).items()]
        output = Output.to_stdout(as_json=self.options.json)
        output.write(move_document(stored), format_table(["field", "value"], rows))
        return ExitCode.OK


@cappa.command(name="list", help="Show the current or last move of every model.")
@dataclass(frozen=True)
class MoveList:
    """``azureturn move list``."""

    options: cappa.Destructured[SiteOptions]

    def __call__(self) -> ExitCode:
        """Read and show all records."""
        site = OperatorSite.from_options(self.options)
        moves = MoveStore(site.key_value).read_all()
        document = {"moves": [move_document(move) for move in moves]}
        output = Output.to_stdout(as_json=self.options.json)
        output.write(document, format_table(_HEADINGS, [_table_row(move.record) for move in moves]))
        return ExitCode.OK


@cappa.command(name="abort", help="Abort a move and return all requests to the old version.")
@dataclass(frozen=True)
class MoveAbort:
    """``azureturn move abort``."""

    model: Annotated[str, cappa.Arg(help="The model's name.")]
    options: cappa.Destructured[SiteOptions]

    def __call__(self) -> ExitCode:
        """Abort the move, unless it has ended already; exit with 3 if it ended otherwise."""
        site = OperatorSite.from_options(self.options)
        stored = MoveStore(site.key_value).abort(self.model)
        record = stored.record
        output = Output.to_stdout(as_json=self.options.json)
        output.write(move_document(stored), f"move {record.move_id} is {record.state.value}")
        return ExitCode.OK if record.state is MoveState.ABORTED else ExitCode.CONFLICT


@cappa.command(name="move", help="Move models to other versions in evaluated stages.")
@dataclass(frozen=True)
class MoveCommand:
    """``azureturn move``."""

    command: cappa.Subcommands[MoveStart | MoveShow | MoveList | MoveAbort]


def move_document(stored: StoredMove) -> dict[str, Any]:
    """Return a move as a JSON object, with the traffic share that follows from its state."""
    document = asdict(stored.record)
    return {**document, "share": stored.record.share, "revision": stored.revision}


def _table_row(record: MoveRecord) -> list[object]:
    left_s = 0
    if not record.ended and not record.moved_unix_ms:
        left_s = max(0, record.deadline_unix_ms - unix_now_ms()) // _MS_PER_S
    return [
        record.model,
        record.move_id,
        record.from_version,
        record.to_version,
        record.state.value,
        record.reason.value,
        f"{record.share:.0%}",
        left_s,
        record.detail,
    ]


def _progress(store: MoveStore, record: MoveRecord) -> Progress:
    stored = store.read(record.model)
    if stored is None or stored.record.move_id != record.move_id:
        return Progress(done=True, text="a later move has replaced this one")
    current = stored.record
    text = f"{current.state.value} at {current.share:.0%}"
    if current.detail:
        text += f": {current.reason.value}, {current.detail}"
    return Progress(done=current.ended or current.moved_unix_ms > 0, text=text)


def _serving_version(site: OperatorSite, store: MoveStore, model: str) -> str:
    """Return the version that serves after the last move, or the settings' if there was none."""
    last = store.read(model)
    if last is not None:
        return last.record.serving_version
    shared: SharedSettings = site.settings.shared
    versions = {upstream.version for upstream in shared.upstreams if model in upstream.targets}
    if len(versions) != 1:
        raise CommandError(
            ErrorKind.NOT_FOUND,
            f"the settings name {len(versions)} versions of '{model}'",
            advice="name the version that serves with --from-version",
        )
    return versions.pop()


def _parse_shares(text: str) -> tuple[float, ...]:
    try:
        return tuple(float(percentage) / _PERCENT for percentage in text.split(","))
    except ValueError as error:
        raise MoveRecordError(f"'{text}' is not a list of percentages") from error
