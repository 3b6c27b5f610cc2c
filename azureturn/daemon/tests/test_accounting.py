"""Each request is counted once over all VMs of a site, under its actual result."""

import io
import json
from pathlib import Path

import pytest

from azureturn._time_of_day import unix_now_ms
from azureturn.core import Configuration, Core, Request, Started
from azureturn.daemon._accounting import Accounting
from azureturn.errors import AzureturnError, ErrorKind
from azureturn.observability import (
    HOUR_MS,
    UNKNOWN_TIER,
    EventLog,
    JsonLinesHandler,
    Metrics,
    SliCounts,
)
from azureturn.serving import CoreRuntime, now_ms
from azureturn.settings import UpstreamKind, load_settings

EXAMPLES = Path(__file__).parents[3] / "examples"
SETTINGS = load_settings(EXAMPLES / "base.json", [EXAMPLES / "kuiseb.json"])


class AccountingRecorder:
    def __init__(self) -> None:
        self.errors: list[Exception] = []
        core = Core.from_settings(SETTINGS, seed=1)
        runtime = CoreRuntime(core, tick_interval_ms=1_000, report_error=self.errors.append)
        runtime.submit(Started(Configuration(0, SETTINGS.shared)))
        self.stream = io.StringIO()
        log = EventLog(JsonLinesHandler(self.stream), vm="vm-1")
        self.accounting = Accounting(
            runtime=runtime, log=log, metrics=Metrics(None), started_at_unix_ms=0
        )

    def counts(self, tier: str) -> SliCounts:
        window = self.accounting.service_levels.window(HOUR_MS, now_unix_ms=unix_now_ms())
        return window.total(lambda key: key.tier == tier)

    def logged_events(self) -> list[str]:
        return [json.loads(line)["event"] for line in self.stream.getvalue().splitlines()]


def request(*, left_ms: int = 60_000) -> Request:
    return Request(
        request_id="vm-1-1",
        organisation="front-desk",
        route="diagnosis",
        tier_rank=0,
        target="fibre-large",
        kind=UpstreamKind.MODEL_ENGINE,
        arrived_at_ms=now_ms(),
        deadline_ms=now_ms() + left_ms,
    )


CASES = {
    "answered": ({}, SliCounts(good_count=1)),
    "answered late": ({"left_ms": -1}, SliCounts(bad_count=1)),
    "failed status": ({"status": 503}, SliCounts(bad_count=1)),
    "caller's status": ({"status": 404}, SliCounts(good_count=1)),
    "refused": ({"error": ErrorKind.SHED}, SliCounts(bad_count=1)),
    "caller gone": ({"error": ErrorKind.CALLER_GONE}, SliCounts()),
    "answered by another VM": ({"forwarded_to_vm": "vm-2"}, SliCounts()),
    "lost on the way to another VM": (
        {"forwarded_to_vm": "vm-2", "error": ErrorKind.UPSTREAM_SILENT},
        SliCounts(bad_count=1),
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_request_is_counted_by_its_result(case: str) -> None:
    ended, counts = CASES[case]
    account = AccountingRecorder()
    error = AzureturnError(ended["error"]) if "error" in ended else None  # type: ignore[arg-type]
    account.accounting.request_ended(
        request(left_ms=int(str(ended.get("left_ms", 60_000)))),
        upstream="fibre-large-1",
        error=error,
        status=int(str(ended.get("status", 200))),
        forwarded_to_vm=str(ended.get("forwarded_to_vm", "")),
    )
    assert account.counts("urgent") == counts
    assert account.logged_events() == ["request_ended"]


def test_refusal_reported_twice_is_recorded_once() -> None:
    account = AccountingRecorder()
    error = AzureturnError(ErrorKind.SHED)
    account.accounting.request_ended(request(), upstream="", error=error)
    account.accounting.request_refused("vm-1-1", error)
    assert account.logged_events() == ["request_ended"]
    assert len(account.accounting.refusals.latest(10)) == 1
    assert account.counts(UNKNOWN_TIER) == SliCounts()


def test_refusal_before_the_tier_is_known_is_counted_under_the_unknown_tier() -> None:
    account = AccountingRecorder()
    account.accounting.request_refused("vm-1-2", AzureturnError(ErrorKind.OVERLOADED))
    assert account.counts(UNKNOWN_TIER) == SliCounts(bad_count=1)
    assert account.logged_events() == ["request_refused"]


def test_oldest_refusals_are_evicted_and_counted() -> None:
    account = AccountingRecorder()
    for number in range(1_005):
        account.accounting.request_refused(f"r-{number}", AzureturnError(ErrorKind.OVERLOADED))
    refusals = account.accounting.refusals
    assert refusals.latest(1)[0].request_id == "r-1004"
    assert (len(refusals.latest(2_000)), refusals.forgotten_count) == (1_000, 5)
