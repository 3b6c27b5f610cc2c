"""Typed settings, their validation, comparison and JSON Schema."""

from azureturn.settings._difference import Change, differences
from azureturn.settings._load import (
    check_settings,
    check_shared_settings,
    load_settings,
)
from azureturn.settings._masking import MASK, mask_secrets
from azureturn.settings._mistakes import Mistake
from azureturn.settings._schema import settings_schema
from azureturn.settings._types import (
    ALL_ORGANISATIONS,
    ChangeSettings,
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
    "ALL_ORGANISATIONS",
    "Change",
    "ChangeSettings",
    "DaemonSettings",
    "MASK",
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
    "differences",
    "load_settings",
    "mask_secrets",
    "settings_schema",
]
