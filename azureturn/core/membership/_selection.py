"""Which rows go into a heartbeat."""

from collections.abc import Iterable
from dataclasses import dataclass

from azureturn.core.membership._tables import LoggedRow
from azureturn.core.membership._types import URGENT_TOPICS, ZONE_TOPICS, GossipRow, Peer


@dataclass(frozen=True)
class Selection:
    """Rows for one heartbeat, and how far the peer's cursor moves once it has them."""

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
) -> Selection:
    """Return what a peer is to be told within a number of bytes.

    Urgent rows go first, wherever they stand in the log, and have a limit of their own. The rest
    goes in the order of the log and stops at the first row that does not fit, which is where the
    next heartbeat begins.
    """
    relevant = [one for one in changes if _concerns(one, peer, own_zone)]
    rows: list[GossipRow] = []
    size_bytes = 0
    for one in relevant:
        if one.row.row_key.topic in URGENT_TOPICS and size_bytes < urgent_limit_bytes:
            rows.append(one.row)
            size_bytes += one.row.size_bytes
    for one in relevant:
        if one.row.row_key.topic in URGENT_TOPICS:
            continue
        if size_bytes + one.row.size_bytes > limit_bytes:
            return Selection(tuple(rows), one.place - 1, size_bytes)
        rows.append(one.row)
        size_bytes += one.row.size_bytes
    return Selection(tuple(rows), end, size_bytes)


def _concerns(logged: LoggedRow, peer: Peer, own_zone: str) -> bool:
    if peer.identity.vm in (logged.told_by, logged.row.row_key.owner):
        return False
    same_zone = peer.identity.availability_zone == own_zone
    return same_zone or logged.row.row_key.topic not in ZONE_TOPICS
