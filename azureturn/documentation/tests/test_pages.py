"""The generated pages in the repository are up to date."""

from azureturn.documentation import stale_pages


def test_generated_pages_are_up_to_date() -> None:
    assert stale_pages() == [], "pages are out of date; run scripts/docs"
