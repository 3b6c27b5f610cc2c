"""Runs one stand-in: ``python -m standins engine --port 9001``."""

from standins import engine, key_value, link, plain_service, vm_list, weight_store
from standins._server import main

__all__ = ["engine", "key_value", "link", "plain_service", "vm_list", "weight_store"]

if __name__ == "__main__":
    main()
