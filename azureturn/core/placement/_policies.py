"""Placement policies: which upstream gets a request. Chosen by name in the settings."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from azureturn.core._requests import PREFIX_BLOCK_TOKENS, Request
from azureturn.core.placement._estimates import Candidate
from azureturn.core.placement._prefixes import AFFINITY_BLOCKS, affinity_key, rendezvous_rank

#: An upstream may have this many times the mean load and still be chosen for its cache.
LOAD_BOUND = 1.5
#: An upstream whose batch is filled less than this is never passed over for its load.
FREE_SHARE = 0.5
#: Upstreams that are compared by estimate when no prefix speaks for one.
CHOICES = 3
#: From this share of prompts that came before, new ones are placed so that they will be found.
REUSE_SHARE = 0.2


@dataclass(frozen=True)
class PlacementChoice:
    """What a policy chooses from."""

    request: Request
    #: Upstreams with room, at least one.
    open: Sequence[Candidate]
    #: Every upstream that serves the request, with room or without.
    all: Sequence[Candidate]
    random: random.Random
    #: Number of placements that this VM has made.
    placed: int = 0
    #: Share of the route's prompts whose leading blocks had been sent before.
    prefix_reuse: float = 0.0
    #: Whether the request has time to wait for an upstream that has no room yet.
    may_wait: bool = False


#: Returns the chosen upstream, or None where it is better to wait for one that has no room yet.
PlacementPolicy = Callable[[PlacementChoice], Candidate | None]

PLACEMENT_POLICIES: dict[str, PlacementPolicy] = {}


def placement_policy(name: str) -> Callable[[PlacementPolicy], PlacementPolicy]:
    """Register a policy under the name that settings use."""

    def register(policy: PlacementPolicy) -> PlacementPolicy:
        PLACEMENT_POLICIES[name] = policy
        return policy

    return register


@placement_policy("round_robin")
def round_robin(choice: PlacementChoice) -> Candidate:
    """Return the upstreams in turn."""
    ordered = sorted(choice.open, key=lambda one: one.name)
    return ordered[choice.placed % len(ordered)]


@placement_policy("random")
def by_chance(choice: PlacementChoice) -> Candidate:
    """Return any upstream."""
    return choice.random.choice(choice.open)


@placement_policy("least_outstanding")
def least_outstanding(choice: PlacementChoice) -> Candidate:
    """Return the upstream with the fewest requests of this VM; ties are broken by chance."""
    least = min(one.upstream.outstanding_requests for one in choice.open)
    return choice.random.choice(
        [one for one in choice.open if one.upstream.outstanding_requests == least]
    )


@placement_policy("least_work")
def least_work(choice: PlacementChoice) -> Candidate:
    """Return the upstream that would finish the request first by its assumed speed."""
    request = choice.request

    def finish_s(one: Candidate) -> float:
        settings = one.upstream.settings
        running = max(one.upstream.outstanding_requests, one.upstream.report.running)
        prefill_s = request.prompt_tokens / settings.prefill_tokens_per_s
        decode_s = request.expected_output_tokens / settings.decode_tokens_per_s
        return (1 + running / settings.slots) * (prefill_s + decode_s)

    return min(choice.open, key=lambda one: (finish_s(one), choice.random.random()))


@placement_policy("prefix_hash")
def prefix_hash(choice: PlacementChoice) -> Candidate:
    """Return the upstream that the prompt's prefix hashes to, whatever its load."""
    key = affinity_key(choice.request)
    if not key:
        return choice.random.choice(choice.open)
    return max(choice.open, key=lambda one: rendezvous_rank(key, one.name))


@placement_policy("earliest_finish")
def earliest_finish(choice: PlacementChoice) -> Candidate | None:
    """Return the upstream where the request costs least: its own time, and others' delay.

    What an upstream does not hold of the prompt must be worked off while the requests in its
    batch wait, so that time counts for each of them as well as for the request.

    A prompt whose prefix is likely to come again, and that nobody is thought to hold yet, goes
    to the first upstream in the order of its rendezvous ranks that is not loaded beyond a
    multiple of the mean load, so that all VMs send it alike: V. Mirrokni, M. Thorup and
    M. Zadimoghaddam, "Consistent Hashing with Bounded Loads", SODA 2018.

    All others are compared at the upstreams that hold most of the prefix and at a few drawn by
    chance, which keeps VMs with the same stale figures from all choosing the same upstream:
    M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE TPDS 12(10),
    2001.
    """
    most_held = max(one.held_tokens for one in choice.open)
    wanted = min(AFFINITY_BLOCKS, len(choice.request.prefix_digests)) * PREFIX_BLOCK_TOKENS
    if most_held < wanted:
        if any(one.held_tokens >= wanted for one in choice.all) and choice.may_wait:
            return None
        if choice.prefix_reuse >= REUSE_SHARE:
            return _by_rendezvous(choice)
    holders = [one for one in choice.open if one.held_tokens == most_held > 0]
    near = [one for one in holders if one.requests <= _bound(one, _mean_requests(choice))]
    if near and most_held >= wanted:
        return min(near, key=_cost_ms)
    few = choice.random.sample(choice.open, min(CHOICES, len(choice.open)))
    return min(few + holders, key=_cost_ms)


def _cost_ms(one: Candidate) -> float:
    return one.finish_ms + one.requests * one.prefill_ms


def _by_rendezvous(choice: PlacementChoice) -> Candidate | None:
    key = affinity_key(choice.request)
    mean = _mean_requests(choice)
    within = [one for one in choice.all if one.requests <= _bound(one, mean)]
    first = max(within or choice.all, key=lambda one: rendezvous_rank(key, one.name))
    if first in choice.open:
        return first
    if choice.may_wait:
        return None
    return max(choice.open, key=lambda one: rendezvous_rank(key, one.name))


def _mean_requests(choice: PlacementChoice) -> float:
    return sum(one.requests for one in choice.all) / len(choice.all)


def _bound(one: Candidate, mean_requests: float) -> float:
    """Return the requests up to which an upstream is not passed over."""
    return max(LOAD_BOUND * mean_requests, FREE_SHARE * one.upstream.settings.slots)
