"""``azureturn slo``: the report on error-budget burn."""

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
    required_windows,
)
from azureturn.command._configuration_store import ConfigurationStore
from azureturn.command._exit_codes import ExitCode
from azureturn.command._options import SiteOptions
from azureturn.command._output import Colour, Output, format_table
from azureturn.command._site import OperatorSite, VmAnswers, require_answers
from azureturn.errors import PlatformError
from azureturn.observability import (
    HOUR_MS,
    MINUTE_MS,
    UNKNOWN_TIER,
    LatencySketch,
    SliCounts,
    SliKey,
    SliWindow,
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
    """Time since which a VM has counted requests; a restart discards earlier counts."""

    vm: str
    counts_since: str
    counted_ms: int


@dataclass(frozen=True)
class SloReport:
    """The state of every objective, from all VMs that responded."""

    objectives: tuple[ObjectiveReport, ...]
    coverage: tuple[VmCoverage, ...]
    #: Requests refused in the last hour before their tier was known, by error kind.
    refused_before_tier_known: dict[str, int]
    #: Percentage of bad requests per minute, oldest first, up to the current minute.
    bad_percent_by_minute: tuple[float, ...]

    @classmethod
    def from_answers(
        cls,
        objectives: tuple[ObjectiveSettings, ...],
        answers: VmAnswers[ServiceLevels],
        *,
        now_unix_ms: int,
    ) -> "SloReport":
        """Merge the VMs' windows and evaluate each objective."""
        windows = _merge_windows([vm_answer.answer for vm_answer in answers.answered])
        return cls(
            objectives=tuple(report_objective(objective, windows) for objective in objectives),
            coverage=tuple(
                VmCoverage(
                    vm_answer.vm.name,
                    _iso_time(vm_answer.answer.observed_since_unix_ms),
                    max(0, now_unix_ms - vm_answer.answer.observed_since_unix_ms),
                )
                for vm_answer in answers.answered
            ),
            refused_before_tier_known=_refused_before_tier_known(windows),
            bad_percent_by_minute=_bad_percent_by_minute(
                [vm_answer.answer for vm_answer in answers.answered], now_unix_ms
            ),
        )


@cappa.command(name="report", help="Show how fast each objective's error budget is consumed.")
@dataclass(frozen=True)
class SloReportCommand:
    """``azureturn slo report``."""

    options: cappa.Destructured[SiteOptions]

    def __call__(self) -> ExitCode:
        """Query the windows of all VMs, merge them and evaluate each objective."""
        site = OperatorSite.from_options(self.options)
        objectives = _objectives(site)
        argument = ServiceLevelArgument(
            window_ms=required_windows(objectives),
            series_step_ms=MINUTE_MS,
            series_window_ms=PLOT_MINUTES * MINUTE_MS,
        )
        answers = site.query_all("slo.windows", argument, ServiceLevels)
        require_answers(answers)
        report = SloReport.from_answers(objectives, answers, now_unix_ms=unix_now_ms())
        document = {**asdict(report), "silent": answers.silent_documents()}
        output = Output.to_stdout(as_json=self.options.json)
        text = format_report(report, output) + answers.silent_text()
        output.write(document, text)
        return answers.exit_code


@cappa.command(name="slo", help="Show service levels.")
@dataclass(frozen=True)
class SloCommand:
    """``azureturn slo``."""

    command: cappa.Subcommands[SloReportCommand]


def format_report(report: SloReport, output: Output) -> str:
    """Format the report as text for a terminal."""
    parts = [_objectives_table(report.objectives, output)]
    parts += [
        _format_contributors(objective) for objective in report.objectives if objective.contributors
    ]
    if any(report.bad_percent_by_minute):
        parts.append(_plot(report.bad_percent_by_minute))
    parts.append(_format_refused(report) + _format_coverage(report))
    return "\n".join(parts)


def _objectives(site: OperatorSite) -> tuple[ObjectiveSettings, ...]:
    """Return the stored objectives, or those of the files if none are stored or readable."""
    try:
        stored = ConfigurationStore(site.key_value).read()
    except PlatformError:
        return site.settings.shared.objectives
    if not stored.revision:
        return site.settings.shared.objectives
    return check_shared_settings(stored.document).objectives


def _merge_windows(answers: Sequence[ServiceLevels]) -> dict[int, SliWindow]:
    merged: dict[int, SliWindow] = {}
    for answer in answers:
        for encoded_window in answer.windows:
            merged.setdefault(encoded_window.window_ms, SliWindow()).merge(
                _decode_window(encoded_window)
            )
    return merged


def _decode_window(encoded_window: ServiceLevelWindow) -> SliWindow:
    window = SliWindow()
    for cell in encoded_window.cells:
        key = SliKey(
            cell.tier, cell.organisation, cell.route, cell.upstream, cell.version, cell.error_kind
        )
        window.add(key, SliCounts(cell.good_count, cell.bad_count))
    for histogram in encoded_window.latencies:
        bins = dict(zip(histogram.bin_keys, histogram.bin_counts, strict=True))
        window.latencies[histogram.tier] = LatencySketch(bins)
    return window


def _refused_before_tier_known(windows: dict[int, SliWindow]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for key, cell_counts in windows.get(HOUR_MS, SliWindow()).cells.items():
        if key.tier == UNKNOWN_TIER:
            counts[key.error_kind] = counts.get(key.error_kind, 0) + cell_counts.bad_count
    return dict(sorted(counts.items()))


def _bad_percent_by_minute(answers: Sequence[ServiceLevels], now_unix_ms: int) -> tuple[float, ...]:
    current = now_unix_ms - now_unix_ms % MINUTE_MS
    totals: dict[int, SliCounts] = {}
    for answer in answers:
        for point in answer.series:
            counts = SliCounts(point.good_count, point.bad_count)
            totals[point.began_at_unix_ms] = (
                totals.get(point.began_at_unix_ms, SliCounts()) + counts
            )
    minutes = [current - age * MINUTE_MS for age in range(PLOT_MINUTES - 1, -1, -1)]
    return tuple(
        round(_PERCENT * totals.get(began_at, SliCounts()).bad_share, 2) for began_at in minutes
    )


def _objectives_table(objectives: Sequence[ObjectiveReport], output: Output) -> str:
    headings = ["tier", "organisation", "target", "window", "good", "bad", "budget left"]
    first_burn_rates = objectives[0].burns if objectives else ()
    headings += [
        f"{_format_duration(rates.long_ms)}/{_format_duration(rates.short_ms)}"
        for rates in first_burn_rates
    ]
    headings += ["p50 ms", "p95 ms", "p99 ms", "verdict"]
    rows = [_objective_row(objective, output) for objective in objectives]
    note = "burn rates: long window/short window; an alert requires both above the threshold\n"
    return format_table(headings, rows) + "\n" + note


def _objective_row(objective: ObjectiveReport, output: Output) -> list[object]:
    colour = Colour.GOOD if objective.verdict == VERDICT_OK else Colour.BAD
    burn_rates = [f"{rates.long_rate:.1f}/{rates.short_rate:.1f}" for rates in objective.burns]
    latency = objective.latency
    return [
        objective.tier,
        objective.organisation,
        f"{_PERCENT * objective.target:g}%",
        _format_duration(objective.window_ms),
        objective.good_count,
        objective.bad_count,
        f"{_PERCENT * objective.budget_left:.0f}%",
        *burn_rates,
        *(f"{value:.0f}" for value in (latency.p50_ms, latency.p95_ms, latency.p99_ms)),
        output.coloured(objective.verdict, colour),
    ]


def _format_contributors(objective: ObjectiveReport) -> str:
    rows = [
        [
            contributor.route,
            contributor.upstream,
            contributor.version,
            contributor.error_kind,
            contributor.bad_count,
            f"{_PERCENT * contributor.bad_share:.0f}%",
        ]
        for contributor in objective.contributors
    ]
    heading = f"worst contributors, tier {objective.tier}, organisation {objective.organisation}:\n"
    columns = ["route", "upstream", "version", "error kind", "bad", "share"]
    return heading + format_table(columns, rows) + "\n"


def _plot(bad_percent_by_minute: Sequence[float]) -> str:
    figure = plotext.figure
    figure.clear()
    figure.plot_size(PLOT_WIDTH, PLOT_HEIGHT)
    minutes = list(range(1 - len(bad_percent_by_minute), 1))
    figure.draw(figure.bar(minutes, list(bad_percent_by_minute), marker="#"))
    figure.ruler("y").lim(0, max(bad_percent_by_minute))
    figure.title("percentage of bad requests by minute")
    plot_text = str(figure.build().string(True))
    return "\n".join(line.rstrip() for line in plot_text.splitlines()) + "\n"


def _format_refused(report: SloReport) -> str:
    return "".join(
        f"refused in the last hour before the tier was known: {count} with {kind}\n"
        for kind, count in report.refused_before_tier_known.items()
    )


def _format_coverage(report: SloReport) -> str:
    longest_ms = max((coverage.window_ms for coverage in report.objectives), default=0)
    recently_started = [
        coverage for coverage in report.coverage if coverage.counted_ms < longest_ms
    ]
    summary = f"counted by {len(report.coverage)} VMs"
    if not recently_started:
        return summary + "\n"
    latest = min(recently_started, key=lambda coverage: coverage.counted_ms)
    return (
        f"{summary}; {len(recently_started)} of them started within the longest window and have "
        f"no earlier counts, most recently {latest.vm} at {latest.counts_since}\n"
    )


def _format_duration(window_ms: int) -> str:
    hours, remainder_ms = divmod(window_ms, HOUR_MS)
    return f"{hours}h" if hours and not remainder_ms else f"{window_ms // MINUTE_MS}m"


def _iso_time(unix_ms: int) -> str:
    return datetime.fromtimestamp(unix_ms / _MS_PER_S, UTC).isoformat(timespec="seconds")
