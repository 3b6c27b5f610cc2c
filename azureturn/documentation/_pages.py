"""The registry of generated pages, and what writes them."""

import sys
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).parents[2]

PageText = Callable[[], str]
GENERATED_PAGES: dict[str, PageText] = {}


def generated_page(path: str) -> Callable[[PageText], PageText]:
    """Register the function that returns a page's text, by the page's path below the root."""

    def register(text_of: PageText) -> PageText:
        GENERATED_PAGES[path] = text_of
        return text_of

    return register


def stale_pages() -> list[str]:
    """Return the pages whose file differs from what the code gives now."""
    return [
        path
        for path, text_of in GENERATED_PAGES.items()
        if not (ROOT / path).exists() or (ROOT / path).read_text(encoding="utf-8") != text_of()
    ]


def main() -> None:
    """Write every page that is not current, and name it."""
    for path in stale_pages():
        (ROOT / path).parent.mkdir(exist_ok=True)
        (ROOT / path).write_text(GENERATED_PAGES[path](), encoding="utf-8")
        sys.stdout.write(f"wrote {path}\n")
