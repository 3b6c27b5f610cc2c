"""Processes are killed or paused and links fail while requests are in flight.

After each failure: every idempotency key ran at most once; every caller got one complete answer
or one error; no request that ran was reported as ``not_run``. A deposit is a call that may run at
most once. The claimant is the VM that claims a deposit, that is, reserves the right to run it in
the key-value service.
"""

import signal
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

import pytest
import urllib3

from standins.site import MODEL, Answer, Site, link_name

CHAT = "/v1/chat/completions"
DEPOSIT = "/routes/deposit"
KEY_VALUE = "key-value"
SERVICE = "bookings-1"
ENGINE = "engine-1"
WAIT_LIMIT_S = 20.0
KEY_VALUE_TIMEOUT_MS = 400

LINKS = tuple(
    (vm, target)
    for vm in ("vm-1", "vm-2")
    for target in (KEY_VALUE, "vm-list", SERVICE, ENGINE)
    if (vm, target) != ("vm-2", SERVICE)
)


def wait_for(condition: Callable[[], bool]) -> None:
    ends_at_s = time.monotonic() + WAIT_LIMIT_S
    while not condition():
        assert time.monotonic() < ends_at_s, "condition not met within WAIT_LIMIT_S"
        time.sleep(0.02)


@dataclass
class DepositRecorder:
    """Sends deposits, records their answers and compares them with the runs of the services."""

    site: Site
    answers: dict[str, list[Answer]] = field(default_factory=dict)

    def deposit(self, key: str, vm: str, *, timeout_ms: int = 4_000) -> Answer | None:
        """Send a deposit and record its answer; return None if the connection broke."""
        headers = {"Idempotency-Key": key, "Azureturn-Timeout-Ms": str(timeout_ms)}
        had_run = self._has_run(key)
        try:
            answer = self.site.call(vm, "POST", DEPOSIT, body={"key": key}, headers=headers)
        except urllib3.exceptions.HTTPError:
            return None
        if had_run:
            # An earlier attempt ran, so ``not_run`` would be wrong whichever VM answers.
            assert (
                answer.headers.get("Azureturn-Run-State") != "not_run"
            ), f"{key} was answered not_run although an earlier attempt had run"
        self.answers.setdefault(key, []).append(answer)
        return answer

    def _has_run(self, key: str) -> bool:
        try:
            return self.site.runs().get(key, 0) > 0
        except urllib3.exceptions.HTTPError:
            # The service is down or paused; its counts are checked at the end of the test.
            return False

    def check(self) -> None:
        """Compare every answer with the runs that the services counted."""
        runs = self.site.runs()
        request_runs = self.site.request_runs()
        for key, answers in self.answers.items():
            assert runs.get(key, 0) <= 1, f"{key} ran {runs[key]} times"
            for answer in answers:
                self._check_answer(key, answer, runs.get(key, 0), request_runs)
            bodies = {answer.body for answer in answers if answer.status == 200}
            assert len(bodies) <= 1, f"{key} has two different answers"

    @staticmethod
    def _check_answer(key: str, answer: Answer, runs: int, request_runs: dict[str, int]) -> None:
        if answer.status == 200:
            assert answer.json()["path"] == "/deposits"
            assert runs == 1, f"{key} was answered but never ran"
            return
        state = answer.json()["error"]["run_state"]
        assert state == answer.headers["Azureturn-Run-State"]
        ran = request_runs.get(answer.headers["X-Request-Id"], 0)
        assert not (state == "not_run" and ran), f"{key} ran but was answered not_run"


@pytest.fixture
def site() -> Iterator[Site]:
    limits = {"silence_timeout_ms": 300, "connect_timeout_ms": 300}
    with Site(
        vms=2,
        zones=2,
        engines=1,
        services=1,
        daemon_settings=limits,
        platform_settings={"key_value_timeout_ms": KEY_VALUE_TIMEOUT_MS},
        links=LINKS,
    ) as running_site:
        yield running_site


@pytest.fixture
def recorder(site: Site) -> Iterator[DepositRecorder]:
    recorder = DepositRecorder(site)
    yield recorder
    recorder.check()


def key_value_call_count(site: Site) -> int:
    """Return the number of range and transaction calls that the key-value service received."""
    counts = site.read(KEY_VALUE, "/calls")
    return int(counts.get("/v3/kv/range", 0) + counts.get("/v3/kv/txn", 0))


def test_the_claimant_is_killed_before_its_claim(site: Site, recorder: DepositRecorder) -> None:
    site.control(KEY_VALUE, outage=True)
    with ThreadPoolExecutor() as pool:
        count_before = key_value_call_count(site)
        first = pool.submit(recorder.deposit, "k", "vm-1")
        wait_for(lambda: key_value_call_count(site) > count_before)
        site.processes["vm-1"].kill()
        assert first.result() is None
    site.control(KEY_VALUE, outage=False)
    wait_for(lambda: (recorder.deposit("k", "vm-2") or fail_without_answer()).status == 200)
    assert site.runs()["k"] == 1


def fail_without_answer() -> Answer:
    raise AssertionError("no answer from a VM that was not killed")


def test_the_claimant_is_killed_after_its_claim(site: Site, recorder: DepositRecorder) -> None:
    site.control(link_name("vm-1", SERVICE), mode="drop")
    with ThreadPoolExecutor() as pool:
        first = pool.submit(recorder.deposit, "k", "vm-1")
        # A call is dispatched only after its claim is written, so an open connection to the
        # service shows that the claim was written.
        link = link_name("vm-1", SERVICE)
        wait_for(lambda: site.read(link, "/state")["open"] > 0)
        site.processes["vm-1"].kill()
        assert first.result() is None
    for _ in range(2):
        answer = recorder.deposit("k", "vm-2")
        assert answer is not None and answer.headers["Azureturn-Run-State"] == "unknown"
    assert site.runs().get("k", 0) == 0


def test_the_claimant_is_killed_after_the_first_byte(site: Site, recorder: DepositRecorder) -> None:
    site.control(SERVICE, delay_ms=60_000)
    with ThreadPoolExecutor() as pool:
        first = pool.submit(recorder.deposit, "k", "vm-1")
        wait_for(lambda: site.runs().get("k") == 1)
        site.processes["vm-1"].kill()
        assert first.result() is None
    for _ in range(2):
        answer = recorder.deposit("k", "vm-2")
        assert answer is not None and answer.headers["Azureturn-Run-State"] == "unknown"


def test_the_claimant_is_killed_before_the_outcome_is_written(
    site: Site, recorder: DepositRecorder
) -> None:
    site.control(SERVICE, delay_ms=300)
    with ThreadPoolExecutor() as pool:
        first = pool.submit(recorder.deposit, "k", "vm-1")
        wait_for(lambda: site.runs().get("k") == 1)
        site.control(link_name("vm-1", KEY_VALUE), mode="drop")
        answer = first.result()
        assert answer is not None and answer.status == 200
    site.processes["vm-1"].kill()
    retry_answer = recorder.deposit("k", "vm-2")
    assert retry_answer is not None and retry_answer.headers["Azureturn-Run-State"] == "unknown"


@pytest.mark.parametrize("times", [1, 2])
def test_a_claimant_that_is_paused_past_its_timeouts(
    site: Site, recorder: DepositRecorder, times: int
) -> None:
    for number in range(times):
        key = f"k{number}"
        site.control(SERVICE, delay_ms=500)
        with ThreadPoolExecutor() as pool:
            first = pool.submit(recorder.deposit, key, "vm-1")
            wait_for(lambda key=key: site.runs().get(key) == 1)  # type: ignore[misc]
            with paused(site, "vm-1"):
                other_answer = recorder.deposit(key, "vm-2", timeout_ms=1_000)
                assert (
                    other_answer is not None
                    and other_answer.headers["Azureturn-Run-State"] == "unknown"
                )
            answer = first.result()
            assert answer is not None and answer.status == 200
        shared_answer = recorder.deposit(key, "vm-2")
        assert shared_answer is not None and shared_answer.status == 200


@contextmanager
def paused(site: Site, name: str) -> Iterator[None]:
    site.processes[name].send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        site.processes[name].send_signal(signal.SIGCONT)


KEY_VALUE_FAULTS: dict[str, dict[str, Any]] = {
    "down": {"outage": True},
    "slow": {"slow_ms": 2 * KEY_VALUE_TIMEOUT_MS},
    "slow, but within the time limit": {"slow_ms": KEY_VALUE_TIMEOUT_MS // 4},
    "loses answers": {"lose_write_answers": 3},
    "delays writes": {"delay_writes": 2, "delay_write_ms": 900},
    "delays and loses": {"delay_writes": 1, "delay_write_ms": 900, "lose_write_answers": 2},
}


@pytest.mark.parametrize("case", KEY_VALUE_FAULTS)
def test_faults_of_the_key_value_service(site: Site, recorder: DepositRecorder, case: str) -> None:
    site.control(KEY_VALUE, **KEY_VALUE_FAULTS[case])
    with ThreadPoolExecutor() as pool:
        futures = [
            pool.submit(recorder.deposit, f"k{number}", vm, timeout_ms=2_000)
            for number in range(3)
            for vm in ("vm-1", "vm-2")
        ]
        assert all(future.result() is not None for future in futures)
    site.control(KEY_VALUE, outage=False, slow_ms=0, lose_write_answers=0, delay_writes=0)
    for number in range(3):
        # A VM for which a call to the key-value service has failed retries only after a back-off.
        wait_for(lambda key=f"k{number}": is_final(recorder.deposit(key, "vm-2")))  # type: ignore[misc]


def is_final(answer: Answer | None) -> bool:
    """Return whether the answer is final: a retry with the same key would not change it."""
    assert answer is not None
    return answer.status == 200 or answer.headers["Azureturn-Run-State"] == "unknown"


@pytest.mark.parametrize("mode", ["refuse", "drop", "freeze"])
def test_a_vm_is_partitioned_from_the_key_value_service(
    site: Site, recorder: DepositRecorder, mode: str
) -> None:
    assert chat(site, "vm-1").status == 200
    recorder.deposit("before", "vm-1")
    site.control(link_name("vm-1", KEY_VALUE), mode=mode)
    assert chat(site, "vm-1").status == 200
    partitioned_answer = recorder.deposit("k", "vm-1", timeout_ms=2_000)
    other_answer = recorder.deposit("k", "vm-2")
    site.control(link_name("vm-1", KEY_VALUE), mode="pass")
    later_answer = recorder.deposit("k", "vm-1")
    for answer in (partitioned_answer, other_answer, later_answer):
        assert answer is not None
    assert site.runs().get("k", 0) == 1
    if mode == "freeze":
        assert partitioned_answer is not None and partitioned_answer.status == 200


def chat(site: Site, vm: str, *, tokens: int = 30) -> Answer:
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": "wool"}],
        "max_tokens": tokens,
        "stream": True,
    }
    return site.call(vm, "POST", CHAT, body=body)


def is_complete(answer: Answer, tokens: int) -> bool:
    words = [f"word{number} ".encode() for number in range(1, tokens + 1)]
    is_terminated = answer.body.endswith(b"data: [DONE]\n\n")
    return is_terminated and all(answer.body.count(word) == 1 for word in words)


def start_stream(site: Site, pool: ThreadPoolExecutor, tokens: int) -> "Future[Answer]":
    tokens_before = site.read(ENGINE, "/counters")["output_tokens"]
    stream = pool.submit(chat, site, "vm-1", tokens=tokens)
    wait_for(lambda: site.read(ENGINE, "/counters")["output_tokens"] > tokens_before + 3)
    return stream


def test_a_stream_survives_two_stalled_connections(site: Site) -> None:
    with ThreadPoolExecutor() as pool:
        stream = start_stream(site, pool, 100)
        for _ in range(2):
            site.control(link_name("vm-1", ENGINE), mode="freeze")
            tokens_before = site.read(ENGINE, "/counters")["output_tokens"]
            wait_for(
                lambda tokens_before=tokens_before: (  # type: ignore[misc]
                    site.read(ENGINE, "/counters")["output_tokens"] > tokens_before + 30
                )
            )
        assert is_complete(stream.result(), 100)
    assert list(site.read(ENGINE, "/runs").values()) == [1]


def test_a_stream_survives_a_brief_disconnection_from_its_engine(site: Site) -> None:
    with ThreadPoolExecutor() as pool:
        stream = start_stream(site, pool, 60)
        site.control(link_name("vm-1", ENGINE), mode="refuse")
        tokens_before = site.read(ENGINE, "/counters")["output_tokens"]
        wait_for(lambda: site.read(ENGINE, "/counters")["output_tokens"] > tokens_before + 20)
        site.control(link_name("vm-1", ENGINE), mode="pass")
        assert is_complete(stream.result(), 60)
    assert list(site.read(ENGINE, "/runs").values()) == [1]


@pytest.mark.parametrize("times", [1, 2])
def test_a_service_call_over_a_stalled_connection(
    site: Site, recorder: DepositRecorder, times: int
) -> None:
    for number in range(times):
        site.control(SERVICE, delay_ms=400)
        with ThreadPoolExecutor() as pool:
            key = f"k{number}"
            first = pool.submit(recorder.deposit, key, "vm-1", timeout_ms=1_500)
            wait_for(lambda key=key: site.runs().get(key) == 1)  # type: ignore[misc]
            site.control(link_name("vm-1", SERVICE), mode="freeze")
            first_answer = first.result()
            assert (
                first_answer is not None
                and first_answer.headers["Azureturn-Run-State"] == "unknown"
            )
        retry_answer = recorder.deposit(key, "vm-1")
        assert retry_answer is not None and retry_answer.headers["Azureturn-Run-State"] == "unknown"
        new_answer = recorder.deposit(f"new{number}", "vm-1")
        assert new_answer is not None and new_answer.status == 200


@pytest.mark.parametrize("times", [1, 2])
def test_a_vm_and_an_upstream_fail_together(
    site: Site, recorder: DepositRecorder, times: int
) -> None:
    for number in range(times):
        key = f"k{number}"
        site.control(SERVICE, delay_ms=60_000)
        with ThreadPoolExecutor() as pool:
            first = pool.submit(recorder.deposit, key, "vm-1")
            wait_for(lambda key=key: site.runs().get(key) == 1)  # type: ignore[misc]
            with paused(site, SERVICE):
                site.processes["vm-1"].kill()
                assert first.result() is None
                other_answer = recorder.deposit(key, "vm-2", timeout_ms=1_000)
                assert (
                    other_answer is not None
                    and other_answer.headers["Azureturn-Run-State"] == "unknown"
                )
        site.control(SERVICE, delay_ms=2)
        site.processes["vm-1"].start()
        site.processes["vm-1"].wait_until_listening()
        later_answer = recorder.deposit(key, "vm-1")
        assert later_answer is not None and later_answer.headers["Azureturn-Run-State"] == "unknown"
        new_answer = recorder.deposit(f"new{number}", "vm-2")
        assert new_answer is not None and new_answer.status == 200
