"""Membership and gossip: the known peers, replicated rows and heartbeats.

A peer is another VM. Each VM owns some gossip rows and sends its peers heartbeats with the rows
that changed, its own and those received from others, so that every row reaches every VM that needs
it.
"""

from azureturn.core.membership._selection import RowSelection, select_rows
from azureturn.core.membership._tables import (
    BudgetTable,
    ByteBudget,
    GossipTable,
    LoggedRow,
    PeerTable,
)
from azureturn.core.membership._types import (
    HEARTBEAT_FIXED_BYTES,
    URGENT_TOPICS,
    ZONE_TOPICS,
    GossipRow,
    Peer,
    PeerHeartbeat,
    PeerIdentity,
    RowKey,
    Topic,
)

__all__ = [
    "BudgetTable",
    "ByteBudget",
    "GossipRow",
    "GossipTable",
    "HEARTBEAT_FIXED_BYTES",
    "LoggedRow",
    "Peer",
    "PeerHeartbeat",
    "PeerIdentity",
    "PeerTable",
    "RowKey",
    "RowSelection",
    "Topic",
    "URGENT_TOPICS",
    "ZONE_TOPICS",
    "select_rows",
]
