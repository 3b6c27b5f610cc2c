"""azureturn places each request on one of many unlike back ends and answers for the outcome."""

from azureturn._version import __version__

__all__ = ["__version__"]
