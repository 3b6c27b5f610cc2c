"""The gateway's settings."""

from azureturn.gateway.settings._types import (
    AllotmentBounds,
    EnginePolicy,
    GatewayBounds,
    GatewayLimits,
    GatewayPolicy,
    GatewaySettings,
    GatewayVm,
    MoveBounds,
    OwnSettings,
    RetryBounds,
    load_own_settings,
)

__all__ = [
    "AllotmentBounds",
    "EnginePolicy",
    "GatewayBounds",
    "GatewayLimits",
    "GatewayPolicy",
    "GatewaySettings",
    "GatewayVm",
    "MoveBounds",
    "OwnSettings",
    "RetryBounds",
    "load_own_settings",
]
