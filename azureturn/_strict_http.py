"""An HTTP/1.1 client's protocol state that accepts fewer responses than h11 does."""

import re

import h11

_MAX_STATUS = 599
#: What no head or trailer section may contain: a control byte other than the tab (RFC 9110, section
#: 5.5), or a line that continues the one before it (RFC 9112, section 5.2).
_BROKEN_LINE = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]|\r(?!\n)|\n[ \t]")
#: The line before the trailer section. No line of that section has this form.
_LAST_CHUNK = re.compile(rb"^0+[ \t]*(?:;[^\n]*)?\r?\n", re.MULTILINE)


class StrictConnection(h11.Connection):
    """A client's side of a connection, which rejects broken responses that h11 accepts.

    h11 checks the names of fields, but joins a line that begins with a blank to the line before it:
    a field whose name begins with a blank becomes part of another field's value. It also accepts
    control bytes outside of names, and statuses that do not exist.
    """

    def __init__(self, *, max_head_bytes: int) -> None:
        super().__init__(h11.CLIENT, max_incomplete_event_size=max_head_bytes)
        #: Received bytes that had not been processed when the last ones were received, or when the
        #: last head or body ended.
        self._received = b""

    def receive_data(self, data: bytes) -> None:
        """Add received bytes, or the end of the connection if there are none."""
        self._received = self.trailing_data[0] + data
        super().receive_data(data)

    def next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event; raises ``h11.RemoteProtocolError`` if a response is broken."""
        event = super().next_event()
        if isinstance(event, h11.Response | h11.InformationalResponse):
            self._check_lines(self._take_processed())
            if event.status_code > _MAX_STATUS:
                raise h11.RemoteProtocolError(f"status {event.status_code} does not exist")
        elif isinstance(event, h11.EndOfMessage):
            processed = self._take_processed()
            if event.headers:
                self._check_lines(_trailer_section(processed))
        return event

    def _take_processed(self) -> bytes:
        """Return the bytes that have been processed since the last call, or the last receipt."""
        unprocessed = self.trailing_data[0]
        processed = self._received[: len(self._received) - len(unprocessed)]
        self._received = unprocessed
        return processed

    @staticmethod
    def _check_lines(section: bytes) -> None:
        if _BROKEN_LINE.search(section):
            raise h11.RemoteProtocolError("a line of a head or trailer section is broken")


def _trailer_section(body: bytes) -> bytes:
    """Return the trailer section at the end of a chunked body, or of a part of one."""
    begin = 0
    for last_chunk in _LAST_CHUNK.finditer(body):
        begin = last_chunk.end()
    return body[begin:]
