"""Hides secrets where settings are shown."""

from typing import Any

#: What stands in place of a secret.
MASK = "********"
#: Fields that hold secrets.
SECRET_FIELDS = frozenset({"token", "peer_secret"})


def masked(document: Any) -> Any:
    """Return settings with every secret replaced.

    >>> masked({"organisations": [{"name": "a", "token": "abc"}]})
    {'organisations': [{'name': 'a', 'token': '********'}]}
    """
    if isinstance(document, dict):
        return {
            name: MASK if name in SECRET_FIELDS else masked(value)
            for name, value in document.items()
        }
    if isinstance(document, list):
        return [masked(item) for item in document]
    return document
