"""How the end of a response's body is marked."""

from enum import StrEnum

import h11

_NO_BODY_STATUSES = frozenset({204, 304})


class BodyFraming(StrEnum):
    """The ways to mark the end of a body (RFC 9112, section 6)."""

    LENGTH = "length"
    CHUNKED = "chunked"
    #: The body ends with its connection, so a body that was broken off may look complete.
    CONNECTION_CLOSE = "connection_close"

    @classmethod
    def from_response(cls, response: h11.Response, *, request_method: str) -> "BodyFraming":
        """Return the framing of a response to a request with the given method."""
        if request_method == "HEAD" or response.status_code in _NO_BODY_STATUSES:
            return cls.LENGTH
        names = {name for name, _ in response.headers}
        if b"transfer-encoding" in names:
            return cls.CHUNKED
        return cls.LENGTH if b"content-length" in names else cls.CONNECTION_CLOSE
