"""Cross-reference checks: every name that is referred to must be defined exactly once."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator

from azureturn.settings._types import ALL_ORGANISATIONS, SharedSettings, UpstreamKind

#: A JSON path below the shared settings, and a description of the mistake at that path.
Finding = tuple[str, str]
ReferenceCheck = Callable[[SharedSettings], Iterable[Finding]]

#: Maximum number of allowed names that a message lists; a site may have thousands.
MAX_LISTED_NAMES = 12

_CHECKS: list[ReferenceCheck] = []


def reference_check(check: ReferenceCheck) -> ReferenceCheck:
    """Register a check that :func:`reference_mistakes` runs."""
    _CHECKS.append(check)
    return check


def reference_mistakes(shared: SharedSettings) -> list[Finding]:
    """Run all registered checks and return their findings."""
    return [finding for check in _CHECKS for finding in check(shared)]


def _format_allowed(names: Iterable[str]) -> str:
    allowed = sorted(names)
    if len(allowed) > MAX_LISTED_NAMES:
        return f"{', '.join(allowed[:MAX_LISTED_NAMES])} and {len(allowed) - MAX_LISTED_NAMES} more"
    return ", ".join(allowed) or "none are defined"


@reference_check
def _names_are_unique(shared: SharedSettings) -> Iterator[Finding]:
    for table in ("tiers", "organisations", "routes", "upstreams"):
        counts = Counter(item.name for item in getattr(shared, table))
        for index, item in enumerate(getattr(shared, table)):
            if counts[item.name] > 1:
                yield f".{table}[{index}].name", f"'{item.name}' is defined more than once"


@reference_check
def _tokens_are_unique(shared: SharedSettings) -> Iterator[Finding]:
    counts = Counter(organisation.token for organisation in shared.organisations)
    for index, organisation in enumerate(shared.organisations):
        if counts[organisation.token] > 1:
            yield f".organisations[{index}].token", "two organisations have the same token"


@reference_check
def _tiers_exist(shared: SharedSettings) -> Iterator[Finding]:
    tiers = {tier.name for tier in shared.tiers}
    for table in ("routes", "objectives"):
        for index, item in enumerate(getattr(shared, table)):
            if item.tier not in tiers:
                message = f"unknown tier '{item.tier}'; allowed: {_format_allowed(tiers)}"
                yield f".{table}[{index}].tier", message


@reference_check
def _objectives_name_organisations(shared: SharedSettings) -> Iterator[Finding]:
    names = {organisation.name for organisation in shared.organisations}
    for index, objective in enumerate(shared.objectives):
        if objective.organisation not in names | {ALL_ORGANISATIONS}:
            allowed = _format_allowed(names | {ALL_ORGANISATIONS})
            message = f"unknown organisation '{objective.organisation}'; allowed: {allowed}"
            yield f".objectives[{index}].organisation", message


@reference_check
def _objectives_are_unique(shared: SharedSettings) -> Iterator[Finding]:
    counts = Counter((objective.tier, objective.organisation) for objective in shared.objectives)
    for index, objective in enumerate(shared.objectives):
        if counts[(objective.tier, objective.organisation)] > 1:
            message = (
                f"tier '{objective.tier}' has two objectives for organisation "
                f"'{objective.organisation}'"
            )
            yield f".objectives[{index}]", message


@reference_check
def _targets_are_served(shared: SharedSettings) -> Iterator[Finding]:
    served_targets = {target for upstream in shared.upstreams for target in upstream.targets}
    for index, route in enumerate(shared.routes):
        if route.target not in served_targets:
            message = (
                f"no upstream serves '{route.target}'; allowed: {_format_allowed(served_targets)}"
            )
            yield f".routes[{index}].target", message


@reference_check
def _plain_routes_have_paths(shared: SharedSettings) -> Iterator[Finding]:
    plain_targets = {
        target
        for upstream in shared.upstreams
        if upstream.kind is UpstreamKind.PLAIN_SERVICE
        for target in upstream.targets
    }
    for index, route in enumerate(shared.routes):
        if route.target in plain_targets and not route.path.startswith("/"):
            message = "a route to a plain service needs a path that starts with /"
            yield f".routes[{index}].path", message
