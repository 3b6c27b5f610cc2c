"""A ticket is accepted only exactly as it was issued, and only by the process that issued it."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azureturn.core import TicketStatus, ticket_status
from azureturn.core.tests.claim_simulation import settings_of
from azureturn.daemon._tickets import TicketIssuer, is_first_attempt
from azureturn.errors import CallerError, ErrorKind

ISSUER = TicketIssuer(settings_of("vm-1"), boot_id="boot-1")
TOKEN = ISSUER.issue("call-centre", "deposit")
TICKET = ISSUER.read(TOKEN)


def test_ticket_contains_its_process_and_its_call() -> None:
    assert (TICKET.vm, TICKET.boot_id) == ("vm-1", "boot-1")
    assert (TICKET.organisation, TICKET.route) == ("call-centre", "deposit")
    assert ISSUER.read(ISSUER.issue("call-centre", "deposit")).nonce != TICKET.nonce


@given(st.text(max_size=2_000))
def test_arbitrary_text_is_rejected_as_a_ticket(token: str) -> None:
    with pytest.raises(CallerError) as raised:
        ISSUER.read(token)
    assert raised.value.kind is ErrorKind.TICKET_INVALID


@given(st.integers(0, len(TOKEN) - 1), st.text(max_size=3))
def test_modified_ticket_is_rejected_or_unchanged(position: int, insertion: str) -> None:
    # Base64 decoding skips characters outside its alphabet, so the signed content is unchanged.
    try:
        assert ISSUER.read(TOKEN[:position] + insertion + TOKEN[position:]) == TICKET
    except CallerError as error:
        assert error.kind is ErrorKind.TICKET_INVALID


CASES = {
    "issuing process": ("vm-1", "boot-1", 0, TicketStatus.THIS_PROCESS),
    "expired": ("vm-1", "boot-1", TICKET.expires_at_ms, TicketStatus.EXPIRED),
    "VM restarted": ("vm-1", "boot-2", 0, TicketStatus.ISSUER_ENDED),
    "another VM": ("vm-2", "boot-3", 0, TicketStatus.OTHER_VM),
}


@pytest.mark.parametrize("case", CASES)
def test_ticket_is_run_only_by_the_process_that_issued_it(case: str) -> None:
    vm, boot_id, now_ms, location = CASES[case]
    assert ticket_status(TICKET, vm=vm, boot_id=boot_id, now_ms=now_ms) is location


@pytest.mark.parametrize(
    ("headers", "first"), [({}, False), ({"Azureturn-First-Attempt": "true"}, True)]
)
def test_first_attempt_header_is_parsed(headers: dict[str, str], first: bool) -> None:
    assert is_first_attempt(headers) is first
