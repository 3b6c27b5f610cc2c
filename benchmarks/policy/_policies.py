"""The compared policies, each with the settings that select it."""

from dataclasses import dataclass

from azureturn.settings import PolicySettings


@dataclass(frozen=True)
class ComparedPolicy:
    """One policy in the comparison, and the settings that select it."""

    name: str
    settings: PolicySettings
    #: Whether placement takes shared prefixes into account.
    knows_prefixes: bool = False
    baseline: bool = True


POLICIES: dict[str, ComparedPolicy] = {
    policy.name: policy
    for policy in (
        ComparedPolicy(
            "round_robin",
            PolicySettings(placement="round_robin", limits="slots", early_refusal=False),
        ),
        ComparedPolicy(
            "random",
            PolicySettings(placement="random", limits="slots", early_refusal=False),
        ),
        ComparedPolicy(
            "least_outstanding",
            PolicySettings(placement="least_outstanding", limits="slots", early_refusal=False),
        ),
        ComparedPolicy(
            "first_come",
            PolicySettings(
                placement="least_work",
                limits="slots",
                early_refusal=False,
                queue_order="first_come",
            ),
        ),
        ComparedPolicy(
            "prefix_hash",
            PolicySettings(placement="prefix_hash", limits="slots", early_refusal=False),
            knows_prefixes=True,
        ),
        ComparedPolicy("azureturn", PolicySettings(), knows_prefixes=True, baseline=False),
    )
}
