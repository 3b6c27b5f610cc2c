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
    """Print one line per check; return 1 if any check did not give the expected result."""
    _import_all()
    failures = 0
    for name, factory in sorted(specification.SPECIFICATIONS.items()):
        for check_result in check(name, factory()):
            print(check_result.summary, flush=True)
            failures += len(check_result.failures)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
