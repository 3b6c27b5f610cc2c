"""Documentation pages that are generated from tables in the code."""

from azureturn.documentation import _page_texts  # registers the pages on import
from azureturn.documentation._pages import GENERATED_PAGES, generated_page, main, stale_pages

__all__ = ["GENERATED_PAGES", "_page_texts", "generated_page", "main", "stale_pages"]
