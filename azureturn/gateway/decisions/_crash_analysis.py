"""Finds the parts of prompts that explain why engines ended.

A part that ends each engine that answers it is in a suspect of every engine that it ended, and is
never cleared. Parts that others share with it are cleared sooner or later, or are in fewer of the
crashes. Engines that end at the same moment count as one incident, since a cause outside of them
(a rack without power, say) ends many at once.
"""

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass
from itertools import product

from azureturn.gateway.decisions._crashes import Crash
from azureturn.gateway.site import UpstreamRun

#: Crashes that are closer to the first one of an incident belong to that incident.
_INCIDENT_MS = 100
#: Number of incidents that put a part into quarantine, if no other part explains as many.
_MIN_INCIDENTS = 3
#: Number of incidents that put a part into quarantine in any case.
_CERTAIN_INCIDENTS = 5
#: A part must explain at least this share of all crashes between its first one and its last one;
#: otherwise there is another cause, and the part is in some of the crashes by chance.
_MIN_EXPLAINED_SHARE = 1 / 3


@dataclass(frozen=True)
class _Explanation:
    """Parts that all suspects with one of them have in common, and the incidents they explain."""

    part_ids: frozenset[str]
    incidents: frozenset[int]

    @property
    def rank(self) -> tuple[int, int, list[str]]:
        """Return the sort key: most incidents first, then the fewest requests affected."""
        return (-len(self.incidents), -len(self.part_ids), sorted(self.part_ids))

    def is_rival_of(self, other: "_Explanation") -> bool:
        """Return whether it explains as many incidents as ``other``, and some of the same."""
        return (
            len(self.incidents) == len(other.incidents)
            and not self.incidents.isdisjoint(other.incidents)
            and not self.part_ids <= other.part_ids
        )


def find_crashing_prompts(
    crashes: Iterable[Crash],
    known_prompts: Iterable[frozenset[str]],
    is_cleared: Callable[[str, int], bool],
    *,
    settled_at_ms: float,
) -> list[frozenset[str]]:
    """Return the sets of parts, not in ``known_prompts``, that end engines.

    ``is_cleared`` tells whether a part has been cleared at a time or later. Crashes after
    ``settled_at_ms`` only narrow down known prompts, since peers may not have reported yet what
    they know of the suspects.

    >>> prompts = [(frozenset({"a", f"own-{number}"}),) for number in range(3)]
    >>> crashes = [Crash((f"e-{n}", 0), 1_000 * n, prompts[n]) for n in range(3)]
    >>> find_crashing_prompts(crashes, (), lambda part_id, since_ms: False, settled_at_ms=3_000)
    [frozenset({'a'})]
    """
    found: list[frozenset[str]] = []
    explained = list(known_prompts)
    merged = _merge_by_run(crashes)
    while True:
        unexplained = [crash for crash in merged if not _is_explained(crash, explained)]
        settled = [crash for crash in unexplained if crash.at_ms <= settled_at_ms]
        newly_found = _narrowed(unexplained, explained, is_cleared) or _strongest_explanations(
            settled, is_cleared
        )
        if not newly_found:
            return found
        found += newly_found
        explained += newly_found


def _merge_by_run(crashes: Iterable[Crash]) -> list[Crash]:
    """Return one crash a run, from all VMs that have seen it, in the order of time."""
    merged: dict[UpstreamRun, Crash] = {}
    for crash in crashes:
        before = merged.get(crash.run)
        if before is not None:
            at_ms = min(before.at_ms, crash.at_ms)
            crash = Crash(crash.run, at_ms, (*before.prompts, *crash.prompts))
        merged[crash.run] = crash
    return sorted(merged.values(), key=lambda crash: crash.at_ms)


def _is_explained(crash: Crash, prompts: Sequence[frozenset[str]]) -> bool:
    return any(known <= suspect for suspect in crash.prompts for known in prompts)


def _narrowed(
    crashes: Sequence[Crash],
    prompts: Sequence[frozenset[str]],
    is_cleared: Callable[[str, int], bool],
) -> list[frozenset[str]]:
    """Return the parts that a known prompt shares with the suspect of a crash that it missed.

    The known prompt has several parts of which only one is the cause; a suspect that has some of
    them, but not all, shows which.
    """
    for crash in crashes:
        for suspect, known in product(crash.prompts, prompts):
            common = frozenset(
                part for part in known & suspect if not is_cleared(part, crash.at_ms)
            )
            if common:
                return [common]
    return []


def _strongest_explanations(
    crashes: Sequence[Crash], is_cleared: Callable[[str, int], bool]
) -> list[frozenset[str]]:
    explanations = _explanations(crashes, is_cleared)
    if not explanations:
        return []
    strongest, *others = explanations
    rivals = [other.part_ids for other in others if other.is_rival_of(strongest)]
    if not rivals:
        return [strongest.part_ids]
    if len(strongest.incidents) < _CERTAIN_INCIDENTS:
        return []
    return [strongest.part_ids, *rivals]


def _explanations(
    crashes: Sequence[Crash], is_cleared: Callable[[str, int], bool]
) -> list[_Explanation]:
    """Return the parts that are suspected often enough, the strongest explanation first."""
    incidents: defaultdict[str, set[int]] = defaultdict(set)
    common: dict[str, frozenset[str]] = {}
    for crash, incident in zip(crashes, _incident_numbers(crashes), strict=True):
        for prompt in crash.prompts:
            suspected = frozenset(part for part in prompt if not is_cleared(part, crash.at_ms))
            for part_id in suspected:
                incidents[part_id].add(incident)
                common[part_id] = common.get(part_id, suspected) & suspected
    explanations = {
        _Explanation(common[part_id], frozenset(explained))
        for part_id, explained in incidents.items()
        if len(explained) >= _MIN_INCIDENTS and _is_main_cause(explained)
    }
    return sorted(explanations, key=lambda explanation: explanation.rank)


def _is_main_cause(explained: Collection[int]) -> bool:
    """Return whether enough of the incidents between the first and the last are explained."""
    all_incidents = max(explained) - min(explained) + 1
    return len(explained) >= _MIN_EXPLAINED_SHARE * all_incidents


def _incident_numbers(crashes: Sequence[Crash]) -> list[int]:
    """Return the number of the incident that each crash, in the order of time, belongs to."""
    numbers: list[int] = []
    number = -1
    began_at_ms = 0
    for crash in crashes:
        if number < 0 or crash.at_ms - began_at_ms >= _INCIDENT_MS:
            number += 1
            began_at_ms = crash.at_ms
        numbers.append(number)
    return numbers
