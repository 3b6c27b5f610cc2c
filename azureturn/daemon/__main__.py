"""Runs the daemon: ``python -m azureturn.daemon --config base.json --overlay site.json``."""

from azureturn.daemon._main import main

if __name__ == "__main__":
    main()
