"""Selects the rows of a heartbeat."""

from collections.abc import Iterable
from dataclasses import dataclass

from azureturn.core.membership._tables import LoggedRow
from azureturn.core.membership._types import URGENT_TOPICS, ZONE_TOPICS, GossipRow, Peer


@dataclass(frozen=True)
class RowSelection:
    """Rows for one heartbeat, and the peer's cursor after it has received them."""

    rows: tuple[GossipRow, ...]
    #: Position in this VM's change log up to which the peer then has all changes.
    cursor: int
    #: Approximate total size of the rows in the heartbeat.
    size_bytes: int


def select_rows(
    changes: Iterable[LoggedRow],
    peer: Peer,
    *,
    own_zone: str,
    limit_bytes: int,
    urgent_limit_bytes: int,
    end: int,
) -> RowSelection:
    """Return the rows to send to a peer within a number of bytes.

    Rows of urgent topics come first, regardless of their position in the log, and have their own
    limit. The other rows follow in log order up to the first row that does not fit, and the next
    heartbeat continues with that row. ``end`` is the cursor after all changes have been sent.
    """
    candidates = [logged_row for logged_row in changes if _is_relevant(logged_row, peer, own_zone)]
    rows: list[GossipRow] = []
    size_bytes = 0
    for logged_row in candidates:
        if logged_row.row.row_key.topic in URGENT_TOPICS and size_bytes < urgent_limit_bytes:
            rows.append(logged_row.row)
            size_bytes += logged_row.row.size_bytes
    for logged_row in candidates:
        if logged_row.row.row_key.topic in URGENT_TOPICS:
            continue
        if size_bytes + logged_row.row.size_bytes > limit_bytes:
            return RowSelection(tuple(rows), logged_row.place - 1, size_bytes)
        rows.append(logged_row.row)
        size_bytes += logged_row.row.size_bytes
    return RowSelection(tuple(rows), end, size_bytes)


def _is_relevant(logged_row: LoggedRow, peer: Peer, own_zone: str) -> bool:
    if peer.identity.vm in (logged_row.received_from, logged_row.row.row_key.owner):
        return False
    same_zone = peer.identity.availability_zone == own_zone
    return same_zone or logged_row.row.row_key.topic not in ZONE_TOPICS
