"""The right to run on real processes: duplicates, outages, and tickets."""

from collections.abc import Iterator
from typing import Any

import pytest

from standins.site import Answer, Site

DEPOSIT = "/routes/deposit"
OTHER_TOKEN = "kuiseb-front-desk-token"


@pytest.fixture
def site() -> Iterator[Site]:
    with Site(vms=2, zones=2, engines=1, services=1) as running:
        yield running


def deposit(site: Site, vm: str, key: str, *, cents: int = 1, **headers: str) -> Answer:
    sent = {"Idempotency-Key": key, **headers}
    return site.call(vm, "POST", DEPOSIT, body={"cents": cents}, headers=sent)


def take_ticket(site: Site, vm: str) -> dict[str, Any]:
    answer = site.call(vm, "POST", "/tickets", body={"route": "deposit"})
    assert answer.status == 201
    ticket: dict[str, Any] = answer.json()
    return ticket


def use(site: Site, vm: str, ticket: dict[str, Any], **headers: str) -> Answer:
    sent = {ticket["header"]: ticket["ticket"], **headers}
    return site.call(vm, "POST", DEPOSIT, body={"cents": 1}, headers=sent)


def told(answer: Answer) -> tuple[str | None, str | None]:
    return answer.headers.get("Azureturn-Error-Kind"), answer.headers.get("Azureturn-Run-State")


FIRST = {"Azureturn-First-Attempt": "true"}


def test_a_key_with_another_body_is_refused_at_any_vm(site: Site) -> None:
    assert deposit(site, "vm-1", "k").status == 200
    for vm in ("vm-1", "vm-2"):
        assert told(deposit(site, vm, "k", cents=2)) == ("idempotency_key_reused", "not_run")


def test_a_lost_answer_is_read_back(site: Site) -> None:
    site.control("key-value", lose_write_answers=1)
    assert deposit(site, "vm-1", "k").status == 200
    assert deposit(site, "vm-2", "k").status == 200
    assert site.runs() == {"k": 1}


def test_a_delayed_write_is_written_again_and_lands_once(site: Site) -> None:
    site.control("key-value", delay_writes=1, delay_write_ms=300)
    assert deposit(site, "vm-1", "k").status == 200
    assert site.runs() == {"k": 1}


def test_a_duplicate_of_a_killed_claimant_is_unknown(site: Site) -> None:
    site.control("bookings-1", close_after_run=True)
    assert told(deposit(site, "vm-1", "k")) == ("outcome_unknown", "unknown")
    site.processes["vm-1"].kill()
    assert told(deposit(site, "vm-2", "k")) == ("outcome_unknown", "unknown")
    assert site.runs() == {"k": 1}


def test_an_unreachable_upstream_leaves_the_key_free(site: Site) -> None:
    site.processes["bookings-1"].kill()
    answer = deposit(site, "vm-1", "k", **{"Azureturn-Timeout-Ms": "1500"})
    assert told(answer)[1] == "not_run"
    site.processes["bookings-1"].start()
    site.processes["bookings-1"].wait_until_listening()
    answers = [deposit(site, "vm-2", "k"), deposit(site, "vm-1", "k")]
    while any(told(answer)[0] == "upstream_unreachable" for answer in answers):
        answers = [deposit(site, "vm-2", "k"), deposit(site, "vm-1", "k")]
    assert [answer.status for answer in answers] == [200, 200]
    assert site.runs() == {"k": 1}


def test_tickets_carry_deposits_through_an_outage(site: Site) -> None:
    site.control("key-value", outage=True)
    refused = deposit(site, "vm-1", "k")
    # Nothing is known here of an earlier attempt, unless the caller says that there was none.
    assert told(refused) == ("key_value_unavailable", "unknown")
    assert told(deposit(site, "vm-1", "k", **FIRST)) == ("key_value_unavailable", "not_run")
    assert int(refused.headers["Azureturn-Retry-After-Ms"]) > 0
    ticket = take_ticket(site, "vm-1")
    assert ticket["url"] == site.processes["vm-1"].url + DEPOSIT
    answers = [use(site, vm, ticket) for vm in ("vm-2", "vm-1", "vm-2")]
    assert [answer.status for answer in answers] == [200, 200, 200]
    assert len({answer.body for answer in answers}) == 1
    assert list(site.runs().values()) == [1]


@pytest.mark.parametrize(
    ("headers", "kind", "run_state"),
    [(FIRST, "key_value_unavailable", "not_run"), ({}, "outcome_unknown", "unknown")],
)
def test_a_ticket_whose_minter_is_gone_is_never_run(
    site: Site, headers: dict[str, str], kind: str, run_state: str
) -> None:
    ticket = take_ticket(site, "vm-1")
    site.processes["vm-1"].kill()
    assert told(use(site, "vm-2", ticket, **headers)) == (kind, run_state)
    assert site.runs() == {}


def test_another_boot_never_runs_a_ticket(site: Site) -> None:
    ticket = take_ticket(site, "vm-1")
    assert use(site, "vm-1", ticket).status == 200
    site.processes["vm-1"].kill()
    site.processes["vm-1"].start()
    site.processes["vm-1"].wait_until_listening()
    for vm in ("vm-1", "vm-2"):
        assert told(use(site, vm, ticket)) == ("outcome_unknown", "unknown")
    assert list(site.runs().values()) == [1]


def test_a_ticket_is_good_for_its_own_call_only(site: Site) -> None:
    ticket = take_ticket(site, "vm-1")
    assert told(use(site, "vm-1", {**ticket, "ticket": ticket["ticket"] + "x"}))[0] == (
        "ticket_invalid"
    )
    assert use(site, "vm-1", ticket).status == 200
    other_body = site.call(
        "vm-1", "POST", DEPOSIT, body={"cents": 2}, headers={ticket["header"]: ticket["ticket"]}
    )
    assert told(other_body) == ("idempotency_key_reused", "not_run")
    with_key = use(site, "vm-1", ticket, **{"Idempotency-Key": "k"})
    assert told(with_key) == ("bad_header", "not_run")


def test_an_organisation_never_meets_anothers_claim_or_ticket(site: Site) -> None:
    own = deposit(site, "vm-1", "k")
    headers = {"Idempotency-Key": "k"}
    other = site.call(
        "vm-1", "POST", DEPOSIT, body={"cents": 1}, headers=headers, token=OTHER_TOKEN
    )
    assert own.status == other.status == 200 and "Azureturn-Duplicate" not in other.headers
    ticket = take_ticket(site, "vm-1")
    headers = {ticket["header"]: ticket["ticket"]}
    stolen = site.call(
        "vm-2", "POST", DEPOSIT, body={"cents": 1}, headers=headers, token=OTHER_TOKEN
    )
    assert told(stolen) == ("ticket_invalid", "not_run")


@pytest.mark.parametrize(("headers", "run_state"), [(FIRST, "not_run"), ({}, "unknown")])
def test_only_a_first_attempt_is_told_that_a_ticket_did_not_run(
    site: Site, headers: dict[str, str], run_state: str
) -> None:
    ticket = take_ticket(site, "vm-1")
    site.processes["bookings-1"].kill()
    for vm in ("vm-1", "vm-2"):
        answer = use(site, vm, ticket, **{"Azureturn-Timeout-Ms": "1500"}, **headers)
        assert told(answer)[1] == run_state


def test_a_refusal_in_an_outage_does_not_deny_an_earlier_run(site: Site) -> None:
    assert deposit(site, "vm-1", "k").status == 200
    site.control("key-value", outage=True)
    refused = deposit(site, "vm-2", "k", **{"Azureturn-Timeout-Ms": "1500"})
    assert refused.headers["Azureturn-Run-State"] == "unknown"
    assert site.runs() == {"k": 1}
