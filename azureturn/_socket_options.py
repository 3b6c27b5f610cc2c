"""Socket options: how a silent connection is found, and how a connection is reset."""

import socket
import struct

_MS_PER_S = 1_000

SocketOption = tuple[int, int, int]


def keep_alive_options(*, idle_s: int, interval_s: int, probes: int) -> tuple[SocketOption, ...]:
    """Return the options that break a connection whose other end has not answered for a time.

    That time is ``idle_s`` and then ``probes`` times ``interval_s``, for keep-alive probes as well
    as for sent data that is not acknowledged: TCP_USER_TIMEOUT sets both, whatever the number of
    probes.

    >>> keep_alive_options(idle_s=5, interval_s=2, probes=3)[-1] == (
    ...     socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 11_000
    ... )
    True
    """
    return (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes),
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            _MS_PER_S * (idle_s + interval_s * probes),
        ),
    )


#: Options of connections to the store, to upstreams and to peers that relay.
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    *keep_alive_options(idle_s=5, interval_s=2, probes=3),
)

#: Options of connections whose other end may leave unread what it is sent for longer than it takes
#: to notice that its machine has disappeared. Keep-alive probes notice that, if all was read.
PATIENT_SOCKET_OPTIONS = tuple(row for row in SOCKET_OPTIONS if row[1] != socket.TCP_USER_TIMEOUT)

#: Size of the receive buffer, and limit on data that the other end's window does not admit yet.
_SMALL_BUFFER_BYTES = 65_536
#: Options that keep the kernel's buffers of a connection small: they would grow to megabytes, which
#: count for the memory of the VM while one side reads nothing. Accepted connections inherit them
#: from the listening socket.
SMALL_BUFFER_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES),
    (socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, _SMALL_BUFFER_BYTES),
)

#: Value of SO_LINGER (enabled, 0 s) with which a close discards unsent data and sends a reset.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
#: Value of SO_LINGER (disabled) with which a close sends what is unsent, and then an orderly end.
ORDERLY_CLOSE = struct.pack("ii", 0, 0)
