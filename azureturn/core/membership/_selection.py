"""Selects the rows of a heartbeat."""

from collections.abc import Iterable
from dataclasses import dataclass

from azureturn.core.membership._tables import LoggedRow
from azureturn.core.membership._types import URGENT_TOPICS, ZONE_TOPICS, GossipRow, Peer


@dataclass(frozen=True)
class RowSelection:
    """Rows for one heartbeat, and the peer's cursor after it has received them."""

    rows: tuple[GossipRow, ...]
    cursor: int
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

    Urgent rows come first, regardless of their position in the log, and have their own limit.
    The others follow in log order up to the first one that does not fit; the next heartbeat
    continues there. ``end`` is the cursor after all changes have been sent.
    """
    candidates = [entry for entry in changes if _is_relevant(entry, peer, own_zone)]
    rows: list[GossipRow] = []
    size_bytes = 0
    for entry in candidates:
        if entry.row.row_key.topic in URGENT_TOPICS and size_bytes < urgent_limit_bytes:
            rows.append(entry.row)
            size_bytes += entry.row.size_bytes
    for entry in candidates:
        if entry.row.row_key.topic in URGENT_TOPICS:
            continue
        if size_bytes + entry.row.size_bytes > limit_bytes:
            return RowSelection(tuple(rows), entry.place - 1, size_bytes)
        rows.append(entry.row)
        size_bytes += entry.row.size_bytes
    return RowSelection(tuple(rows), end, size_bytes)


def _is_relevant(logged: LoggedRow, peer: Peer, own_zone: str) -> bool:
    if peer.identity.vm in (logged.received_from, logged.row.row_key.owner):
        return False
    same_zone = peer.identity.availability_zone == own_zone
    return same_zone or logged.row.row_key.topic not in ZONE_TOPICS
