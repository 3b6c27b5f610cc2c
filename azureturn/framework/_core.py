"""The decision core: maps events to actions, with no clock, entropy, lock or socket of its own."""

import random
from collections import deque
from collections.abc import Callable
from typing import Any, TypeVar

from azureturn.framework._actions import Action
from azureturn.framework._blackboard import Blackboard
from azureturn.framework._controllers import Context, Controller, in_dependency_order
from azureturn.framework._events import Event

_Handler = Callable[[Any, Context], None]
_Settings = TypeVar("_Settings")
_CoreType = TypeVar("_CoreType", bound="Core")


class Core:
    """The decision logic of one VM.

    Time and the random seed are passed in, so that the same core runs in the daemon, in property
    tests, in replays of the specification's traces and in the policy benchmark.

    >>> core = Core.from_controllers(controllers, settings, seed=1)  # doctest: +SKIP
    >>> core.handle(Tick(), now_ms=0)  # doctest: +SKIP
    ()
    """

    def __init__(self, board: Blackboard, controllers: list[Controller[Any]], *, seed: int) -> None:
        self.board = board
        self._random = random.Random(seed)
        self._controllers = controllers
        self._handlers: dict[type[Event], list[_Handler]] = {}
        for controller in controllers:
            for event_type, handler in controller.handlers().items():
                self._handlers.setdefault(event_type, []).append(handler)

    @classmethod
    def from_controllers(
        cls: type[_CoreType],
        controllers: dict[str, type[Controller[_Settings]]],
        settings: _Settings,
        *,
        seed: int,
    ) -> _CoreType:
        """Return a core with these controllers in dependency order."""
        board = Blackboard()
        classes = in_dependency_order(controllers)
        return cls(
            board,
            [controller_class.from_settings(settings, board) for controller_class in classes],
            seed=seed,
        )

    def change_settings(self, settings: Any) -> None:
        """Replace the settings of all controllers, effective from the next event."""
        for controller in self._controllers:
            controller.settings = settings

    def handle(self, event: Event, now_ms: int) -> tuple[Action, ...]:
        """Handle an event and the events that handlers post, and return the emitted actions."""
        context = Context(now_ms=now_ms, random=self._random)
        pending: deque[Event] = deque([event])
        while pending:
            current = pending.popleft()
            for handler in self._handlers.get(type(current), ()):
                handler(current, context)
            pending.extend(context.posted)
            context.posted.clear()
        return tuple(context.actions)
