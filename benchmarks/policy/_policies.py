"""The compared policies, each with the settings that select it."""

from dataclasses import dataclass

from azureturn.settings import PolicySettings


@dataclass(frozen=True)
class PolicyVariant:
    """One policy in the comparison."""

    name: str
    settings: PolicySettings
    #: Whether placement takes shared prefixes into account.
    knows_prefixes: bool = False
    baseline: bool = True


POLICY_VARIANTS: dict[str, PolicyVariant] = {
    variant.name: variant
    for variant in (
        PolicyVariant(
            "round_robin",
            PolicySettings(placement="round_robin", limits="slots", early_refusal=False),
        ),
        PolicyVariant(
            "random",
            PolicySettings(placement="random", limits="slots", early_refusal=False),
        ),
        PolicyVariant(
            "least_outstanding",
            PolicySettings(placement="least_outstanding", limits="slots", early_refusal=False),
        ),
        PolicyVariant(
            "first_come",
            PolicySettings(
                placement="least_work",
                limits="slots",
                early_refusal=False,
                queue_order="first_come",
            ),
        ),
        PolicyVariant(
            "prefix_hash",
            PolicySettings(placement="prefix_hash", limits="slots", early_refusal=False),
            knows_prefixes=True,
        ),
        PolicyVariant("azureturn", PolicySettings(), knows_prefixes=True, baseline=False),
    )
}
