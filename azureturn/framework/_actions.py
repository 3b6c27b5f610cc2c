"""Actions that controllers request from the adapters; each variant of the product adds its own."""

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
    """The request is queued again, with nothing sent to its caller; another action will follow."""


@dataclass(frozen=True)
class Refuse(RequestAction):
    """Refuse the request with a final answer to the caller; it has been removed from its queue."""

    kind: ErrorKind
    retry_after_ms: int
    run_state: RunState = RunState.NOT_RUN
    #: Inputs of the decision, for the log.
    detail: str = ""
