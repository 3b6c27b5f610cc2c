"""The entry daemon: the adapters around the core."""

from azureturn.daemon import _operator_reports  # registers its queries
from azureturn.daemon._daemon import Daemon
from azureturn.daemon._main import main

__all__ = ["Daemon", "_operator_reports", "main"]
