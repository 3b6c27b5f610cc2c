"""Which version of a service a request goes to during a move."""

import random
from dataclasses import dataclass

from azureturn.framework import Table


@dataclass(frozen=True)
class VersionChoice:
    """How one of the versions of a move was chosen for a request."""

    #: Share of its route's requests that went to the new version.
    new_share: float = 0.0
    #: Whether it went there only to spread the first share evenly over the routes. Its answer says
    #: nothing about all routes together.
    is_extra: bool = False
    #: Whether its answer counts in the comparison of the versions' mean times.
    is_compared: bool = False

    @property
    def is_divided(self) -> bool:
        """Return whether some requests go to the old version, and some to the new one."""
        return 0.0 < self.new_share < 1.0


class VersionDrawTable(Table[str, float]):
    """Numbers from 0 to 1 by which requests that wait go to one version or the other, by id.

    Each is the same whenever its request is considered: drawn anew, the version that has room would
    come out sooner or later, whatever its share.

    >>> draws, generator = VersionDrawTable(), random.Random(1)
    >>> draws.of("r-1", generator) == draws.of("r-1", generator) != draws.of("r-2", generator)
    True
    """

    def of(self, request_id: str, generator: random.Random) -> float:
        """Return the number of a request, which is drawn when it is asked for first."""
        drawn = self.get(request_id)
        if drawn is None:
            drawn = generator.random()
            self.put(request_id, drawn)
        return drawn
