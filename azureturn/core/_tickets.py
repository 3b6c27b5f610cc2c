"""Tickets: the right to run a call given from memory, for when the key-value service is down.

A ticket names the process that minted it, and only that process may ever run its call. It runs it
at most once since it remembers the ticket until the ticket expires, by its own clock; with the
process the right is gone for good. So a ticket needs no write and no agreement.
"""

from dataclasses import dataclass
from enum import StrEnum

#: How long after it was minted a ticket is honoured.
TICKET_LIFETIME_MS = 3_600_000


@dataclass(frozen=True)
class Ticket:
    """The right of one process to run one call of one organisation on one route."""

    vm: str
    boot_id: str
    host: str
    peer_port: int
    organisation: str
    route: str
    #: Unlike that of any other ticket; the upstream gets it in place of an idempotency key.
    nonce: str
    #: By the clock of the process that minted it.
    expires_at_ms: int


class TicketPlace(StrEnum):
    """Where a ticket's call may run."""

    HERE = "here"
    ELSEWHERE = "elsewhere"
    #: This VM minted it before it was started anew: nobody may run it any more.
    GONE = "gone"
    EXPIRED = "expired"


def ticket_place(ticket: Ticket, *, vm: str, boot_id: str, now_ms: int) -> TicketPlace:
    """Return where a ticket's call may run, as the process ``boot_id`` on ``vm`` sees it."""
    if ticket.boot_id == boot_id:
        return TicketPlace.HERE if now_ms < ticket.expires_at_ms else TicketPlace.EXPIRED
    return TicketPlace.GONE if ticket.vm == vm else TicketPlace.ELSEWHERE
