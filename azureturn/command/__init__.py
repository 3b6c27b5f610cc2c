"""The command-line tool."""

from azureturn.command._main import main

__all__ = ["main"]
