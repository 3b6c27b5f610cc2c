"""Checks that go across settings: every name that is referred to must exist, once."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator

from azureturn.settings._types import EVERY_ORGANISATION, SharedSettings, UpstreamKind

#: A path below the shared settings, and what is wrong there.
Finding = tuple[str, str]
ReferenceCheck = Callable[[SharedSettings], Iterable[Finding]]

#: Allowed names that a mistake lists; a site may have thousands.
NAMES_SHOWN = 12

_CHECKS: list[ReferenceCheck] = []


def reference_check(check: ReferenceCheck) -> ReferenceCheck:
    """Register a check that :func:`reference_mistakes` runs."""
    _CHECKS.append(check)
    return check


def reference_mistakes(shared: SharedSettings) -> list[Finding]:
    """Return what every registered check finds."""
    return [finding for check in _CHECKS for finding in check(shared)]


def _allowed(names: Iterable[str]) -> str:
    known = sorted(names)
    if len(known) > NAMES_SHOWN:
        return f"{', '.join(known[:NAMES_SHOWN])} and {len(known) - NAMES_SHOWN} more"
    return ", ".join(known) or "none are defined"


@reference_check
def _names_are_unique(shared: SharedSettings) -> Iterator[Finding]:
    for table in ("tiers", "organisations", "routes", "upstreams"):
        counts = Counter(item.name for item in getattr(shared, table))
        for index, item in enumerate(getattr(shared, table)):
            if counts[item.name] > 1:
                yield f".{table}[{index}].name", f"'{item.name}' stands more than once"


@reference_check
def _tokens_are_unique(shared: SharedSettings) -> Iterator[Finding]:
    counts = Counter(item.token for item in shared.organisations)
    for index, item in enumerate(shared.organisations):
        if counts[item.token] > 1:
            yield f".organisations[{index}].token", "two organisations have the same token"


@reference_check
def _tiers_exist(shared: SharedSettings) -> Iterator[Finding]:
    tiers = {tier.name for tier in shared.tiers}
    for table in ("routes", "objectives"):
        for index, item in enumerate(getattr(shared, table)):
            if item.tier not in tiers:
                message = f"no tier '{item.tier}'; allowed: {_allowed(tiers)}"
                yield f".{table}[{index}].tier", message


@reference_check
def _objectives_name_organisations(shared: SharedSettings) -> Iterator[Finding]:
    names = {organisation.name for organisation in shared.organisations}
    for index, objective in enumerate(shared.objectives):
        if objective.organisation not in names | {EVERY_ORGANISATION}:
            allowed = _allowed(names | {EVERY_ORGANISATION})
            message = f"no organisation '{objective.organisation}'; allowed: {allowed}"
            yield f".objectives[{index}].organisation", message


@reference_check
def _objectives_are_unique(shared: SharedSettings) -> Iterator[Finding]:
    counts = Counter((one.tier, one.organisation) for one in shared.objectives)
    for index, one in enumerate(shared.objectives):
        if counts[(one.tier, one.organisation)] > 1:
            message = f"tier '{one.tier}' has two objectives for organisation '{one.organisation}'"
            yield f".objectives[{index}]", message


@reference_check
def _targets_are_served(shared: SharedSettings) -> Iterator[Finding]:
    served = {target for upstream in shared.upstreams for target in upstream.targets}
    for index, route in enumerate(shared.routes):
        if route.target not in served:
            message = f"no upstream serves '{route.target}'; allowed: {_allowed(served)}"
            yield f".routes[{index}].target", message


@reference_check
def _plain_routes_have_paths(shared: SharedSettings) -> Iterator[Finding]:
    plain = {
        target
        for upstream in shared.upstreams
        if upstream.kind is UpstreamKind.PLAIN_SERVICE
        for target in upstream.targets
    }
    for index, route in enumerate(shared.routes):
        if route.target in plain and not route.path.startswith("/"):
            message = "a plain service's route needs a path that starts with /"
            yield f".routes[{index}].path", message
