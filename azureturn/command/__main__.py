"""Entry point of ``python -m azureturn.command``."""

from azureturn.command._main import main

if __name__ == "__main__":
    main()
