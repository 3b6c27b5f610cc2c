"""Registry of the core's controllers."""

from collections.abc import Callable
from typing import Any, TypeVar

from azureturn.framework import Controller
from azureturn.settings import Settings

CONTROLLERS: dict[str, type[Controller[Settings]]] = {}
_ControllerClass = TypeVar("_ControllerClass", bound=type[Controller[Any]])


def controller(name: str) -> Callable[[_ControllerClass], _ControllerClass]:
    """Register a controller class under ``name``."""

    def register(cls: _ControllerClass) -> _ControllerClass:
        cls.name = name
        CONTROLLERS[name] = cls
        return cls

    return register
