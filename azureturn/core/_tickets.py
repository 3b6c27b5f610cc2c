"""Tickets: the right to run a call, issued without a write while the key-value service is down.

A ticket names the process that issued it, and only that process may run the ticket's call. It runs
the call at most once, since it remembers every used ticket until the ticket expires by the clock of
this process. If the process ends, the call can no longer run. A ticket therefore needs no write to
the key-value service and no consensus.
"""

from dataclasses import dataclass
from enum import StrEnum

#: Time after its issue for which a ticket is accepted.
TICKET_LIFETIME_MS = 3_600_000


@dataclass(frozen=True)
class Ticket:
    """The right of one process to run one call of one organisation on one route."""

    vm: str
    #: Identifies the start of the process that issued the ticket.
    boot_id: str
    host: str
    peer_port: int
    organisation: str
    route: str
    #: Globally unique; the idempotency key sent to the upstream is derived from it.
    nonce: str
    #: By the clock of the process that issued the ticket.
    expires_at_ms: int


class TicketStatus(StrEnum):
    """Whether the call of a ticket may run, and in which process."""

    #: In this process, which issued the ticket.
    THIS_PROCESS = "here"
    #: In the process of another VM, which issued the ticket.
    OTHER_VM = "elsewhere"
    #: An earlier process of this VM issued the ticket, so its call can no longer run.
    ISSUER_ENDED = "gone"
    EXPIRED = "expired"


def ticket_status(ticket: Ticket, *, vm: str, boot_id: str, now_ms: int) -> TicketStatus:
    """Return the status of a ticket for the process ``boot_id`` of the VM ``vm``."""
    if ticket.boot_id == boot_id:
        return TicketStatus.THIS_PROCESS if now_ms < ticket.expires_at_ms else TicketStatus.EXPIRED
    return TicketStatus.ISSUER_ENDED if ticket.vm == vm else TicketStatus.OTHER_VM
