"""Who is told which VMs there are: few receivers of each report, so that names cost few bytes."""

from bisect import bisect
from collections.abc import Collection, Sequence

#: Number of VMs that get the list of all VMs at a time.
LIST_FANOUT = 3


def hosts_in_turn(hosts: Sequence[str], own_host: str, turn: int) -> list[str]:
    """Return the hosts that get the list this time; with each turn the next ones.

    VMs begin at different hosts, so that they do not all send it to the same ones.

    >>> hosts_in_turn(["a", "b", "d", "e"], "c", 0), hosts_in_turn(["a", "b", "d", "e"], "c", 1)
    (['d', 'e', 'a'], ['b', 'd', 'e'])
    """
    if not hosts:
        return []
    first = bisect(hosts, own_host) + turn * LIST_FANOUT
    return [hosts[(first + offset) % len(hosts)] for offset in range(LIST_FANOUT)]


def informs_new_vm(new_vm: str, known_vms: Collection[str], own_vm: str) -> bool:
    """Return whether this VM sends the list to one that reports for the first time.

    The VMs that follow it in the order of names do so, since every VM receives its report and one
    list is enough.

    >>> [informs_new_vm("c", "abdefg", own) for own in "abdefg"]
    [False, False, True, True, True, False]
    """
    names = sorted({own_vm, *known_vms} - {new_vm})
    first = bisect(names, new_vm)
    followers = [names[(first + offset) % len(names)] for offset in range(LIST_FANOUT)]
    return own_vm in followers
