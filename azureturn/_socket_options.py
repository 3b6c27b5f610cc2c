"""Socket options: how a silent connection is found, and how a connection is reset."""

import socket
import struct

_KEEP_ALIVE_IDLE_S = 5
_KEEP_ALIVE_INTERVAL_S = 2
_KEEP_ALIVE_PROBES = 3
#: Sent data that is not acknowledged for this long breaks the connection.
_USER_TIMEOUT_MS = 10_000

SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEP_ALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEP_ALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEP_ALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
)

#: Value of SO_LINGER (enabled, 0 s) with which a close discards unsent data and sends a reset.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
