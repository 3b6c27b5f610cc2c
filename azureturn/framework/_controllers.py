"""Controllers: classes that handle events and declare the tables that they access."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, ClassVar, Generic, TypeVar

from azureturn.framework._actions import Action
from azureturn.framework._blackboard import Blackboard, RestrictedBlackboard
from azureturn.framework._events import Event

_Handler = TypeVar("_Handler", bound=Callable[..., None])
_Settings = TypeVar("_Settings")


@dataclass
class Context:
    """What a handler gets besides its event: the time, a random source, and the outputs."""

    now_ms: int
    random: random.Random
    #: Actions emitted so far while the event is handled.
    actions: list[Action] = field(default_factory=list)
    #: Events posted by handlers and not yet handled.
    posted: list[Event] = field(default_factory=list)

    def act(self, action: Action) -> None:
        """Emit an action for the adapters."""
        self.actions.append(action)

    def post(self, event: Event) -> None:
        """Queue an event for all controllers; it is handled after the current one."""
        self.posted.append(event)


def on(event_type: type[Event]) -> Callable[[_Handler], _Handler]:
    """Register the decorated method as the handler of one type of event."""

    def decorate(handler: _Handler) -> _Handler:
        handler.__dict__["handled_event"] = event_type
        return handler

    return decorate


class Controller(Generic[_Settings]):
    """Base class of all controllers, generic in the settings of the program.

    A subclass declares the tables that it reads and writes, and the controllers that must handle
    each event before it does. The framework orders the controllers accordingly, and gives each
    one access to the tables that it declares.
    """

    reads: ClassVar[tuple[type[object], ...]] = ()
    writes: ClassVar[tuple[type[object], ...]] = ()
    #: Names of controllers that handle each event before this one.
    after: ClassVar[tuple[str, ...]] = ()
    name: ClassVar[str] = ""

    def __init__(self, board: RestrictedBlackboard, settings: _Settings) -> None:
        self.board = board
        self.settings = settings

    @classmethod
    def from_settings(cls, settings: _Settings, board: Blackboard) -> "Controller[_Settings]":
        """Return a controller whose access to ``board`` is restricted to its declared tables."""
        restricted_board = RestrictedBlackboard(
            board, cls.name, reads=frozenset(cls.reads), writes=frozenset(cls.writes)
        )
        return cls(restricted_board, settings)

    def handlers(self) -> dict[type[Event], Callable[[Any, Context], None]]:
        """Return the bound handlers, keyed by type of event."""
        handlers_by_type: dict[type[Event], Callable[[Any, Context], None]] = {}
        for attribute in vars(type(self)).values():
            event_type = getattr(attribute, "handled_event", None)
            if event_type is not None:
                handlers_by_type[event_type] = attribute.__get__(self)
        return handlers_by_type


def in_dependency_order(
    controllers: dict[str, type[Controller[_Settings]]],
) -> list[type[Controller[_Settings]]]:
    """Return the controllers ordered so that each follows the ones that its ``after`` names."""
    ordered: list[type[Controller[_Settings]]] = []

    def visit(name: str) -> None:
        cls = controllers[name]
        if cls in ordered:
            return
        for predecessor in cls.after:
            visit(predecessor)
        ordered.append(cls)

    for name in controllers:
        visit(name)
    return ordered
