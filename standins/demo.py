"""The demo: four daemons in two zones among stand-ins, and one request of each kind."""

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


def _show(label: str, answer: Answer, took_ms: float) -> bool:
    refused = answer.headers.get("Azureturn-Error-Kind", "")
    duplicate = " shared with its duplicate" if "Azureturn-Duplicate" in answer.headers else ""
    sys.stdout.write(
        f"{label:<16} {answer.status} {took_ms:7.1f} ms  vm={answer.headers['Azureturn-Vm']} "
        f"upstream={answer.headers['Azureturn-Upstream']} "
        f"request={answer.headers['X-Request-Id']}{duplicate} {refused}\n"
    )
    return answer.status == 200


def _ask(site: Site, label: str, vm: str, method: str, path: str, **options: Any) -> bool:
    began_s = time.perf_counter()
    answer = site.call(vm, method, path, **options)
    return _show(label, answer, (time.perf_counter() - began_s) * 1_000)


def run_requests(site: Site) -> bool:
    """Send one request of each kind and return whether all were answered as they should be."""
    chat_path = "/v1/chat/completions"
    deposit = {"body": DEPOSIT, "headers": {"Idempotency-Key": DEPOSIT_KEY}}
    diagnosis = _chat("diagnosis", "red wine on wool carpet", stream=True)
    question = _chat("fabric-question", "may silk be steamed?")
    summary = _chat("job-summary", "summarise the jobs of today")
    good = [
        _ask(site, "diagnosis", "vm-1", "POST", chat_path, **diagnosis),
        _ask(site, "fabric question", "vm-2", "POST", chat_path, **question),
        _ask(site, "job summary", "vm-3", "POST", chat_path, **summary),
        _ask(site, "deposit", "vm-1", "POST", "/routes/deposit", **deposit),
        _ask(site, "same deposit", "vm-4", "POST", "/routes/deposit", **deposit),
        _ask(site, "status", "vm-2", "GET", "/routes/job-status/job-17"),
    ]
    runs = site.runs().get(DEPOSIT_KEY, 0)
    sys.stdout.write(f"the deposit ran {runs} time\n")
    return all(good) and runs == 1


def describe(site: Site) -> str:
    """Return the lines that tell where everything is."""
    shared = json.loads((EXAMPLES / "kuiseb.json").read_text())["shared"]
    lines = [
        f"entry {name} {site.zone_of(name)} {site.processes[name].url}" for name in site.vm_names
    ]
    lines += [f"service {name} {site.processes[name].url}" for name in site.service_names]
    lines += [f"token {row['name']} {row['token']}" for row in shared["organisations"]]
    lines += [
        f"route {row['name']} {row.get('method', 'POST')} /routes/{row['name']}"
        for row in shared["routes"]
        if row.get("path")
    ]
    lines.append(" ".join(["tool", "azureturn", *site.tool_options]))
    return "\n".join(lines) + "\n"


def main() -> None:
    """Run the demo; with the argument ``up`` leave everything running until interrupted."""
    stay_up = sys.argv[1:] == ["up"]
    stop_wanted = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stop_wanted.set())
    with Site() as site:
        if stay_up:
            sys.stdout.write(describe(site))
            sys.stdout.flush()
            stop_wanted.wait()
            good = True
        else:
            good = run_requests(site)
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
