"""Masks secrets in settings that are displayed."""

from typing import Any

#: Replacement for the value of a secret.
MASK = "********"
#: Fields that hold secrets.
SECRET_FIELDS = frozenset({"token", "peer_secret"})


def mask_secrets(document: Any) -> Any:
    """Return a copy of settings with every secret masked.

    >>> mask_secrets({"organisations": [{"name": "a", "token": "abc"}]})
    {'organisations': [{'name': 'a', 'token': '********'}]}
    """
    if isinstance(document, dict):
        return {
            name: MASK if name in SECRET_FIELDS else mask_secrets(value)
            for name, value in document.items()
        }
    if isinstance(document, list):
        return [mask_secrets(item) for item in document]
    return document
