"""Random requests among random faults, with an account kept of every answer.

``python -m tests.randomised --requests 10000 --faults 500 --seed 1`` prints one line of JSON:
requests, faults, what callers were told, and violations (of which there must be none).
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
from tests.randomised_faults import ENGINES, KEY_VALUE, LINKS, SERVICES, Faults

TIMEOUT_MS = 4_000
#: Nothing is answered later than this, however many faults meet.
ANSWER_LIMIT_S = 40.0
CALLERS = 12
FAULT_THREADS = 2
TOKENS = 12
_TEXT = "".join(f"word{number} " for number in range(1, TOKENS + 1))


@dataclass
class Account:
    """Every answer, held against what ran."""

    violations: list[str] = field(default_factory=list)
    told: "Counter[str]" = field(default_factory=Counter)
    #: Request ids that callers were told had not run.
    not_run: set[str] = field(default_factory=set)
    bodies: dict[str, set[bytes]] = field(default_factory=dict)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def note(self, what: str, answer: Answer, *, is_whole: Callable[[Answer], bool]) -> None:
        """Take in one answer; it must be whole or an honest refusal."""
        with self.lock:
            if answer.status == 200 and is_whole(answer):
                self.told["answered"] += 1
                return
            error = _error_of(answer)
            if error is None:
                self.violations.append(
                    f"{what}: neither whole nor an error: {answer.body[-200:]!r}"
                )
                return
            self.told[f"{error['type']}/{error['run_state']}"] += 1
            if error["run_state"] == "not_run":
                self.not_run.add(answer.headers["X-Request-Id"])

    def check_not_denied(self, key: str, answer: Answer) -> None:
        """Hold an answer against an earlier attempt with the same key that had run."""
        error = None if answer.status == 200 else _error_of(answer)
        if error is not None and error["run_state"] == "not_run":
            with self.lock:
                self.violations.append(f"{key}: not_run, and an earlier attempt had run")

    def check(self, site: Site) -> None:
        """Hold all that was told against the runs that the stand-ins counted."""
        runs = site.runs()
        by_request = Counter(site.request_runs())
        for engine in ENGINES:
            by_request.update(site.read(engine, "/runs"))
        self.violations += [f"{key} ran {n} times" for key, n in runs.items() if n > 1 and key]
        self.violations += [
            f"{name} dispatched {n} times" for name, n in by_request.items() if n > 1
        ]
        self.violations += [f"{name}: not_run, and ran" for name in self.not_run & set(by_request)]
        for key, bodies in self.bodies.items():
            if len(bodies) > 1:
                self.violations.append(f"{key} has {len(bodies)} different answers")
            if not runs.get(key):
                self.violations.append(f"{key} was answered and never ran")


def _error_of(answer: Answer) -> dict[str, Any] | None:
    try:
        if answer.status == 200:
            return dict(json.loads(answer.body.split(b"data: ")[-1])["error"])
        error = dict(json.loads(answer.body)["error"])
    except (ValueError, KeyError, TypeError):
        return None
    return error if error["run_state"] == answer.headers.get("Azureturn-Run-State") else None


def _is_whole_stream(answer: Answer) -> bool:
    if not answer.body.endswith(b"data: [DONE]\n\n"):
        return False
    lines = [line[6:] for line in answer.body.split(b"\n") if line.startswith(b"data: {")]
    choices = [json.loads(line)["choices"][0] for line in lines]
    return "".join(one["delta"].get("content", "") for one in choices) == _TEXT


def _is_whole_text(answer: Answer) -> bool:
    return bool(answer.json()["choices"][0]["message"]["content"] == _TEXT)


def _is_whole_json(answer: Answer) -> bool:
    return "received_bytes" in answer.json()


class Callers:
    """Sends requests at random; a caller whose VM went down asks another."""

    def __init__(self, site: Site, account: Account, downs: dict[str, int]) -> None:
        self._site = site
        self._account = account
        self._downs = downs

    def send(self, number: int, seed: int) -> None:
        """Send one random request, to its end."""
        generator = random.Random(f"{seed}/{number}")
        kind = generator.choice(["deposit", "deposit", "status", "stream", "whole"])
        if kind == "deposit":
            self._deposit(f"key-{number}", generator)
        elif kind == "status":
            self._ask(generator, "GET", "/routes/job-status/1", None, _is_whole_json)
        else:
            streamed = kind == "stream"
            message = {"role": "user", "content": f"wool {generator.random()}"}
            body = {"model": MODEL, "messages": [message], "max_tokens": TOKENS, "stream": streamed}
            is_whole = _is_whole_stream if streamed else _is_whole_text
            self._ask(generator, "POST", "/v1/chat/completions", body, is_whole)

    def _has_run(self, key: str) -> bool:
        try:
            return self._site.runs().get(key, 0) > 0
        except urllib3.exceptions.HTTPError:
            return False

    def _deposit(self, key: str, generator: random.Random) -> None:
        """Send a deposit and, often, its duplicates, one after the other or together."""
        attempts = generator.choice([1, 1, 2, 3])
        generators = [random.Random(generator.random()) for _ in range(attempts)]

        def attempt(own: random.Random) -> None:
            headers = {"Idempotency-Key": key}
            had_run = self._has_run(key)
            answer = self._ask(
                own, "POST", "/routes/deposit", {"key": key}, _is_whole_json, headers
            )
            if answer is not None and had_run:
                self._account.check_not_denied(key, answer)
            if answer is not None and answer.status == 200:
                with self._account.lock:
                    self._account.bodies.setdefault(key, set()).add(answer.body)

        if generator.random() < 0.5:
            with ThreadPoolExecutor() as pool:
                list(pool.map(attempt, generators))
        else:
            for one in generators:
                attempt(one)

    def _ask(
        self,
        generator: random.Random,
        method: str,
        path: str,
        body: Any,
        is_whole: Callable[[Answer], bool],
        headers: dict[str, str] | None = None,
    ) -> Answer | None:
        sent = {"Azureturn-Timeout-Ms": str(TIMEOUT_MS), "Connection": "close", **(headers or {})}
        for _ in range(20):
            vm = generator.choice(self._site.vm_names)
            downs = self._downs[vm]
            try:
                answer = self._site.call(
                    vm, method, path, body=body, headers=sent, timeout_s=ANSWER_LIMIT_S
                )
            except urllib3.exceptions.HTTPError as error:
                time.sleep(0.1)
                if self._downs[vm] == downs and not _is_refused(error) and downs % 2 == 0:
                    with self._account.lock:
                        self._account.violations.append(f"{vm} {path}: no answer: {error!r}")
                    return None
                self._account.told["connection broken by a fallen VM"] += 1
                continue
            self._account.note(f"{vm} {path}", answer, is_whole=is_whole)
            return answer
        return None


def _is_refused(error: urllib3.exceptions.HTTPError) -> bool:
    return isinstance(error, urllib3.exceptions.NewConnectionError)


def run(*, requests: int, faults: int, seed: int) -> dict[str, Any]:
    """Run and return the figures."""
    with Site(
        vms=4,
        zones=2,
        engines=2,
        services=2,
        links=LINKS,
        daemon_settings={"silence_timeout_ms": 400, "connect_timeout_ms": 300},
        platform_settings={"key_value_timeout_ms": 400},
    ) as site:
        account = Account()
        downs = dict.fromkeys(site.vm_names, 0)
        names = [*site.vm_names, *ENGINES, *SERVICES, KEY_VALUE]
        names += [link_name(vm, to) for vm, to in LINKS]
        locks = {name: threading.Lock() for name in names}
        began_s = time.monotonic()
        each = [
            Faults(site, random.Random(f"{seed}/faults/{n}"), locks, downs, account.violations)
            for n in range(FAULT_THREADS)
        ]
        threads = [
            threading.Thread(target=_bring_about, args=(one, faults // FAULT_THREADS))
            for one in each
        ]
        for thread in threads:
            thread.start()
        callers = Callers(site, account, downs)
        with ThreadPoolExecutor(CALLERS) as pool:
            list(pool.map(lambda number: callers.send(number, seed), range(requests)))
        for thread in threads:
            thread.join()
        account.check(site)
        counts: Counter[str] = sum((Counter(one.counts) for one in each), Counter())
        return {
            "requests": requests,
            "faults": sum(counts.values()),
            "seed": seed,
            "violations": len(account.violations),
            "took_s": round(time.monotonic() - began_s, 1),
            "told": dict(sorted(account.told.items())),
            "by_fault": dict(sorted(counts.items())),
            "first_violations": account.violations[:20],
        }


def _bring_about(faults: Faults, count: int) -> None:
    for _ in range(count):
        faults.run_one()


def main() -> None:
    """Run from the command line; exit 1 where anything was violated."""
    parser = argparse.ArgumentParser(prog="python -m tests.randomised")
    parser.add_argument("--requests", type=int, default=10_000)
    parser.add_argument("--faults", type=int, default=500)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    figures = run(requests=arguments.requests, faults=arguments.faults, seed=arguments.seed)
    sys.stdout.write(json.dumps(figures) + "\n")
    sys.exit(1 if figures["violations"] else 0)


if __name__ == "__main__":
    main()
