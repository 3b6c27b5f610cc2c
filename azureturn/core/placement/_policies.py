"""Placement policies: select the upstream for a request.

The settings select a policy by name.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from azureturn.core._requests import PREFIX_BLOCK_TOKENS, Request
from azureturn.core.placement._estimates import Candidate
from azureturn.core.placement._prefixes import AFFINITY_BLOCKS, affinity_key, rendezvous_rank

#: An upstream may have up to this multiple of the mean number of requests and still be preferred
#: for its prefix cache.
LOAD_BOUND = 1.5
#: An upstream whose batch is filled less than this share is never excluded for its load.
LOW_UTILISATION_SHARE = 0.5
#: Number of randomly sampled upstreams that are compared by estimated cost when no cached
#: prefix decides.
SAMPLED_CANDIDATES = 3
#: Minimum share of repeated prefixes at which a prompt with a new prefix is placed by rendezvous
#: hashing, so that later prompts with this prefix go to the same cache.
MIN_PREFIX_REUSE = 0.2


@dataclass(frozen=True)
class PlacementInputs:
    """Inputs of a placement policy."""

    request: Request
    #: Upstreams that can accept the request now; at least one.
    accepting: Sequence[Candidate]
    #: Every upstream that can serve the request, including those at their limit.
    all: Sequence[Candidate]
    random: random.Random
    #: Number of placements made by this VM so far.
    placed: int = 0
    #: Share of the prompts on the request's route whose leading blocks were sent before.
    prefix_reuse: float = 0.0
    #: Whether the request has time to wait for an upstream that is at its limit.
    may_wait: bool = False


#: Returns the chosen upstream, or None to wait for a better one that is at its limit.
PlacementPolicy = Callable[[PlacementInputs], Candidate | None]

PLACEMENT_POLICIES: dict[str, PlacementPolicy] = {}


def placement_policy(name: str) -> Callable[[PlacementPolicy], PlacementPolicy]:
    """Register a policy under the name that settings use."""

    def register(policy: PlacementPolicy) -> PlacementPolicy:
        PLACEMENT_POLICIES[name] = policy
        return policy

    return register


@placement_policy("round_robin")
def round_robin(inputs: PlacementInputs) -> Candidate:
    """Return the next upstream in name order."""
    ordered = sorted(inputs.accepting, key=lambda candidate: candidate.name)
    return ordered[inputs.placed % len(ordered)]


@placement_policy("random")
def uniform_random(inputs: PlacementInputs) -> Candidate:
    """Return an upstream chosen uniformly at random."""
    return inputs.random.choice(inputs.accepting)


@placement_policy("least_outstanding")
def least_outstanding(inputs: PlacementInputs) -> Candidate:
    """Return the upstream with the fewest requests of this VM; ties are broken at random."""
    fewest = min(candidate.upstream.outstanding_requests for candidate in inputs.accepting)
    return inputs.random.choice(
        [
            candidate
            for candidate in inputs.accepting
            if candidate.upstream.outstanding_requests == fewest
        ]
    )


@placement_policy("least_work")
def least_work(inputs: PlacementInputs) -> Candidate:
    """Return the upstream that would finish the request first at its configured speed."""
    request = inputs.request

    def finish_s(candidate: Candidate) -> float:
        settings = candidate.upstream.settings
        running = max(candidate.upstream.outstanding_requests, candidate.upstream.report.running)
        prefill_s = request.prompt_tokens / settings.prefill_tokens_per_s
        decode_s = request.expected_output_tokens / settings.decode_tokens_per_s
        return (1 + running / settings.slots) * (prefill_s + decode_s)

    return min(
        inputs.accepting, key=lambda candidate: (finish_s(candidate), inputs.random.random())
    )


@placement_policy("prefix_hash")
def prefix_hash(inputs: PlacementInputs) -> Candidate:
    """Return the upstream that the prompt prefix hashes to, regardless of its load."""
    key = affinity_key(inputs.request)
    if not key:
        return inputs.random.choice(inputs.accepting)
    return max(inputs.accepting, key=lambda candidate: rendezvous_rank(key, candidate.name))


@placement_policy("earliest_finish")
def earliest_finish(inputs: PlacementInputs) -> Candidate | None:
    """Return the upstream with the lowest cost: finish time plus the delay of other requests.

    Prefilling the uncached part of a prompt stalls the requests in the upstream's batch, so the
    prefill time is counted once for each of these requests as well as for the new one.

    A prompt whose prefix is likely to be repeated, and that no upstream is estimated to have
    cached, goes to the upstream with the highest rendezvous rank among those whose load is within
    a multiple of the mean load, so that all VMs choose the same upstream: V. Mirrokni, M. Thorup
    and M. Zadimoghaddam, "Consistent Hashing with Bounded Loads", SODA 2018.

    For other requests, the upstreams with the longest cached prefix are compared with a few
    upstreams sampled at random. The sampling prevents VMs that have the same stale load figures
    from all choosing the same upstream: M. Mitzenmacher, "The Power of Two Choices in Randomized
    Load Balancing", IEEE TPDS 12(10), 2001.
    """
    most_cached = max(candidate.cached_tokens for candidate in inputs.accepting)
    affinity_tokens = min(AFFINITY_BLOCKS, len(inputs.request.prefix_digests)) * PREFIX_BLOCK_TOKENS
    if most_cached < affinity_tokens:
        if (
            any(candidate.cached_tokens >= affinity_tokens for candidate in inputs.all)
            and inputs.may_wait
        ):
            return None
        if inputs.prefix_reuse >= MIN_PREFIX_REUSE:
            return _by_rendezvous(inputs)
    cache_holders = [
        candidate for candidate in inputs.accepting if candidate.cached_tokens == most_cached > 0
    ]
    cache_holders_within_bound = [
        candidate
        for candidate in cache_holders
        if candidate.requests <= _max_requests(candidate, _mean_requests(inputs))
    ]
    if cache_holders_within_bound and most_cached >= affinity_tokens:
        return min(cache_holders_within_bound, key=_cost_ms)
    sampled = inputs.random.sample(inputs.accepting, min(SAMPLED_CANDIDATES, len(inputs.accepting)))
    return min(sampled + cache_holders, key=_cost_ms)


def _cost_ms(candidate: Candidate) -> float:
    """Return the finish time plus the delay that the prefill causes to other requests."""
    return candidate.finish_ms + candidate.requests * candidate.prefill_ms


def _by_rendezvous(inputs: PlacementInputs) -> Candidate | None:
    key = affinity_key(inputs.request)
    mean = _mean_requests(inputs)
    within_bound = [
        candidate
        for candidate in inputs.all
        if candidate.requests <= _max_requests(candidate, mean)
    ]
    preferred = max(
        within_bound or inputs.all, key=lambda candidate: rendezvous_rank(key, candidate.name)
    )
    if preferred in inputs.accepting:
        return preferred
    if inputs.may_wait:
        return None
    return max(inputs.accepting, key=lambda candidate: rendezvous_rank(key, candidate.name))


def _mean_requests(inputs: PlacementInputs) -> float:
    return sum(candidate.requests for candidate in inputs.all) / len(inputs.all)


def _max_requests(candidate: Candidate, mean_requests: float) -> float:
    """Return the number of requests above which an upstream counts as overloaded."""
    return max(
        LOAD_BOUND * mean_requests, LOW_UTILISATION_SHARE * candidate.upstream.settings.slots
    )
