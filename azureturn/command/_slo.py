"""``azureturn slo``: the report on service-level burn."""

from collections.abc import Sequence
from dataclasses import asdict, dataclass
from datetime import UTC, datetime

import cappa
import plotext

from azureturn._time_of_day import unix_now_ms
from azureturn.command._burn import (
    VERDICT_OK,
    ObjectiveReport,
    report_objective,
    windows_needed,
)
from azureturn.command._configuration_store import ConfigurationStore
from azureturn.command._exit_codes import ExitCode
from azureturn.command._options import SiteOptions
from azureturn.command._output import Colour, Output, table
from azureturn.command._site import OperatorSite, VmAnswers, require_answers
from azureturn.errors import PlatformError
from azureturn.observability import (
    HOUR_MS,
    MINUTE_MS,
    UNKNOWN_TIER,
    LatencySketch,
    LevelCounts,
    LevelKey,
    LevelWindow,
)
from azureturn.peers import ServiceLevelArgument, ServiceLevels, ServiceLevelWindow
from azureturn.settings import ObjectiveSettings, check_shared_settings

PLOT_WIDTH = 72
PLOT_HEIGHT = 9
PLOT_MINUTES = 60
_MS_PER_S = 1_000
_PERCENT = 100.0


@dataclass(frozen=True)
class VmCoverage:
    """Since when a VM has counted; what it had counted before its start is gone."""

    vm: str
    counts_since: str
    counted_ms: int


@dataclass(frozen=True)
class SloReport:
    """The state of every objective, from all VMs that answered."""

    objectives: tuple[ObjectiveReport, ...]
    coverage: tuple[VmCoverage, ...]
    #: Requests of the last hour that were refused before their tier was known, by error kind.
    refused_before_tier_known: dict[str, int]
    #: Bad requests in 100 by minute, oldest first, the last being the present minute.
    bad_percent_by_minute: tuple[float, ...]

    @classmethod
    def from_answers(
        cls,
        objectives: tuple[ObjectiveSettings, ...],
        answers: VmAnswers[ServiceLevels],
        *,
        now_unix_ms: int,
    ) -> "SloReport":
        """Add up what the VMs told and judge each objective by it."""
        windows = _merged_windows([one.answer for one in answers.answered])
        return cls(
            objectives=tuple(report_objective(one, windows) for one in objectives),
            coverage=tuple(
                VmCoverage(
                    one.vm.name,
                    _iso_time(one.answer.observed_since_unix_ms),
                    max(0, now_unix_ms - one.answer.observed_since_unix_ms),
                )
                for one in answers.answered
            ),
            refused_before_tier_known=_refused_before_tier_known(windows),
            bad_percent_by_minute=_bad_percent_by_minute(
                [one.answer for one in answers.answered], now_unix_ms
            ),
        )


@cappa.command(name="report", help="Show how fast each objective's budget is being used up.")
@dataclass(frozen=True)
class SloReportCommand:
    """``azureturn slo report``."""

    options: cappa.Destructured[SiteOptions]

    def __call__(self) -> ExitCode:
        """Ask every VM for its windows, add them up and judge each objective."""
        site = OperatorSite.from_options(self.options)
        objectives = _objectives(site)
        argument = ServiceLevelArgument(
            window_ms=windows_needed(objectives),
            series_step_ms=MINUTE_MS,
            series_window_ms=PLOT_MINUTES * MINUTE_MS,
        )
        answers = site.ask_all("slo.windows", argument, ServiceLevels)
        require_answers(answers)
        report = SloReport.from_answers(objectives, answers, now_unix_ms=unix_now_ms())
        document = {**asdict(report), "silent": answers.silent_documents()}
        output = Output.to_stdout(as_json=self.options.json)
        text = report_text(report, output) + answers.silent_text()
        output.write(document, text)
        return answers.exit_code


@cappa.command(name="slo", help="See service levels.")
@dataclass(frozen=True)
class SloCommand:
    """``azureturn slo``."""

    command: cappa.Subcommands[SloReportCommand]


def report_text(report: SloReport, output: Output) -> str:
    """Return the report as an operator reads it in a terminal."""
    parts = [_objectives_table(report.objectives, output)]
    parts += [_contributors_text(one) for one in report.objectives if one.contributors]
    if any(report.bad_percent_by_minute):
        parts.append(_plot(report.bad_percent_by_minute))
    parts.append(_refused_text(report) + _coverage_text(report))
    return "\n".join(parts)


def _objectives(site: OperatorSite) -> tuple[ObjectiveSettings, ...]:
    """Return the objectives in force, or the files' where the service does not answer."""
    try:
        stored = ConfigurationStore(site.key_value).read()
    except PlatformError:
        return site.settings.shared.objectives
    if not stored.revision:
        return site.settings.shared.objectives
    return check_shared_settings(stored.document).objectives


def _merged_windows(answers: Sequence[ServiceLevels]) -> dict[int, LevelWindow]:
    merged: dict[int, LevelWindow] = {}
    for answer in answers:
        for told in answer.windows:
            merged.setdefault(told.window_ms, LevelWindow()).merge(_window_of(told))
    return merged


def _window_of(told: ServiceLevelWindow) -> LevelWindow:
    window = LevelWindow()
    for cell in told.cells:
        key = LevelKey(
            cell.tier, cell.organisation, cell.route, cell.upstream, cell.version, cell.error_kind
        )
        window.add(key, LevelCounts(cell.good_count, cell.bad_count))
    for one in told.latencies:
        bins = dict(zip(one.bin_keys, one.bin_counts, strict=True))
        window.latencies[one.tier] = LatencySketch(bins)
    return window


def _refused_before_tier_known(windows: dict[int, LevelWindow]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for key, told in windows.get(HOUR_MS, LevelWindow()).cells.items():
        if key.tier == UNKNOWN_TIER:
            counts[key.error_kind] = counts.get(key.error_kind, 0) + told.bad_count
    return dict(sorted(counts.items()))


def _bad_percent_by_minute(answers: Sequence[ServiceLevels], now_unix_ms: int) -> tuple[float, ...]:
    present = now_unix_ms - now_unix_ms % MINUTE_MS
    totals: dict[int, LevelCounts] = {}
    for answer in answers:
        for point in answer.series:
            counts = LevelCounts(point.good_count, point.bad_count)
            totals[point.began_at_unix_ms] = (
                totals.get(point.began_at_unix_ms, LevelCounts()) + counts
            )
    minutes = [present - age * MINUTE_MS for age in range(PLOT_MINUTES - 1, -1, -1)]
    return tuple(
        round(_PERCENT * totals.get(began_at, LevelCounts()).bad_share, 2) for began_at in minutes
    )


def _objectives_table(objectives: Sequence[ObjectiveReport], output: Output) -> str:
    headings = ["tier", "organisation", "target", "window", "good", "bad", "budget left"]
    first = objectives[0].burns if objectives else ()
    headings += [f"{_span(burn.long_ms)}/{_span(burn.short_ms)}" for burn in first]
    headings += ["p50 ms", "p95 ms", "p99 ms", "verdict"]
    rows = [_objective_row(one, output) for one in objectives]
    note = "burn rates: long window/short window; a verdict needs both above the threshold\n"
    return table(headings, rows) + "\n" + note


def _objective_row(one: ObjectiveReport, output: Output) -> list[object]:
    colour = Colour.GOOD if one.verdict == VERDICT_OK else Colour.BAD
    rates = [f"{burn.long_rate:.1f}/{burn.short_rate:.1f}" for burn in one.burns]
    latency = one.latency
    return [
        one.tier,
        one.organisation,
        f"{_PERCENT * one.target:g}%",
        _span(one.window_ms),
        one.good_count,
        one.bad_count,
        f"{_PERCENT * one.budget_left:.0f}%",
        *rates,
        *(f"{value:.0f}" for value in (latency.p50_ms, latency.p95_ms, latency.p99_ms)),
        output.coloured(one.verdict, colour),
    ]


def _contributors_text(one: ObjectiveReport) -> str:
    rows = [
        [
            item.route,
            item.upstream,
            item.version,
            item.error_kind,
            item.bad_count,
            f"{_PERCENT * item.bad_share:.0f}%",
        ]
        for item in one.contributors
    ]
    heading = f"worst contributors, tier {one.tier}, organisation {one.organisation}:\n"
    columns = ["route", "upstream", "version", "error kind", "bad", "share"]
    return heading + table(columns, rows) + "\n"


def _plot(bad_percent_by_minute: Sequence[float]) -> str:
    figure = plotext.figure
    figure.clear()
    figure.plot_size(PLOT_WIDTH, PLOT_HEIGHT)
    minutes = list(range(1 - len(bad_percent_by_minute), 1))
    figure.draw(figure.bar(minutes, list(bad_percent_by_minute), marker="#"))
    figure.ruler("y").lim(0, max(bad_percent_by_minute))
    figure.title("bad requests in 100, by minute")
    drawn = str(figure.build().string(True))
    return "\n".join(line.rstrip() for line in drawn.splitlines()) + "\n"


def _refused_text(report: SloReport) -> str:
    return "".join(
        f"refused in the last hour before the tier was known: {count} with {kind}\n"
        for kind, count in report.refused_before_tier_known.items()
    )


def _coverage_text(report: SloReport) -> str:
    longest_ms = max((one.window_ms for one in report.objectives), default=0)
    young = [one for one in report.coverage if one.counted_ms < longest_ms]
    counted = f"counted by {len(report.coverage)} VMs"
    if not young:
        return counted + "\n"
    first = min(young, key=lambda one: one.counted_ms)
    return (
        f"{counted}; {len(young)} of them started within the longest window and keep no count of "
        f"before, {first.vm} last, at {first.counts_since}\n"
    )


def _span(window_ms: int) -> str:
    hours, rest_ms = divmod(window_ms, HOUR_MS)
    return f"{hours}h" if hours and not rest_ms else f"{window_ms // MINUTE_MS}m"


def _iso_time(unix_ms: int) -> str:
    return datetime.fromtimestamp(unix_ms / _MS_PER_S, UTC).isoformat(timespec="seconds")
