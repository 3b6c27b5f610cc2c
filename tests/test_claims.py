"""End-to-end tests of claims and tickets: duplicates, key-value outages and killed VMs.

A claim is the right of one process to run a call that may run at most once, written to the
key-value service. A ticket grants this right without a write, so also during an outage.
"""

from collections.abc import Iterator
from typing import Any

import pytest

from standins.site import Answer, Site

DEPOSIT = "/routes/deposit"
OTHER_TOKEN = "kuiseb-front-desk-token"


@pytest.fixture
def site() -> Iterator[Site]:
    with Site(vms=2, zones=2, engines=1, services=1) as running_site:
        yield running_site


def deposit(site: Site, vm: str, key: str, *, cents: int = 1, **headers: str) -> Answer:
    request_headers = {"Idempotency-Key": key, **headers}
    return site.call(vm, "POST", DEPOSIT, body={"cents": cents}, headers=request_headers)


def request_ticket(site: Site, vm: str) -> dict[str, Any]:
    answer = site.call(vm, "POST", "/tickets", body={"route": "deposit"})
    assert answer.status == 201
    ticket: dict[str, Any] = answer.json()
    return ticket


def deposit_with_ticket(site: Site, vm: str, ticket: dict[str, Any], **headers: str) -> Answer:
    request_headers = {ticket["header"]: ticket["ticket"], **headers}
    return site.call(vm, "POST", DEPOSIT, body={"cents": 1}, headers=request_headers)


def error_of(answer: Answer) -> tuple[str | None, str | None]:
    return answer.headers.get("Azureturn-Error-Kind"), answer.headers.get("Azureturn-Run-State")


FIRST_ATTEMPT = {"Azureturn-First-Attempt": "true"}


def test_a_key_with_another_body_is_refused_at_any_vm(site: Site) -> None:
    assert deposit(site, "vm-1", "k").status == 200
    for vm in ("vm-1", "vm-2"):
        assert error_of(deposit(site, vm, "k", cents=2)) == ("idempotency_key_reused", "not_run")


def test_a_lost_write_answer_is_resolved_by_a_read(site: Site) -> None:
    site.control("key-value", lose_write_answers=1)
    assert deposit(site, "vm-1", "k").status == 200
    assert deposit(site, "vm-2", "k").status == 200
    assert site.runs() == {"k": 1}


def test_a_delayed_write_is_retried_and_applied_once(site: Site) -> None:
    site.control("key-value", delay_writes=1, delay_write_ms=300)
    assert deposit(site, "vm-1", "k").status == 200
    assert site.runs() == {"k": 1}


def test_a_duplicate_after_the_claimant_is_killed_has_unknown_outcome(site: Site) -> None:
    site.control("bookings-1", close_after_run=True)
    assert error_of(deposit(site, "vm-1", "k")) == ("outcome_unknown", "unknown")
    site.processes["vm-1"].kill()
    assert error_of(deposit(site, "vm-2", "k")) == ("outcome_unknown", "unknown")
    assert site.runs() == {"k": 1}


def test_an_unreachable_upstream_releases_the_idempotency_key(site: Site) -> None:
    site.processes["bookings-1"].kill()
    answer = deposit(site, "vm-1", "k", **{"Azureturn-Timeout-Ms": "1500"})
    assert error_of(answer)[1] == "not_run"
    site.processes["bookings-1"].start()
    site.processes["bookings-1"].wait_until_listening()
    answers = [deposit(site, "vm-2", "k"), deposit(site, "vm-1", "k")]
    while any(error_of(answer)[0] == "upstream_unreachable" for answer in answers):
        answers = [deposit(site, "vm-2", "k"), deposit(site, "vm-1", "k")]
    assert [answer.status for answer in answers] == [200, 200]
    assert site.runs() == {"k": 1}


def test_deposits_with_tickets_run_during_a_key_value_outage(site: Site) -> None:
    site.control("key-value", outage=True)
    refused_answer = deposit(site, "vm-1", "k")
    # An earlier attempt may have run, so the run state is unknown unless the caller declares
    # a first attempt.
    assert error_of(refused_answer) == ("key_value_unavailable", "unknown")
    assert error_of(deposit(site, "vm-1", "k", **FIRST_ATTEMPT)) == (
        "key_value_unavailable",
        "not_run",
    )
    assert int(refused_answer.headers["Azureturn-Retry-After-Ms"]) > 0
    ticket = request_ticket(site, "vm-1")
    assert ticket["url"] == site.processes["vm-1"].url + DEPOSIT
    answers = [deposit_with_ticket(site, vm, ticket) for vm in ("vm-2", "vm-1", "vm-2")]
    assert [answer.status for answer in answers] == [200, 200, 200]
    assert len({answer.body for answer in answers}) == 1
    assert list(site.runs().values()) == [1]


@pytest.mark.parametrize(
    ("headers", "kind", "run_state"),
    [(FIRST_ATTEMPT, "key_value_unavailable", "not_run"), ({}, "outcome_unknown", "unknown")],
)
def test_a_ticket_does_not_run_while_its_issuing_vm_is_down(
    site: Site, headers: dict[str, str], kind: str, run_state: str
) -> None:
    ticket = request_ticket(site, "vm-1")
    site.processes["vm-1"].kill()
    assert error_of(deposit_with_ticket(site, "vm-2", ticket, **headers)) == (kind, run_state)
    assert site.runs() == {}


def test_a_restarted_vm_does_not_run_tickets_of_its_previous_process(site: Site) -> None:
    ticket = request_ticket(site, "vm-1")
    assert deposit_with_ticket(site, "vm-1", ticket).status == 200
    site.processes["vm-1"].kill()
    site.processes["vm-1"].start()
    site.processes["vm-1"].wait_until_listening()
    for vm in ("vm-1", "vm-2"):
        assert error_of(deposit_with_ticket(site, vm, ticket)) == ("outcome_unknown", "unknown")
    assert list(site.runs().values()) == [1]


def test_a_ticket_is_valid_for_one_call_only(site: Site) -> None:
    ticket = request_ticket(site, "vm-1")
    assert error_of(
        deposit_with_ticket(site, "vm-1", {**ticket, "ticket": ticket["ticket"] + "x"})
    )[0] == ("ticket_invalid")
    assert deposit_with_ticket(site, "vm-1", ticket).status == 200
    other_body_answer = site.call(
        "vm-1", "POST", DEPOSIT, body={"cents": 2}, headers={ticket["header"]: ticket["ticket"]}
    )
    assert error_of(other_body_answer) == ("idempotency_key_reused", "not_run")
    with_key_answer = deposit_with_ticket(site, "vm-1", ticket, **{"Idempotency-Key": "k"})
    assert error_of(with_key_answer) == ("bad_header", "not_run")


def test_claims_and_tickets_are_isolated_between_organisations(site: Site) -> None:
    own_answer = deposit(site, "vm-1", "k")
    headers = {"Idempotency-Key": "k"}
    other_answer = site.call(
        "vm-1", "POST", DEPOSIT, body={"cents": 1}, headers=headers, token=OTHER_TOKEN
    )
    assert (
        own_answer.status == other_answer.status == 200
        and "Azureturn-Duplicate" not in other_answer.headers
    )
    ticket = request_ticket(site, "vm-1")
    headers = {ticket["header"]: ticket["ticket"]}
    foreign_answer = site.call(
        "vm-2", "POST", DEPOSIT, body={"cents": 1}, headers=headers, token=OTHER_TOKEN
    )
    assert error_of(foreign_answer) == ("ticket_invalid", "not_run")


@pytest.mark.parametrize(("headers", "run_state"), [(FIRST_ATTEMPT, "not_run"), ({}, "unknown")])
def test_not_run_is_reported_for_a_ticket_only_on_a_first_attempt(
    site: Site, headers: dict[str, str], run_state: str
) -> None:
    ticket = request_ticket(site, "vm-1")
    site.processes["bookings-1"].kill()
    for vm in ("vm-1", "vm-2"):
        answer = deposit_with_ticket(
            site, vm, ticket, **{"Azureturn-Timeout-Ms": "1500"}, **headers
        )
        assert error_of(answer)[1] == run_state


def test_a_refusal_in_an_outage_does_not_report_an_earlier_run_as_not_run(site: Site) -> None:
    assert deposit(site, "vm-1", "k").status == 200
    site.control("key-value", outage=True)
    refused_answer = deposit(site, "vm-2", "k", **{"Azureturn-Timeout-Ms": "1500"})
    assert refused_answer.headers["Azureturn-Run-State"] == "unknown"
    assert site.runs() == {"k": 1}
