"""The shared settings in force on this VM."""

from dataclasses import dataclass
from enum import StrEnum
from functools import cached_property

from azureturn.framework import Table
from azureturn.settings import (
    OrganisationSettings,
    RouteSettings,
    SharedSettings,
    UpstreamKind,
    UpstreamSettings,
)


class ConfigurationSource(StrEnum):
    """Where a revision was learned."""

    FILE = "file"
    WATCH = "watch"
    POLL = "poll"
    PEER = "peer"


@dataclass(frozen=True)
class Configuration:
    """One revision of the shared settings."""

    #: The key-value service's own revision; 0 for what the settings files hold.
    revision: int
    shared: SharedSettings
    source: ConfigurationSource = ConfigurationSource.FILE

    def route(self, name: str) -> RouteSettings | None:
        """Return the route of this name."""
        return self._routes.get(name)

    def weight(self, organisation: str) -> float:
        """Return an organisation's weight; one that is not configured has the usual weight."""
        return self._weights.get(organisation, 1.0)

    def tier_rank(self, name: str) -> int:
        """Return a tier's rank; 0 is the most urgent."""
        return next(tier.rank for tier in self.shared.tiers if tier.name == name)

    def organisation_of_token(self, token: str) -> OrganisationSettings | None:
        """Return the organisation whose callers show this token."""
        return self._organisations_by_token.get(token)

    def upstream(self, name: str) -> UpstreamSettings | None:
        """Return the upstream of this name."""
        return self._upstreams.get(name)

    @cached_property
    def models(self) -> frozenset[str]:
        """Return the names of the models that engines answer with."""
        return frozenset(
            target
            for upstream in self.shared.upstreams
            if upstream.kind is UpstreamKind.MODEL_ENGINE
            for target in upstream.targets
        )

    @cached_property
    def _organisations_by_token(self) -> dict[str, OrganisationSettings]:
        return {one.token: one for one in self.shared.organisations}

    @cached_property
    def _upstreams(self) -> dict[str, UpstreamSettings]:
        return {one.name: one for one in self.shared.upstreams}

    @cached_property
    def _routes(self) -> dict[str, RouteSettings]:
        return {route.name: route for route in self.shared.routes}

    @cached_property
    def _weights(self) -> dict[str, float]:
        return {one.name: one.weight for one in self.shared.organisations}


class ConfigurationTable(Table[str, Configuration]):
    """Holds the one revision in force."""

    _IN_FORCE = "in_force"

    def in_force(self) -> Configuration:
        """Return the configuration in force."""
        configuration = self.get(self._IN_FORCE)
        assert configuration is not None
        return configuration

    def accept(self, configuration: Configuration) -> bool:
        """Put a revision in force if it is higher than the present one."""
        present = self.get(self._IN_FORCE)
        if present is not None and configuration.revision <= present.revision:
            return False
        self.put(self._IN_FORCE, configuration)
        return True
