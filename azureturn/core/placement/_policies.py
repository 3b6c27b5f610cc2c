"""Placement policies: which upstream gets a request. Chosen by name in the settings."""

import random
from collections.abc import Callable, Sequence

from azureturn.core._requests import Request
from azureturn.core._upstreams import Upstream

PlacementPolicy = Callable[[Request, Sequence[Upstream], random.Random], Upstream]

PLACEMENT_POLICIES: dict[str, PlacementPolicy] = {}


def placement_policy(name: str) -> Callable[[PlacementPolicy], PlacementPolicy]:
    """Register a policy under the name that settings use."""

    def register(policy: PlacementPolicy) -> PlacementPolicy:
        PLACEMENT_POLICIES[name] = policy
        return policy

    return register


@placement_policy("least_outstanding")
def least_outstanding(
    request: Request, candidates: Sequence[Upstream], generator: random.Random
) -> Upstream:
    """Return the upstream with the fewest requests of this VM; ties are broken by chance."""
    least = min(one.outstanding_requests for one in candidates)
    return generator.choice([one for one in candidates if one.outstanding_requests == least])


@placement_policy("least_work")
def least_work(
    request: Request, candidates: Sequence[Upstream], generator: random.Random
) -> Upstream:
    """Return the upstream that would finish the request first by its assumed speed."""

    def finish_s(upstream: Upstream) -> float:
        settings = upstream.settings
        share = 1 + max(upstream.outstanding_requests, upstream.report.running) / settings.slots
        prefill_s = request.prompt_tokens / settings.prefill_tokens_per_s
        decode_s = request.expected_output_tokens / settings.decode_tokens_per_s
        return share * (prefill_s + decode_s)

    return min(candidates, key=lambda one: (finish_s(one), generator.random()))
