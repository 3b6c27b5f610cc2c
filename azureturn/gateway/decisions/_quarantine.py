"""The prompts in quarantine: requests with them are refused and not sent to any engine.

A quarantine works like a circuit breaker: at set times a single request is let through as a trial.
If it is answered, the prompt is released.
"""

from azureturn.framework import Table
from azureturn.gateway.site import Prompt, QuarantinedPrompt

#: A quarantine ends after this time, in case the engines have been repaired. If they have not, the
#: prompt is found again.
_QUARANTINE_MS = 600_000
_MAX_PROMPTS = 64
#: When trials begin, counted from the start of the quarantine, and how long one may take to come.
_TRIALS_AFTER_MS = (30_000, 150_000)
_TRIAL_WINDOW_MS = 5_000


class QuarantineTable(Table[frozenset[str], QuarantinedPrompt]):
    """Quarantined prompts, keyed by their part ids."""

    def __init__(self) -> None:
        super().__init__()
        #: The last trial of each prompt that this VM has made.
        self._trials_made: dict[frozenset[str], int] = {}

    def take_trial(self, prompt: QuarantinedPrompt, unix_ms: int) -> bool:
        """Return whether a request with the prompt is to be sent as a trial, and record it."""
        age_ms = unix_ms - prompt.since_unix_ms
        for trial, after_ms in enumerate(_TRIALS_AFTER_MS):
            if after_ms <= age_ms < after_ms + _TRIAL_WINDOW_MS:
                is_due = self._trials_made.get(prompt.part_ids, -1) < trial
                self._trials_made[prompt.part_ids] = trial
                return is_due
        return False

    def match(self, prompt: Prompt | None) -> QuarantinedPrompt | None:
        """Return the quarantine that a prompt falls under, or None."""
        if prompt is None or not self._rows:
            return None
        part_ids = prompt.shared_part_ids
        return next((row for row in self.rows() if row.part_ids <= part_ids), None)

    def add(self, prompt: QuarantinedPrompt, unix_ms: int) -> bool:
        """Add a prompt; return False if its quarantine is over, or another one includes it."""
        if unix_ms - prompt.since_unix_ms >= _QUARANTINE_MS or not prompt.part_ids:
            return False
        if any(row.part_ids <= prompt.part_ids for row in self.rows()):
            return False
        for part_ids in [known for known in self._rows if prompt.part_ids < known]:
            self.remove(part_ids)
        if len(self) >= _MAX_PROMPTS:
            self.remove(next(iter(self._rows)))
        self.put(prompt.part_ids, prompt)
        return True

    def remove_expired(self, unix_ms: int) -> None:
        """Remove the prompts whose quarantine is over."""
        for prompt in list(self.rows()):
            if self.time_left_ms(prompt, unix_ms) <= 0:
                self.remove(prompt.part_ids)
        self._trials_made = {
            part_ids: trial for part_ids, trial in self._trials_made.items() if part_ids in self
        }

    def time_left_ms(self, prompt: QuarantinedPrompt, unix_ms: int) -> int:
        """Return how long a prompt stays in quarantine."""
        return prompt.since_unix_ms + _QUARANTINE_MS - unix_ms

    def all_part_ids(self) -> frozenset[str]:
        """Return the parts of all quarantined prompts."""
        return frozenset[str]().union(*self._rows)
