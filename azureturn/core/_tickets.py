"""Tickets: the right to run a call, granted from memory while the key-value service is down.

A ticket names the process that minted it, and only that process may run its call. It runs the call
at most once, since it keeps the ticket in memory until the ticket expires by its own clock; if the
process ends, the right is lost permanently. A ticket therefore needs no write and no consensus.
"""

from dataclasses import dataclass
from enum import StrEnum

#: Time after minting for which a ticket is honoured.
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
    #: Globally unique; it is sent to the upstream as the idempotency key.
    nonce: str
    #: By the clock of the process that minted it.
    expires_at_ms: int


class TicketLocation(StrEnum):
    """Where a ticket's call may run."""

    HERE = "here"
    ELSEWHERE = "elsewhere"
    #: An earlier process of this VM minted the ticket, so it can no longer run anywhere.
    GONE = "gone"
    EXPIRED = "expired"


def ticket_location(ticket: Ticket, *, vm: str, boot_id: str, now_ms: int) -> TicketLocation:
    """Return where a ticket's call may run, as the process ``boot_id`` on ``vm`` sees it."""
    if ticket.boot_id == boot_id:
        return TicketLocation.HERE if now_ms < ticket.expires_at_ms else TicketLocation.EXPIRED
    return TicketLocation.GONE if ticket.vm == vm else TicketLocation.ELSEWHERE
