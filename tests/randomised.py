"""Sends random requests during random faults and checks every answer.

``python -m tests.randomised --requests 10000 --faults 500 --seed 1`` prints one line of JSON:
the numbers of requests and faults, counts of the answers by kind, and the violations found.
"""

import argparse
import json
import random
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Any

import urllib3

from standins.site import MODEL, Answer, Site, link_name
from tests.randomised_faults import ENGINES, KEY_VALUE, LINKS, SERVICES, FaultInjector

TIMEOUT_MS = 4_000
#: Client timeout; every answer must arrive within it, even while several faults overlap.
ANSWER_LIMIT_S = 40.0
CALLER_THREADS = 12
FAULT_THREADS = 2
TOKENS = 12
_EXPECTED_TEXT = "".join(f"word{number} " for number in range(1, TOKENS + 1))


@dataclass
class AnswerRecorder:
    """Records the answers and compares them with the runs that the stand-ins counted."""

    violations: list[str] = field(default_factory=list)
    answer_counts: "Counter[str]" = field(default_factory=Counter)
    #: Ids of the requests that were answered with run state ``not_run``.
    not_run: set[str] = field(default_factory=set)
    #: Bodies of successful answers by idempotency key.
    bodies: dict[str, set[bytes]] = field(default_factory=dict)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def record(self, source: str, answer: Answer, *, is_complete: Callable[[Answer], bool]) -> None:
        """Record one answer, which must be complete or a well-formed error."""
        with self.lock:
            if answer.status == 200 and is_complete(answer):
                self.answer_counts["answered"] += 1
                return
            error = _error_of(answer)
            if error is None:
                self.violations.append(
                    f"{source}: neither a complete answer nor an error: {answer.body[-200:]!r}"
                )
                return
            self.answer_counts[f"{error['type']}/{error['run_state']}"] += 1
            if error["run_state"] == "not_run":
                self.not_run.add(answer.headers["X-Request-Id"])

    def check_not_answered_not_run(self, key: str, answer: Answer) -> None:
        """Check that an answer after an attempt that ran is not ``not_run``."""
        error = None if answer.status == 200 else _error_of(answer)
        if error is not None and error["run_state"] == "not_run":
            with self.lock:
                self.violations.append(f"{key}: not_run although an earlier attempt had run")

    def check(self, site: Site) -> None:
        """Compare all recorded answers with the runs that the stand-ins counted."""
        runs = site.runs()
        runs_by_request = Counter(site.request_runs())
        for engine in ENGINES:
            runs_by_request.update(site.read(engine, "/runs"))
        self.violations += [
            f"{key} ran {count} times" for key, count in runs.items() if count > 1 and key
        ]
        self.violations += [
            f"{request_id} dispatched {count} times"
            for request_id, count in runs_by_request.items()
            if count > 1
        ]
        self.violations += [
            f"{request_id}: not_run although it ran"
            for request_id in self.not_run & set(runs_by_request)
        ]
        for key, bodies in self.bodies.items():
            if len(bodies) > 1:
                self.violations.append(f"{key} has {len(bodies)} different answers")
            if not runs.get(key):
                self.violations.append(f"{key} was answered but never ran")


def _error_of(answer: Answer) -> dict[str, Any] | None:
    try:
        if answer.status == 200:
            return dict(json.loads(answer.body.split(b"data: ")[-1])["error"])
        error = dict(json.loads(answer.body)["error"])
    except (ValueError, KeyError, TypeError):
        return None
    return error if error["run_state"] == answer.headers.get("Azureturn-Run-State") else None


def _is_complete_stream(answer: Answer) -> bool:
    if not answer.body.endswith(b"data: [DONE]\n\n"):
        return False
    lines = [line[6:] for line in answer.body.split(b"\n") if line.startswith(b"data: {")]
    choices = [json.loads(line)["choices"][0] for line in lines]
    return "".join(choice["delta"].get("content", "") for choice in choices) == _EXPECTED_TEXT


def _is_complete_text(answer: Answer) -> bool:
    return bool(answer.json()["choices"][0]["message"]["content"] == _EXPECTED_TEXT)


def _is_complete_json(answer: Answer) -> bool:
    return "received_bytes" in answer.json()


class RequestSender:
    """Sends random requests; a request whose VM goes down is retried at a random VM."""

    def __init__(
        self, site: Site, recorder: AnswerRecorder, availability_changes: dict[str, int]
    ) -> None:
        self._site = site
        self._recorder = recorder
        self._availability_changes = availability_changes

    def send(self, number: int, seed: int) -> None:
        """Send one random request and wait for its answer."""
        generator = random.Random(f"{seed}/{number}")
        kind = generator.choice(["deposit", "deposit", "status", "stream", "whole"])
        if kind == "deposit":
            self._send_deposit(f"key-{number}", generator)
        elif kind == "status":
            self._send_with_retries(
                generator, "GET", "/routes/job-status/1", None, _is_complete_json
            )
        else:
            streamed = kind == "stream"
            message = {"role": "user", "content": f"wool {generator.random()}"}
            body = {"model": MODEL, "messages": [message], "max_tokens": TOKENS, "stream": streamed}
            is_complete = _is_complete_stream if streamed else _is_complete_text
            self._send_with_retries(generator, "POST", "/v1/chat/completions", body, is_complete)

    def _has_run(self, key: str) -> bool:
        try:
            return self._site.runs().get(key, 0) > 0
        except urllib3.exceptions.HTTPError:
            return False

    def _send_deposit(self, key: str, generator: random.Random) -> None:
        """Send a deposit with up to two duplicates, one after the other or concurrently."""
        attempts = generator.choice([1, 1, 2, 3])
        generators = [random.Random(generator.random()) for _ in range(attempts)]

        def attempt(attempt_generator: random.Random) -> None:
            headers = {"Idempotency-Key": key}
            had_run = self._has_run(key)
            answer = self._send_with_retries(
                attempt_generator,
                "POST",
                "/routes/deposit",
                {"key": key},
                _is_complete_json,
                headers,
            )
            if answer is not None and had_run:
                self._recorder.check_not_answered_not_run(key, answer)
            if answer is not None and answer.status == 200:
                with self._recorder.lock:
                    self._recorder.bodies.setdefault(key, set()).add(answer.body)

        if generator.random() < 0.5:
            with ThreadPoolExecutor() as pool:
                list(pool.map(attempt, generators))
        else:
            for attempt_generator in generators:
                attempt(attempt_generator)

    def _send_with_retries(
        self,
        generator: random.Random,
        method: str,
        path: str,
        body: Any,
        is_complete: Callable[[Answer], bool],
        headers: dict[str, str] | None = None,
    ) -> Answer | None:
        request_headers = {
            "Azureturn-Timeout-Ms": str(TIMEOUT_MS),
            "Connection": "close",
            **(headers or {}),
        }
        for _ in range(20):
            vm = generator.choice(self._site.vm_names)
            changes_before = self._availability_changes[vm]
            try:
                answer = self._site.call(
                    vm, method, path, body=body, headers=request_headers, timeout_s=ANSWER_LIMIT_S
                )
            except urllib3.exceptions.HTTPError as error:
                time.sleep(0.1)
                if (
                    self._availability_changes[vm] == changes_before
                    and not _is_connection_refused(error)
                    and changes_before % 2 == 0
                ):
                    with self._recorder.lock:
                        self._recorder.violations.append(f"{vm} {path}: no answer: {error!r}")
                    return None
                self._recorder.answer_counts["connection broken by a VM going down"] += 1
                continue
            self._recorder.record(f"{vm} {path}", answer, is_complete=is_complete)
            return answer
        return None


def _is_connection_refused(error: urllib3.exceptions.HTTPError) -> bool:
    return isinstance(error, urllib3.exceptions.NewConnectionError)


def run(*, requests: int, faults: int, seed: int) -> dict[str, Any]:
    """Run requests and faults on a new site and return the report."""
    with Site(
        vms=4,
        zones=2,
        engines=2,
        services=2,
        links=LINKS,
        daemon_settings={"silence_timeout_ms": 400, "connect_timeout_ms": 300},
        platform_settings={"key_value_timeout_ms": 400},
    ) as site:
        recorder = AnswerRecorder()
        availability_changes = dict.fromkeys(site.vm_names, 0)
        names = [*site.vm_names, *ENGINES, *SERVICES, KEY_VALUE]
        names += [link_name(vm, target) for vm, target in LINKS]
        locks = {name: threading.Lock() for name in names}
        began_s = time.monotonic()
        injectors = [
            FaultInjector(
                site,
                random.Random(f"{seed}/faults/{number}"),
                locks,
                availability_changes,
                recorder.violations,
            )
            for number in range(FAULT_THREADS)
        ]
        threads = [
            threading.Thread(target=_inject_faults, args=(injector, faults // FAULT_THREADS))
            for injector in injectors
        ]
        for thread in threads:
            thread.start()
        sender = RequestSender(site, recorder, availability_changes)
        with ThreadPoolExecutor(CALLER_THREADS) as pool:
            list(pool.map(lambda number: sender.send(number, seed), range(requests)))
        for thread in threads:
            thread.join()
        recorder.check(site)
        counts: Counter[str] = sum((Counter(injector.counts) for injector in injectors), Counter())
        return {
            "requests": requests,
            "faults": sum(counts.values()),
            "seed": seed,
            "violations": len(recorder.violations),
            "took_s": round(time.monotonic() - began_s, 1),
            "told": dict(sorted(recorder.answer_counts.items())),
            "by_fault": dict(sorted(counts.items())),
            "first_violations": recorder.violations[:20],
        }


def _inject_faults(injector: FaultInjector, count: int) -> None:
    for _ in range(count):
        injector.inject_one()


def main() -> None:
    """Run from the command line; exit with 1 if there were violations."""
    parser = argparse.ArgumentParser(prog="python -m tests.randomised")
    parser.add_argument("--requests", type=int, default=10_000)
    parser.add_argument("--faults", type=int, default=500)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    report = run(requests=arguments.requests, faults=arguments.faults, seed=arguments.seed)
    sys.stdout.write(json.dumps(report) + "\n")
    sys.exit(1 if report["violations"] else 0)


if __name__ == "__main__":
    main()
