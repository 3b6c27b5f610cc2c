"""Whole events of a stream: a block of lines up to an empty line, with its number."""

from dataclasses import dataclass

_END = b"\n\n"
_END_WITH_RETURNS = b"\r\n\r\n"
_NUMBER_LINE = b"id:"
#: Largest event; more without an end is no event.
BLOCK_LIMIT_BYTES = 1 << 20


@dataclass(frozen=True)
class EventBlock:
    """One event as it came, its end included."""

    data: bytes
    #: None where the event has no number.
    number: int | None


class BlockSplitter:
    """Splits what comes into whole events.

    >>> splitter = BlockSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    [EventBlock(data=b'id: 1\\ndata: a\\n\\n', number=1)]
    >>> splitter.rest
    b'id: 2\\nda'
    """

    def __init__(self) -> None:
        self._pending = b""

    @property
    def rest(self) -> bytes:
        """Return the beginning of an event whose end has not come."""
        return self._pending

    def feed(self, data: bytes) -> list[EventBlock]:
        """Return the events that end within ``data``."""
        self._pending += data
        if len(self._pending) > BLOCK_LIMIT_BYTES:
            raise ValueError("an event is over the limit")
        blocks: list[EventBlock] = []
        while (end := _end_of_block(self._pending)) > 0:
            block, self._pending = self._pending[:end], self._pending[end:]
            blocks.append(EventBlock(block, _number_of(block)))
        return blocks


def _end_of_block(data: bytes) -> int:
    """Return where the first event ends, or 0 where none does."""
    found = [
        index + len(end) for end in (_END, _END_WITH_RETURNS) if (index := data.find(end)) >= 0
    ]
    return min(found, default=0)


def _number_of(block: bytes) -> int | None:
    for line in block.splitlines():
        if line.startswith(_NUMBER_LINE):
            text = line[len(_NUMBER_LINE) :].strip()
            return int(text) if text.isdigit() else None
    return None
