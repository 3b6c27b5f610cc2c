"""Operator queries for recent refusals and for service levels over time windows."""

from azureturn._time_of_day import unix_now_ms
from azureturn.daemon._context import DaemonContext
from azureturn.daemon._operators import operator_query
from azureturn.observability import LONGEST_WINDOW_MS, SliWindow
from azureturn.peers import (
    LatencyHistogram,
    Refusals,
    RefusalsArgument,
    ServiceLevelArgument,
    ServiceLevelCell,
    ServiceLevelPoint,
    ServiceLevels,
    ServiceLevelWindow,
)

#: Maximum number of windows in one query; further ones are ignored.
WINDOW_LIMIT = 32


@operator_query("requests.refused", RefusalsArgument)
def _requests_refused(context: DaemonContext, argument: RefusalsArgument) -> Refusals:
    refusals = context.accounting.refusals
    return Refusals(
        refusals=refusals.latest(argument.limit or 0),
        forgotten_count=refusals.forgotten_count,
    )


@operator_query("slo.windows", ServiceLevelArgument)
def _service_levels(context: DaemonContext, argument: ServiceLevelArgument) -> ServiceLevels:
    levels = context.accounting.service_levels
    at_ms = unix_now_ms()
    windows = [
        window_struct(window_ms, levels.window(window_ms, now_unix_ms=at_ms))
        for window_ms in (argument.window_ms or [])[:WINDOW_LIMIT]
        if 0 < window_ms <= LONGEST_WINDOW_MS
    ]
    points = levels.series(
        argument.series_step_ms or 0, argument.series_window_ms or 0, now_unix_ms=at_ms
    )
    series = [
        ServiceLevelPoint(
            began_at_unix_ms=began_at,
            tier=tier,
            good_count=counts.good_count,
            bad_count=counts.bad_count,
        )
        for began_at, tier, counts in points
    ]
    return ServiceLevels(
        observed_since_unix_ms=levels.started_at_unix_ms, windows=windows, series=series
    )


def window_struct(window_ms: int, window: SliWindow) -> ServiceLevelWindow:
    """Return the thrift struct of a window."""
    cells = [
        ServiceLevelCell(
            tier=key.tier,
            organisation=key.organisation,
            route=key.route,
            upstream=key.upstream,
            version=key.version,
            error_kind=key.error_kind,
            good_count=counts.good_count,
            bad_count=counts.bad_count,
        )
        for key, counts in window.cells.items()
    ]
    latencies = []
    for tier, sketch in window.latencies.items():
        bins = sketch.bins()
        latencies.append(
            LatencyHistogram(tier=tier, bin_keys=list(bins), bin_counts=list(bins.values()))
        )
    return ServiceLevelWindow(window_ms=window_ms, cells=cells, latencies=latencies)
