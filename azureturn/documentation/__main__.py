"""Writes the generated pages: ``python -m azureturn.documentation`` (or ``scripts/docs``)."""

from azureturn.documentation import main

if __name__ == "__main__":
    main()
