"""The traits in quarantine: requests with them are refused and not sent to any upstream.

A quarantine works like a circuit breaker: at set times a single request is let through as a trial.
If it is answered, the traits are released.
"""

from azureturn.framework import Table
from azureturn.gateway.site import QuarantinedTraits

#: A quarantine ends after this time, in case the upstreams have been repaired. If they have not,
#: the traits are found again.
_QUARANTINE_MS = 600_000
_MAX_QUARANTINES = 64
#: When trials begin, counted from the start of the quarantine, and how long one may take to come.
_TRIALS_AFTER_MS = (30_000, 150_000)
#: The same for a quarantine of one request only, which keeps no other request from upstreams.
_SINGLE_REQUEST_TRIALS_AFTER_MS = (150_000,)
_TRIAL_WINDOW_MS = 5_000


class QuarantineTable(Table[frozenset[str], QuarantinedTraits]):
    """Quarantines, keyed by their traits."""

    def __init__(self) -> None:
        super().__init__()
        #: The last trial of each quarantine that this VM has made.
        self._trials_made: dict[frozenset[str], int] = {}

    def take_trial(self, quarantined: QuarantinedTraits, unix_ms: int) -> bool:
        """Return whether a request in quarantine is to be sent as a trial, and record it."""
        age_ms = unix_ms - quarantined.since_unix_ms
        is_single_request = quarantined.is_single_request
        trials = _SINGLE_REQUEST_TRIALS_AFTER_MS if is_single_request else _TRIALS_AFTER_MS
        for trial, after_ms in enumerate(trials):
            if after_ms <= age_ms < after_ms + _TRIAL_WINDOW_MS:
                is_due = self._trials_made.get(quarantined.traits, -1) < trial
                self._trials_made[quarantined.traits] = trial
                return is_due
        return False

    def match(self, traits: frozenset[str]) -> QuarantinedTraits | None:
        """Return the quarantine that a request with these traits falls under, or None."""
        return next((row for row in self.rows() if row.traits <= traits), None)

    def add(self, quarantined: QuarantinedTraits, unix_ms: int) -> bool:
        """Add a quarantine; return False if it is over, or another one includes it."""
        traits = quarantined.traits
        if unix_ms - quarantined.since_unix_ms >= _QUARANTINE_MS or not traits:
            return False
        if any(row.traits <= traits for row in self.rows()):
            return False
        for known in [known for known in self._rows if traits < known]:
            self.remove(known)
        if len(self) >= _MAX_QUARANTINES:
            self.remove(next(iter(self._rows)))
        self.put(traits, quarantined)
        return True

    def remove_expired(self, unix_ms: int) -> None:
        """Remove the quarantines that are over."""
        for quarantined in list(self.rows()):
            if self.time_left_ms(quarantined, unix_ms) <= 0:
                self.remove(quarantined.traits)
        self._trials_made = {
            traits: trial for traits, trial in self._trials_made.items() if traits in self
        }

    def time_left_ms(self, quarantined: QuarantinedTraits, unix_ms: int) -> int:
        """Return how long a quarantine lasts."""
        return quarantined.since_unix_ms + _QUARANTINE_MS - unix_ms

    def all_traits(self) -> frozenset[str]:
        """Return the traits of all quarantines."""
        return frozenset[str]().union(*self._rows)
