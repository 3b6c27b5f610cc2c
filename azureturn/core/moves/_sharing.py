"""Which version answers a request: a hash of its id against the new version's share."""

import xxhash

_HASH_RANGE = 1 << 64


def takes_new_version(request_id: str, move_id: str, share: float) -> bool:
    """Return whether a request belongs to the new version's share.

    A request that belongs to a share belongs to every larger share of the same move. The move's
    id goes into the hash, so that it is not always the same requests that try new versions.

    >>> takes_new_version("r1", "m1", 0.0), takes_new_version("r1", "m1", 1.0)
    (False, True)
    """
    digest = xxhash.xxh3_64_intdigest(f"{move_id}\0{request_id}".encode())
    return digest < share * _HASH_RANGE
