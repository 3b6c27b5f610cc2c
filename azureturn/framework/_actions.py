"""Actions: what decisions ask of the adapters; each form of the product adds its own."""

from dataclasses import dataclass

from azureturn.errors import ErrorKind, RunState


class Action:
    """The base of every action."""


@dataclass(frozen=True)
class RequestAction(Action):
    """The base of actions that are meant for the one request they name."""

    request_id: str


@dataclass(frozen=True)
class AwaitPlacement(RequestAction):
    """No byte has left and the request waits again: its next action is still to come."""


@dataclass(frozen=True)
class Refuse(RequestAction):
    """Give the caller its final answer now; the request is in no queue any more."""

    kind: ErrorKind
    retry_after_ms: int
    run_state: RunState = RunState.NOT_RUN
    #: What decided it, for the log.
    detail: str = ""
