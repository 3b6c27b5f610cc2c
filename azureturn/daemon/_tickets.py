"""Issues and verifies tickets, which are signed with the secret shared by all peers."""

import secrets
from collections.abc import Mapping
from dataclasses import asdict

from itsdangerous import BadData, URLSafeSerializer

from azureturn.core import TICKET_LIFETIME_MS, Ticket
from azureturn.errors import CallerError, ErrorKind
from azureturn.serving import now_ms
from azureturn.settings import OrganisationSettings, RouteSettings, Settings

#: Contains the token of a ticket, which replaces the idempotency key.
TICKET_HEADER = "Azureturn-Ticket"
#: "true" if the caller has not sent this call before to any VM.
FIRST_ATTEMPT_HEADER = "Azureturn-First-Attempt"
TICKET_LIMIT_CHARACTERS = 1_024
_NONCE_BYTES = 12
_SALT = "azureturn.tickets"


class TicketIssuer:
    """Issues the tickets of one process, and verifies the tickets of all VMs, without I/O.

    ``issue`` returns a ticket as a signed token, and ``read`` returns the ticket in a token.
    """

    def __init__(self, settings: Settings, *, boot_id: str) -> None:
        self._vm = settings.vm
        self._boot_id = boot_id
        self._serializer = URLSafeSerializer(settings.daemon.peer_secret, salt=_SALT)

    def issue(self, organisation: str, route: str) -> str:
        """Return the token of a new ticket for one call."""
        ticket = Ticket(
            vm=self._vm.name,
            boot_id=self._boot_id,
            host=self._vm.host,
            peer_port=self._vm.peer_port,
            organisation=organisation,
            route=route,
            nonce=secrets.token_hex(_NONCE_BYTES),
            expires_at_ms=now_ms() + TICKET_LIFETIME_MS,
        )
        return str(self._serializer.dumps(asdict(ticket)))

    def read(self, token: str) -> Ticket:
        """Return the ticket in a token; raise ``ticket_invalid`` if its signature is invalid."""
        if len(token) > TICKET_LIMIT_CHARACTERS:
            raise CallerError(ErrorKind.TICKET_INVALID)
        try:
            return Ticket(**self._serializer.loads(token))
        except (BadData, TypeError) as error:
            raise CallerError(ErrorKind.TICKET_INVALID) from error

    def ticket_of(
        self, headers: Mapping[str, str], organisation: OrganisationSettings, route: RouteSettings
    ) -> Ticket | None:
        """Return the ticket in the headers, or None if there is none.

        A ticket is valid for one organisation and one route; raise ``ticket_invalid`` if it is for
        another.
        """
        token = headers.get(TICKET_HEADER)
        if token is None:
            return None
        ticket = self.read(token)
        if (ticket.organisation, ticket.route) != (organisation.name, route.name):
            raise CallerError(
                ErrorKind.TICKET_INVALID, "the ticket is for another organisation or route"
            )
        return ticket


def is_first_attempt(headers: Mapping[str, str]) -> bool:
    """Return whether the caller declares that it has not sent this call before."""
    value = headers.get(FIRST_ATTEMPT_HEADER, "false")
    if value not in ("true", "false"):
        raise CallerError(ErrorKind.BAD_HEADER, f"{FIRST_ATTEMPT_HEADER} must be true or false")
    return value == "true"
