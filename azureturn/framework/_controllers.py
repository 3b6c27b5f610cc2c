"""Controllers: what handles events, each with the tables it declares."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, ClassVar, Generic, TypeVar

from azureturn.framework._actions import Action
from azureturn.framework._blackboard import Blackboard, BlackboardView
from azureturn.framework._events import Event

_Handler = TypeVar("_Handler", bound=Callable[..., None])
_Settings = TypeVar("_Settings")


@dataclass
class Context:
    """What a handler is given besides its event: the time, chance, and where results go."""

    now_ms: int
    random: random.Random
    actions: list[Action] = field(default_factory=list)
    posted: list[Event] = field(default_factory=list)

    def act(self, action: Action) -> None:
        """Hand an action to the adapters."""
        self.actions.append(action)

    def post(self, event: Event) -> None:
        """Hand an event to the other controllers, after the present one is done."""
        self.posted.append(event)


def on(event_type: type[Event]) -> Callable[[_Handler], _Handler]:
    """Mark a method as the handler of one type of event."""

    def mark(handler: _Handler) -> _Handler:
        handler.__dict__["handled_event"] = event_type
        return handler

    return mark


class Controller(Generic[_Settings]):
    """The base of every controller; its settings are those of the program that it decides for.

    A subclass names the tables that it reads and writes, and the controllers that must see an
    event before it does. The framework resolves the order and gives it a view that admits
    only those tables.
    """

    reads: ClassVar[tuple[type[object], ...]] = ()
    writes: ClassVar[tuple[type[object], ...]] = ()
    #: Names of controllers that handle each event before this one.
    after: ClassVar[tuple[str, ...]] = ()
    name: ClassVar[str] = ""

    def __init__(self, board: BlackboardView, settings: _Settings) -> None:
        self.board = board
        self.settings = settings

    @classmethod
    def from_settings(cls, settings: _Settings, board: Blackboard) -> "Controller[_Settings]":
        """Return the controller on its own view of ``board``."""
        view = BlackboardView(
            board, cls.name, reads=frozenset(cls.reads), writes=frozenset(cls.writes)
        )
        return cls(view, settings)

    def handlers(self) -> dict[type[Event], Callable[[Any, Context], None]]:
        """Return the bound handlers by the type of event."""
        found: dict[type[Event], Callable[[Any, Context], None]] = {}
        for attribute in vars(type(self)).values():
            event_type = getattr(attribute, "handled_event", None)
            if event_type is not None:
                found[event_type] = attribute.__get__(self)
        return found


def in_dependency_order(
    controllers: dict[str, type[Controller[_Settings]]],
) -> list[type[Controller[_Settings]]]:
    """Return the controllers so that each comes after those it names in ``after``."""
    ordered: list[type[Controller[_Settings]]] = []

    def visit(name: str) -> None:
        cls = controllers[name]
        if cls in ordered:
            return
        for earlier in cls.after:
            visit(earlier)
        ordered.append(cls)

    for name in controllers:
        visit(name)
    return ordered
