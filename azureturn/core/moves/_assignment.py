"""Assigns requests to versions by comparing a hash of the request id with the new share."""

import xxhash

_HASH_RANGE = 1 << 64


def is_assigned_to_new_version(request_id: str, move_id: str, share: float) -> bool:
    """Return whether the new version, with the given share of requests, answers a request.

    The assignment is monotonic: a request assigned at one share is also assigned at every larger
    share of the same move. The hash includes the move id, so that different moves try their new
    versions on different requests.

    >>> [is_assigned_to_new_version("r1", "m1", share) for share in (0.0, 1.0)]
    [False, True]
    """
    digest = xxhash.xxh3_64_intdigest(f"{move_id}\0{request_id}".encode())
    return digest < share * _HASH_RANGE
