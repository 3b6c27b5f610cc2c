"""What an error of a socket says about its connection."""

import errno


def is_connection_lost(error: OSError) -> bool:
    """Return whether an error shows that the connection broke before its ordinary end.

    The operating system reports that a connection was reset, or timed out, only once. After one
    call has been told, reading finds an end that looks like an ordinary one. ``EPIPE`` is
    different: the other end had closed the connection in order before it was reset. A time-out
    without a number is that of the caller, and says nothing about the connection.

    >>> is_connection_lost(ConnectionResetError(errno.ECONNRESET, "reset"))
    True
    >>> is_connection_lost(BrokenPipeError(errno.EPIPE, "closed by the other end"))
    False
    >>> is_connection_lost(TimeoutError())
    False
    """
    return error.errno not in (None, errno.EPIPE)
