"""Cooperative tasks: many requests and connections served on one thread."""

from azureturn.tasks._lag import LagMeter
from azureturn.tasks._loop import (
    HUNG_UP,
    READABLE,
    WRITABLE,
    Priority,
    Task,
    TaskLoop,
    current_task,
)
from azureturn.tasks._mailbox import Mailbox, MailboxFullError
from azureturn.tasks._signals import Signal, new_signal
from azureturn.tasks._sockets import (
    accept,
    connect,
    receive,
    receive_available,
    send_all,
    wait_until_ready,
)
from azureturn.tasks._task_socket import TaskSocket
from azureturn.tasks._timing import sleep, yield_to_others

__all__ = [
    "HUNG_UP",
    "LagMeter",
    "Mailbox",
    "MailboxFullError",
    "Priority",
    "READABLE",
    "Signal",
    "Task",
    "TaskLoop",
    "TaskSocket",
    "WRITABLE",
    "accept",
    "connect",
    "current_task",
    "new_signal",
    "receive",
    "receive_available",
    "send_all",
    "sleep",
    "wait_until_ready",
    "yield_to_others",
]
