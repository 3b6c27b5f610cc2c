"""Run the tool: ``python -m azureturn.command --help``."""

from azureturn.command._main import main

if __name__ == "__main__":
    main()
