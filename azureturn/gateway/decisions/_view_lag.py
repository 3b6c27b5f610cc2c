"""How far a VM's view of the store may lag behind, by the number of VMs."""

#: Delay before each watch call, per VM of the site: each change wakes the watches of all VMs, so
#: the load on the store grows with their number.
_WATCH_DELAY_PER_VM_MS = 5
_MAX_WATCH_DELAY_MS = 400
#: Largest site whose VMs all watch the store. On larger ones a few VMs of each zone do, and the
#: others learn of changes from them.
_ALL_WATCH_VMS = 16
#: Shortest delay of those few.
_WATCHER_DELAY_MS = 200
#: How long after the delay a change should have arrived from a store that answers.
_WATCH_MARGIN_MS = 300


def shares_store_calls(vm_count: int) -> bool:
    """Return whether a site is so large that only some of its VMs watch the store."""
    return vm_count > _ALL_WATCH_VMS


def watch_delay_ms(vm_count: int) -> int:
    """Return the delay before each watch call, so that it returns several changes at once.

    >>> [watch_delay_ms(vm_count) for vm_count in (1, 8, 200)]
    [5, 40, 400]
    """
    shortest_ms = _WATCHER_DELAY_MS if shares_store_calls(vm_count) else 0
    return max(shortest_ms, min(_MAX_WATCH_DELAY_MS, _WATCH_DELAY_PER_VM_MS * vm_count))


def view_lag_limit_ms(vm_count: int) -> int:
    """Return how long a VM waits for a newer view from the store before it asks a peer.

    It is longer than the watch's delay, so that peers are not asked while the store answers.
    """
    return watch_delay_ms(vm_count) + _WATCH_MARGIN_MS
