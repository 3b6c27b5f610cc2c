"""The generated pages are current."""

from azureturn.documentation import stale_pages


def test_every_generated_page_is_current() -> None:
    assert stale_pages() == [], "run scripts/docs"
