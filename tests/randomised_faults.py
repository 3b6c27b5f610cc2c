"""The faults of the randomised run: each is begun, lasts a while, and is taken back."""

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
LINKS = tuple((vm, to) for vm in LINKED_VMS for to in (KEY_VALUE, *ENGINES, *SERVICES))
LONGEST_S = 1.2
STOP_LIMIT_S = 30.0

Fault = Callable[["Faults"], None]
FAULTS: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault."""

    def register(function: Fault) -> Fault:
        FAULTS[name] = function
        return function

    return register


@dataclass
class Faults:
    """What the faults of one thread share with each other and with the callers."""

    site: Site
    random: random.Random
    locks: dict[str, threading.Lock]
    #: How often each VM has gone down; callers excuse a broken connection by it.
    downs: dict[str, int]
    violations: list[str]
    counts: dict[str, int] = field(default_factory=dict)

    def run_one(self) -> None:
        """Bring about one fault, wait, and take it back."""
        name = self.random.choice(sorted(FAULTS))
        FAULTS[name](self)
        self.counts[name] = self.counts.get(name, 0) + 1

    def wait(self) -> None:
        """Let the fault last."""
        time.sleep(self.random.uniform(0.1, LONGEST_S))

    @contextmanager
    def one_of(self, *names: str) -> Iterator[str]:
        """Choose what fails; no other fault touches it meanwhile."""
        name = self.random.choice(names)
        with self.locks[name]:
            yield name

    def switch(self, name: str, **changes: tuple[object, object]) -> None:
        """Set switches, wait, and set them back; each change is (while it lasts, after)."""
        self.site.control(name, **{switch: during for switch, (during, _) in changes.items()})
        self.wait()
        self.site.control(name, **{switch: after for switch, (_, after) in changes.items()})


@fault("vm killed")
def _kill(faults: Faults) -> None:
    with faults.one_of(*faults.site.vm_names) as vm:
        faults.downs[vm] += 1
        faults.site.processes[vm].kill()
        faults.wait()
        _start_again(faults, vm)


@fault("vm stopped as planned")
def _stop(faults: Faults) -> None:
    with faults.one_of(*faults.site.vm_names) as vm:
        process = faults.site.processes[vm]
        assert process.handle is not None
        process.send_signal(signal.SIGTERM)
        code = process.handle.wait(STOP_LIMIT_S)
        faults.downs[vm] += 1
        if code != 0:
            faults.violations.append(f"{vm}: a planned stop ended with exit code {code}")
        _start_again(faults, vm)


def _start_again(faults: Faults, vm: str) -> None:
    faults.site.processes[vm].start()
    faults.site.processes[vm].wait_until_listening()
    faults.downs[vm] += 1


@fault("vm paused")
def _pause_vm(faults: Faults) -> None:
    _pause(faults, *faults.site.vm_names)


@fault("upstream paused")
def _pause_upstream(faults: Faults) -> None:
    _pause(faults, *ENGINES, *SERVICES)


def _pause(faults: Faults, *names: str) -> None:
    with faults.one_of(*names) as name:
        faults.site.processes[name].send_signal(signal.SIGSTOP)
        faults.wait()
        faults.site.processes[name].send_signal(signal.SIGCONT)


@fault("key-value outage")
def _outage(faults: Faults) -> None:
    with faults.one_of(KEY_VALUE):
        faults.switch(KEY_VALUE, outage=(True, False))


@fault("key-value slow")
def _slow(faults: Faults) -> None:
    with faults.one_of(KEY_VALUE):
        faults.switch(KEY_VALUE, slow_ms=(faults.random.choice([50, 300, 700]), 0))


@fault("key-value loses answers")
def _lose(faults: Faults) -> None:
    with faults.one_of(KEY_VALUE):
        faults.switch(KEY_VALUE, lose_write_answers=(faults.random.randint(1, 6), 0))


@fault("key-value delays writes")
def _delay(faults: Faults) -> None:
    with faults.one_of(KEY_VALUE):
        faults.switch(
            KEY_VALUE, delay_writes=(faults.random.randint(1, 4), 0), delay_write_ms=(600, 600)
        )


@fault("link fails")
def _link(faults: Faults) -> None:
    with faults.one_of(*(link_name(vm, to) for vm, to in LINKS)) as name:
        mode = faults.random.choice(["refuse", "drop", "freeze"])
        faults.switch(name, mode=(mode, "pass"))


@fault("zone cut from the key-value service")
def _zone_cut(faults: Faults) -> None:
    first, second = (link_name(vm, KEY_VALUE) for vm in LINKED_VMS)
    with faults.locks[first], faults.locks[second]:
        faults.site.control(first, mode="drop")
        faults.switch(second, mode=("drop", "pass"))
        faults.site.control(first, mode="pass")


@fault("service fails")
def _service(faults: Faults) -> None:
    with faults.one_of(*SERVICES) as name:
        switch = faults.random.choice(["close_after_run", "close_after_read", "silent", "truncate"])
        faults.switch(name, **{switch: (True, False)})


@fault("engine fails")
def _engine(faults: Faults) -> None:
    with faults.one_of(*ENGINES) as name:
        changes: dict[str, tuple[object, object]] = faults.random.choice(
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
        faults.switch(name, **changes)
