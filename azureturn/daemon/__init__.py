"""The entry daemon: adapters that connect the core to the network and the platform."""

from azureturn.daemon import _operator_reports  # imported to register its queries
from azureturn.daemon._daemon import Daemon
from azureturn.daemon._main import main

__all__ = ["Daemon", "_operator_reports", "main"]
