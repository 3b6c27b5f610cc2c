"""Finds the traits of requests that explain why upstreams ended.

A trait that ends each upstream is in a suspect of every upstream that it ended, and is never
cleared. Traits that other requests share with it are cleared sooner or later, or are in fewer of
the crashes. Upstreams that end at the same moment count as one incident, since a cause outside of
them (a rack without power, say) ends many at once.
"""

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Iterator, Sequence
from dataclasses import dataclass
from itertools import product

from azureturn.gateway.decisions._crashes import Crash, Suspect
from azureturn.gateway.site import UpstreamRun, is_digest_trait

#: Crashes that are closer to the first one of an incident belong to that incident, unless a request
#: was sent again in between.
_INCIDENT_MS = 100
#: Uncertainty of the time of a crash that a peer has reported.
_REPORT_DELAY_MS = 20
#: Number of incidents that put a trait into quarantine, if no other trait explains as many.
_MIN_INCIDENTS = 3
#: Number of incidents that put a trait into quarantine in any case.
_CERTAIN_INCIDENTS = 5
#: A prompt part must explain at least this share of all crashes between its first one and its last
#: one; otherwise there is another cause, and the part is in some of the crashes by chance.
_MIN_EXPLAINED_SHARE = 1 / 3


@dataclass(frozen=True)
class _Explanation:
    """Traits that all suspects with one of them have in common, and the incidents they explain."""

    traits: frozenset[str]
    incidents: frozenset[int]

    @property
    def rank(self) -> tuple[int, int, list[str]]:
        """Return the sort key: most incidents first, then the fewest requests affected."""
        return (-len(self.incidents), -len(self.traits), sorted(self.traits))

    @property
    def quarantined_traits(self) -> frozenset[str]:
        """Return the digest if there is one, since all requests with it have the other traits."""
        return frozenset(filter(is_digest_trait, self.traits)) or self.traits

    def is_rival_of(self, other: "_Explanation") -> bool:
        """Return whether it explains as many incidents as ``other``, and some of the same."""
        return (
            len(self.incidents) == len(other.incidents)
            and not self.incidents.isdisjoint(other.incidents)
            and not self.traits <= other.traits
        )


def find_crashing_traits(
    crashes: Iterable[Crash],
    known: Iterable[frozenset[str]],
    is_cleared: Callable[[str, int], bool],
    *,
    settled_at_ms: float,
) -> list[frozenset[str]]:
    """Return the sets of traits, not in ``known``, that end upstreams.

    ``is_cleared`` tells whether a trait has been cleared at a time or later. Crashes after
    ``settled_at_ms`` only narrow down known sets of prompt parts, since peers may not have reported
    yet what they know of the suspects.

    >>> suspects = [Suspect(frozenset({"a", f"own-{number}"}), 100) for number in range(3)]
    >>> crashes = [Crash((f"e-{n}", 0), 1_000 * n, (suspects[n],)) for n in range(3)]
    >>> find_crashing_traits(crashes, (), lambda trait, since_ms: False, settled_at_ms=3_000)
    [frozenset({'a'})]
    """
    found: list[frozenset[str]] = []
    explained = list(known)
    merged = _merge_by_run(crashes)
    while True:
        unexplained = [crash for crash in merged if not _is_explained(crash, explained)]
        newly_found = _narrowed(unexplained, explained, is_cleared) or _strongest_explanations(
            [crash for crash in merged if crash.at_ms <= settled_at_ms], explained, is_cleared
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
            crash = Crash(crash.run, at_ms, (*before.suspects, *crash.suspects))
        merged[crash.run] = crash
    return sorted(merged.values(), key=lambda crash: crash.at_ms)


def _is_explained(crash: Crash, known: Sequence[frozenset[str]]) -> bool:
    return any(traits <= suspect.traits for suspect in crash.suspects for traits in known)


def _is_single_request(traits: Iterable[str]) -> bool:
    return any(is_digest_trait(trait) for trait in traits)


def _narrowed(
    crashes: Sequence[Crash],
    known: Sequence[frozenset[str]],
    is_cleared: Callable[[str, int], bool],
) -> list[frozenset[str]]:
    """Return the prompt parts that a known set shares with the suspect of a crash that it missed.

    The known set has several parts of which only one is the cause; a suspect that has some of them,
    but not all, shows which.
    """
    for crash in crashes:
        for suspect, traits in product(crash.suspects, known):
            common = _uncleared(traits & suspect.traits, crash.at_ms, is_cleared)
            if common:
                return [common]
    return []


def _uncleared(
    traits: frozenset[str], since_ms: int, is_cleared: Callable[[str, int], bool]
) -> frozenset[str]:
    return frozenset(trait for trait in traits if not is_cleared(trait, since_ms))


def _strongest_explanations(
    crashes: Sequence[Crash],
    known: Sequence[frozenset[str]],
    is_cleared: Callable[[str, int], bool],
) -> list[frozenset[str]]:
    """Return the traits that explain most of the crashes, some of which ``known`` does not explain.

    Crashes under a known request still count for its prompt parts, of which one may be the cause.
    """
    known_parts = [traits for traits in known if not _is_single_request(traits)]
    considered = [crash for crash in crashes if not _is_explained(crash, known_parts)]
    numbers = _incident_numbers(considered)
    unexplained = {
        number
        for crash, number in zip(considered, numbers, strict=True)
        if not _is_explained(crash, known)
    }
    explanations = [
        explanation
        for explanation in _explanations(considered, numbers, is_cleared)
        if not explanation.incidents.isdisjoint(unexplained)
        and explanation.quarantined_traits not in known
    ]
    if not explanations:
        return []
    strongest, *others = explanations
    rivals = [other.quarantined_traits for other in others if other.is_rival_of(strongest)]
    if rivals and len(strongest.incidents) < _CERTAIN_INCIDENTS:
        return []
    return [strongest.quarantined_traits, *rivals]


def _explanations(
    crashes: Sequence[Crash], numbers: Sequence[int], is_cleared: Callable[[str, int], bool]
) -> list[_Explanation]:
    """Return the traits that are suspected often enough, the strongest explanation first."""
    incidents: defaultdict[str, set[int]] = defaultdict(set)
    common: dict[str, frozenset[str]] = {}
    for crash, number in zip(crashes, numbers, strict=True):
        for suspect in crash.suspects:
            suspected = _uncleared(suspect.traits, crash.at_ms, is_cleared)
            for trait in suspected:
                incidents[trait].add(number)
                common[trait] = common.get(trait, suspected) & suspected
    explanations = {
        _Explanation(common[trait], frozenset(explained))
        for trait, explained in incidents.items()
        if len(explained) >= _MIN_INCIDENTS
        and (is_digest_trait(trait) or _is_main_cause(explained))
    }
    return sorted(explanations, key=lambda explanation: explanation.rank)


def _is_main_cause(explained: Collection[int]) -> bool:
    """Return whether enough of the incidents between the first and the last are explained."""
    all_incidents = max(explained) - min(explained) + 1
    return len(explained) >= _MIN_EXPLAINED_SHARE * all_incidents


def _incident_numbers(crashes: Sequence[Crash]) -> list[int]:
    """Return the number of the incident that each crash, in the order of time, belongs to."""
    numbers: list[int] = []
    incident: list[Crash] = []
    number = -1
    for crash in crashes:
        if not incident or _is_new_incident(crash, incident):
            number += 1
            incident = []
        incident.append(crash)
        numbers.append(number)
    return numbers


def _is_new_incident(crash: Crash, incident: Sequence[Crash]) -> bool:
    """Return whether a crash is an incident of its own, after those of ``incident``.

    It is if one of its suspects was sent again after one of the crashes before: what ended the
    first upstream then also ended the one that the request was sent to next.
    """
    if crash.at_ms - incident[0].at_ms >= _INCIDENT_MS:
        return True
    digests = {
        (trait, crash.at_ms - suspect.sent_before_ms)
        for suspect in crash.suspects
        for trait in _digests(suspect)
    }
    return any(
        digest in _digests(suspect) and sent_at_ms >= before.at_ms - _REPORT_DELAY_MS
        for before in incident
        for suspect in before.suspects
        for digest, sent_at_ms in digests
    )


def _digests(suspect: Suspect) -> Iterator[str]:
    return filter(is_digest_trait, suspect.traits)
