"""Reads what the head of a response states of the upstream's availability."""

from dataclasses import replace

import h11

from azureturn.gateway.site import Dialect, ResponseFacts

_SERVICE_UNAVAILABLE = 503


def read_facts(
    response: h11.Response | h11.InformationalResponse, dialect: Dialect
) -> ResponseFacts:
    """Return the information in the headers of a response.

    A time after which to retry concerns the upstream only if it turns the request away.
    """
    values = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in response.headers.raw_items()
    }
    facts = dialect.decode_response_headers(values)
    stated = facts.availability
    is_retry_stated = stated.retry_after_ms is not None or stated.invalid_retry_after
    if response.status_code == _SERVICE_UNAVAILABLE or not is_retry_stated:
        return facts
    availability = replace(facts.availability, retry_after_ms=None, invalid_retry_after="")
    return replace(facts, availability=availability)
