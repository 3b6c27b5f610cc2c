"""Revisions that increase even if the store comes back from a copy and counts on from there.

A store's own revisions say something only together with its era: the number of times that it came
back from a copy. Everywhere but in calls to the store, a revision is one number made of both, so
that revisions of a later era are higher than all of the earlier ones.

>>> earlier, later = join_revision(1, 500), join_revision(2, 40)
>>> earlier < later, era_of(later), revision_in_era(later)
(True, 2, 40)
"""

_REVISION_BITS = 40


def join_revision(era: int, revision: int) -> int:
    """Return a store's revision in an era as one number; without an era it stays as it is."""
    return era << _REVISION_BITS | revision


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> _REVISION_BITS


def revision_in_era(revision: int) -> int:
    """Return the number by which the store itself knows a revision."""
    return revision & (1 << _REVISION_BITS) - 1
