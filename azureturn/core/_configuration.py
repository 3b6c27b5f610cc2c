"""The revision of the shared settings that is active on this VM."""

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
    """How a revision of the configuration was obtained."""

    FILE = "file"
    #: Notification by the key-value service.
    WATCH = "watch"
    #: Read from the key-value service, at the start of the process or later.
    POLL = "poll"
    PEER = "peer"


@dataclass(frozen=True)
class Configuration:
    """One revision of the shared settings, which are the same on all VMs of a site."""

    #: Revision in the key-value service; 0 for a configuration read from the settings files.
    revision: int
    shared: SharedSettings
    source: ConfigurationSource = ConfigurationSource.FILE

    def route(self, name: str) -> RouteSettings | None:
        """Return the route named ``name``, or None."""
        return self._routes.get(name)

    def weight(self, organisation: str) -> float:
        """Return an organisation's weight in the fair queue; 1 for an unknown organisation."""
        return self._weights.get(organisation, 1.0)

    def tier_rank(self, name: str) -> int:
        """Return a tier's rank: its position by urgency, from 0 for the most urgent tier."""
        return next(tier.rank for tier in self.shared.tiers if tier.name == name)

    def organisation_of_token(self, token: str) -> OrganisationSettings | None:
        """Return the organisation whose callers authenticate with this token, or None."""
        return self._organisations_by_token.get(token)

    def upstream(self, name: str) -> UpstreamSettings | None:
        """Return the settings of the upstream named ``name``, or None."""
        return self._upstreams.get(name)

    @cached_property
    def models(self) -> frozenset[str]:
        """Return the names of the models that the engines serve."""
        return frozenset(
            target
            for upstream in self.shared.upstreams
            if upstream.kind is UpstreamKind.MODEL_ENGINE
            for target in upstream.targets
        )

    @cached_property
    def _organisations_by_token(self) -> dict[str, OrganisationSettings]:
        return {organisation.token: organisation for organisation in self.shared.organisations}

    @cached_property
    def _upstreams(self) -> dict[str, UpstreamSettings]:
        return {upstream.name: upstream for upstream in self.shared.upstreams}

    @cached_property
    def _routes(self) -> dict[str, RouteSettings]:
        return {route.name: route for route in self.shared.routes}

    @cached_property
    def _weights(self) -> dict[str, float]:
        return {
            organisation.name: organisation.weight for organisation in self.shared.organisations
        }


class ConfigurationTable(Table[str, Configuration]):
    """Holds the single active revision."""

    _IN_FORCE = "in_force"

    def get_active(self) -> Configuration:
        """Return the active configuration."""
        configuration = self.get(self._IN_FORCE)
        assert configuration is not None
        return configuration

    def accept(self, configuration: Configuration) -> bool:
        """Activate a revision if it is higher than the active one, and return whether it is."""
        active = self.get(self._IN_FORCE)
        if active is not None and configuration.revision <= active.revision:
            return False
        self.put(self._IN_FORCE, configuration)
        return True
