"""Checks every specification: ``python -m specification``."""

import importlib
import pkgutil
import sys

import specification
from specification._check import check


def _import_all() -> None:
    for module in pkgutil.iter_modules(specification.__path__):
        if not module.name.startswith("_") and module.name != "tests":
            importlib.import_module(f"specification.{module.name}")


def main() -> int:
    """Print states, depth and time of each check; return 1 if any is not as expected."""
    _import_all()
    faults = 0
    for name, factory in sorted(specification.SPECIFICATIONS.items()):
        for finding in check(name, factory()):
            print(finding.line, flush=True)
            faults += len(finding.faults)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
