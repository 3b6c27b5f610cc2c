"""Registry of the generated pages; checks and writes them."""

import sys
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).parents[2]

PageGenerator = Callable[[], str]
GENERATED_PAGES: dict[str, PageGenerator] = {}


def generated_page(path: str) -> Callable[[PageGenerator], PageGenerator]:
    """Register the function that generates the page at a path relative to the repository root."""

    def register(generate: PageGenerator) -> PageGenerator:
        GENERATED_PAGES[path] = generate
        return generate

    return register


def stale_pages() -> list[str]:
    """Return the paths of pages whose file is missing or differs from the generated text."""
    return [
        path
        for path, generate in GENERATED_PAGES.items()
        if not (ROOT / path).exists() or (ROOT / path).read_text(encoding="utf-8") != generate()
    ]


def main() -> None:
    """Write all pages that are out of date, and print their paths."""
    for path in stale_pages():
        (ROOT / path).parent.mkdir(exist_ok=True)
        (ROOT / path).write_text(GENERATED_PAGES[path](), encoding="utf-8")
        sys.stdout.write(f"wrote {path}\n")
