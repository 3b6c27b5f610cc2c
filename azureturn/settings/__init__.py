"""Typed settings, their merge rules and their checks."""

from azureturn.settings._load import (
    Mistake,
    check_settings,
    check_shared_settings,
    load_settings,
    merge,
    read_json,
    read_merged,
)
from azureturn.settings._types import (
    DaemonSettings,
    MoveSettings,
    ObjectiveSettings,
    OrganisationSettings,
    PlatformSettings,
    PolicySettings,
    RouteSettings,
    Settings,
    SharedSettings,
    TierSettings,
    UpstreamKind,
    UpstreamSettings,
    VmSettings,
)

__all__ = [
    "DaemonSettings",
    "Mistake",
    "MoveSettings",
    "ObjectiveSettings",
    "OrganisationSettings",
    "PlatformSettings",
    "PolicySettings",
    "RouteSettings",
    "Settings",
    "SharedSettings",
    "TierSettings",
    "UpstreamKind",
    "UpstreamSettings",
    "VmSettings",
    "check_settings",
    "check_shared_settings",
    "load_settings",
    "merge",
    "read_json",
    "read_merged",
]
