"""The criteria for rolling a new version back."""

from collections.abc import Iterable, Mapping

from azureturn.gateway.decisions._route_evidence import (
    Comparison,
    RouteEvidence,
    RouteKey,
    compare_on_route,
)
from azureturn.gateway.decisions._version_counts import VersionCount

#: Minimum number of answers of a version before its mean time is compared, so that a few slow ones
#: do not decide, and of streams for its pace.
_MIN_ANSWERS = 20
_MIN_STREAMS = 8
#: A new version that is slower than the old one by more than this factor is rolled back: in the
#: time to the first event or plain answer, or in the pace of its streams.
_SLOWDOWN_LIMIT = 2.2


def compare_versions(
    service: str,
    new_version: str,
    sources: Iterable[Mapping[RouteKey, RouteEvidence]],
    *,
    is_side_by_side: bool,
) -> Comparison:
    """Compare the versions of a service on each route by the evidence of all VMs."""
    by_route: dict[str, dict[bool, RouteEvidence]] = {}
    for evidence in sources:
        for key, row in evidence.items():
            if key.service == service:
                versions = by_route.setdefault(key.route, {})
                is_new = key.version == new_version
                known = versions.get(is_new)
                versions[is_new] = row if known is None else known.plus(row)
    is_suspected = False
    for route, versions in by_route.items():
        new, old = versions.get(True, RouteEvidence()), versions.get(False, RouteEvidence())
        comparison = compare_on_route(new, old, is_side_by_side=is_side_by_side)
        if comparison.regression:
            return Comparison(f"route {route or '(all)'}: {comparison.regression}")
        is_suspected |= comparison.is_suspected
    return Comparison(is_suspected=is_suspected)


def slowdown_reason(new: VersionCount, old: VersionCount) -> str:
    """Return in what a new version is measurably slower than the old one; empty if in nothing."""
    return _slower_start_reason(new, old) or _slower_streams_reason(new, old)


def _slower_start_reason(new: VersionCount, old: VersionCount) -> str:
    if min(new.answers, old.answers) < _MIN_ANSWERS:
        return ""
    new_ms, old_ms = new.time_ms / new.answers, old.time_ms / old.answers
    if new_ms <= _SLOWDOWN_LIMIT * old_ms:
        return ""
    return f"{new_ms:.0f} ms to the first event of {new.answers} answers, before {old_ms:.0f} ms"


def _slower_streams_reason(new: VersionCount, old: VersionCount) -> str:
    if min(new.pace.streams, old.pace.streams) < _MIN_STREAMS:
        return ""
    new_ms, old_ms = new.pace.ms_per_event, old.pace.ms_per_event
    if new_ms <= _SLOWDOWN_LIMIT * old_ms:
        return ""
    return f"{new_ms:.0f} ms an event in {new.pace.streams} streams, before {old_ms:.0f} ms"
