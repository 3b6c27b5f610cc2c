"""The gateway's settings."""

from azureturn.gateway.settings._types import (
    AllotmentBounds,
    ColdBounds,
    EnginePolicy,
    GatewayBounds,
    GatewayLimits,
    GatewayPolicy,
    GatewaySettings,
    GatewayVm,
    JsonSettings,
    MoveBounds,
    RetryBounds,
    load_json_settings,
)

__all__ = [
    "AllotmentBounds",
    "ColdBounds",
    "EnginePolicy",
    "GatewayBounds",
    "GatewayLimits",
    "GatewayPolicy",
    "GatewaySettings",
    "GatewayVm",
    "JsonSettings",
    "MoveBounds",
    "RetryBounds",
    "load_json_settings",
]
