"""Registry and base class of the gateway's controllers."""

from collections.abc import Callable
from typing import TypeVar

from azureturn.framework import Controller
from azureturn.gateway.settings import GatewaySettings

GATEWAY_CONTROLLERS: dict[str, type[Controller[GatewaySettings]]] = {}

_ControllerClass = TypeVar("_ControllerClass", bound=type[Controller[GatewaySettings]])


class GatewayController(Controller[GatewaySettings]):
    """Base class of the gateway's controllers."""


def gateway_controller(name: str) -> Callable[[_ControllerClass], _ControllerClass]:
    """Register a controller class under ``name``."""

    def register(cls: _ControllerClass) -> _ControllerClass:
        cls.name = name
        GATEWAY_CONTROLLERS[name] = cls
        return cls

    return register
