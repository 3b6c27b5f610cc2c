"""Demo: starts four daemons in two zones with stand-ins and sends one request of each kind."""

import json
import signal
import sys
import threading
import time
from typing import Any

from standins.site import EXAMPLES, MODEL, Answer, Site

STREAM_ROUTES = ("diagnosis",)
DEPOSIT = {"customer": "c-17", "amount_cents": 5_000}
DEPOSIT_KEY = "demo-deposit-1"


def _chat(route: str, text: str, *, stream: bool = False) -> dict[str, Any]:
    return {
        "body": {
            "model": MODEL,
            "stream": stream,
            "max_tokens": 20,
            "messages": [{"role": "user", "content": text}],
        },
        "headers": {"Azureturn-Route": route},
    }


def _print_answer(label: str, answer: Answer, took_ms: float) -> bool:
    error_kind = answer.headers.get("Azureturn-Error-Kind", "")
    duplicate = " shared with its duplicate" if "Azureturn-Duplicate" in answer.headers else ""
    sys.stdout.write(
        f"{label:<16} {answer.status} {took_ms:7.1f} ms  vm={answer.headers['Azureturn-Vm']} "
        f"upstream={answer.headers['Azureturn-Upstream']} "
        f"request={answer.headers['X-Request-Id']}{duplicate} {error_kind}\n"
    )
    return answer.status == 200


def _send(site: Site, label: str, vm: str, method: str, path: str, **options: Any) -> bool:
    began_s = time.perf_counter()
    answer = site.call(vm, method, path, **options)
    return _print_answer(label, answer, (time.perf_counter() - began_s) * 1_000)


def run_requests(site: Site) -> bool:
    """Send one request of each kind; return whether all succeeded and the deposit ran once."""
    chat_path = "/v1/chat/completions"
    deposit = {"body": DEPOSIT, "headers": {"Idempotency-Key": DEPOSIT_KEY}}
    diagnosis = _chat("diagnosis", "red wine on wool carpet", stream=True)
    question = _chat("fabric-question", "may silk be steamed?")
    summary = _chat("job-summary", "summarise the jobs of today")
    succeeded = [
        _send(site, "diagnosis", "vm-1", "POST", chat_path, **diagnosis),
        _send(site, "fabric question", "vm-2", "POST", chat_path, **question),
        _send(site, "job summary", "vm-3", "POST", chat_path, **summary),
        _send(site, "deposit", "vm-1", "POST", "/routes/deposit", **deposit),
        _send(site, "same deposit", "vm-4", "POST", "/routes/deposit", **deposit),
        _send(site, "status", "vm-2", "GET", "/routes/job-status/job-17"),
    ]
    runs = site.runs().get(DEPOSIT_KEY, 0)
    sys.stdout.write(f"the deposit ran {runs} time\n")
    return all(succeeded) and runs == 1


def connection_details(site: Site) -> str:
    """Return one line for each URL, token, route and command-line option of the site."""
    shared = json.loads((EXAMPLES / "kuiseb.json").read_text())["shared"]
    lines = [
        f"entry {name} {site.zone_of(name)} {site.processes[name].url}" for name in site.vm_names
    ]
    lines += [f"service {name} {site.processes[name].url}" for name in site.standin_names]
    lines += [f"token {row['name']} {row['token']}" for row in shared["organisations"]]
    lines += [
        f"route {row['name']} {row.get('method', 'POST')} /routes/{row['name']}"
        for row in shared["routes"]
        if row.get("path")
    ]
    lines.append(" ".join(["tool", "azureturn", *site.tool_options]))
    return "\n".join(lines) + "\n"


def main() -> None:
    """Run the demo; with the argument ``up``, keep the site running until SIGINT or SIGTERM."""
    keep_running = sys.argv[1:] == ["up"]
    stop_requested = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stop_requested.set())
    with Site() as site:
        if keep_running:
            sys.stdout.write(connection_details(site))
            sys.stdout.flush()
            stop_requested.wait()
            succeeded = True
        else:
            succeeded = run_requests(site)
    sys.exit(0 if succeeded else 1)


if __name__ == "__main__":
    main()
