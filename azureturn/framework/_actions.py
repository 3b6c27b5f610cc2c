"""Actions that controllers emit and adapters carry out; each program adds its own."""

from dataclasses import dataclass

from azureturn.errors import ErrorKind, RunState


class Action:
    """Base class of all actions."""


@dataclass(frozen=True)
class RequestAction(Action):
    """Base class of actions that concern a single request."""

    request_id: str


@dataclass(frozen=True)
class AwaitPlacement(RequestAction):
    """Do nothing for now: the request is queued again, and another action for it will follow."""


@dataclass(frozen=True)
class Refuse(RequestAction):
    """Refuse the request, as the final answer to its caller; it is no longer queued."""

    kind: ErrorKind
    retry_after_ms: int
    run_state: RunState = RunState.NOT_RUN
    #: Inputs of the decision, for the log.
    detail: str = ""
