"""Faults of the randomised run; each is injected, lasts for a random time and is reverted."""

import random
import signal
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from standins.site import Site, link_name

KEY_VALUE = "key-value"
LINKED_VMS = ("vm-1", "vm-3")
ENGINES = ("engine-1", "engine-2")
SERVICES = ("bookings-1", "bookings-2")
LINKS = tuple((vm, target) for vm in LINKED_VMS for target in (KEY_VALUE, *ENGINES, *SERVICES))
MAX_DURATION_S = 1.2
STOP_LIMIT_S = 30.0

Fault = Callable[["FaultInjector"], None]
FAULTS: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register the decorated function as a fault with this name."""

    def register(function: Fault) -> Fault:
        FAULTS[name] = function
        return function

    return register


@dataclass
class FaultInjector:
    """Injects random faults into a site; each thread has its own."""

    site: Site
    random: random.Random
    locks: dict[str, threading.Lock]
    #: Number of times each VM went down or came back up: odd while it is down. A broken
    #: connection is a violation only if the VM was up and the number has not changed.
    availability_changes: dict[str, int]
    violations: list[str]
    counts: dict[str, int] = field(default_factory=dict)

    def inject_one(self) -> None:
        """Inject one random fault, wait, and revert it."""
        name = self.random.choice(sorted(FAULTS))
        FAULTS[name](self)
        self.counts[name] = self.counts.get(name, 0) + 1

    def wait(self) -> None:
        """Sleep for the random duration of a fault."""
        time.sleep(self.random.uniform(0.1, MAX_DURATION_S))

    @contextmanager
    def choose_target(self, *names: str) -> Iterator[str]:
        """Choose one of the processes or links at random and lock it against other faults."""
        name = self.random.choice(names)
        with self.locks[name]:
            yield name

    def toggle(self, name: str, **changes: tuple[object, object]) -> None:
        """Set switches, wait, and reset them; a change is (value during the fault, value after)."""
        self.site.control(name, **{switch: during for switch, (during, _) in changes.items()})
        self.wait()
        self.site.control(name, **{switch: after for switch, (_, after) in changes.items()})


@fault("vm killed")
def _kill_vm(injector: FaultInjector) -> None:
    with injector.choose_target(*injector.site.vm_names) as vm:
        injector.availability_changes[vm] += 1
        injector.site.processes[vm].kill()
        injector.wait()
        _restart(injector, vm)


@fault("vm stopped as planned")
def _stop_vm(injector: FaultInjector) -> None:
    with injector.choose_target(*injector.site.vm_names) as vm:
        process = injector.site.processes[vm]
        assert process.handle is not None
        process.send_signal(signal.SIGTERM)
        code = process.handle.wait(STOP_LIMIT_S)
        injector.availability_changes[vm] += 1
        if code != 0:
            injector.violations.append(f"{vm}: a planned stop ended with exit code {code}")
        _restart(injector, vm)


def _restart(injector: FaultInjector, vm: str) -> None:
    injector.site.processes[vm].start()
    injector.site.processes[vm].wait_until_listening()
    injector.availability_changes[vm] += 1


@fault("vm paused")
def _pause_vm(injector: FaultInjector) -> None:
    _pause(injector, *injector.site.vm_names)


@fault("upstream paused")
def _pause_upstream(injector: FaultInjector) -> None:
    _pause(injector, *ENGINES, *SERVICES)


def _pause(injector: FaultInjector, *names: str) -> None:
    with injector.choose_target(*names) as name:
        injector.site.processes[name].send_signal(signal.SIGSTOP)
        injector.wait()
        injector.site.processes[name].send_signal(signal.SIGCONT)


@fault("key-value outage")
def _fail_key_value(injector: FaultInjector) -> None:
    with injector.choose_target(KEY_VALUE):
        injector.toggle(KEY_VALUE, outage=(True, False))


@fault("key-value slow")
def _slow_down_key_value(injector: FaultInjector) -> None:
    with injector.choose_target(KEY_VALUE):
        injector.toggle(KEY_VALUE, slow_ms=(injector.random.choice([50, 300, 700]), 0))


@fault("key-value loses answers")
def _lose_write_answers(injector: FaultInjector) -> None:
    with injector.choose_target(KEY_VALUE):
        injector.toggle(KEY_VALUE, lose_write_answers=(injector.random.randint(1, 6), 0))


@fault("key-value delays writes")
def _delay_writes(injector: FaultInjector) -> None:
    with injector.choose_target(KEY_VALUE):
        injector.toggle(
            KEY_VALUE, delay_writes=(injector.random.randint(1, 4), 0), delay_write_ms=(600, 600)
        )


@fault("link fails")
def _fail_link(injector: FaultInjector) -> None:
    with injector.choose_target(*(link_name(vm, target) for vm, target in LINKS)) as name:
        mode = injector.random.choice(["refuse", "drop", "freeze"])
        injector.toggle(name, mode=(mode, "pass"))


@fault("zone cut from the key-value service")
def _cut_zone_from_key_value(injector: FaultInjector) -> None:
    first, second = (link_name(vm, KEY_VALUE) for vm in LINKED_VMS)
    with injector.locks[first], injector.locks[second]:
        injector.site.control(first, mode="drop")
        injector.toggle(second, mode=("drop", "pass"))
        injector.site.control(first, mode="pass")


@fault("service fails")
def _fail_service(injector: FaultInjector) -> None:
    with injector.choose_target(*SERVICES) as name:
        switch = injector.random.choice(
            ["close_after_run", "close_after_read", "silent", "truncate"]
        )
        injector.toggle(name, **{switch: (True, False)})


@fault("engine fails")
def _fail_engine(injector: FaultInjector) -> None:
    with injector.choose_target(*ENGINES) as name:
        changes: dict[str, tuple[object, object]] = injector.random.choice(
            [
                {"truncate_after_tokens": (2, 0)},
                {"silent_after_tokens": (2, 0)},
                {"silent": (True, False)},
                {"close_after_read": (True, False)},
                {"crossed_after_tokens": (2, 0)},
                {"wrong_request_id": (True, False)},
                {"fail_share": (0.5, 0.0)},
            ]
        )
        injector.toggle(name, **changes)
