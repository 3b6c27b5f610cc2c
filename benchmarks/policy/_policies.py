"""The policies that are compared, as the settings that choose them."""

from dataclasses import dataclass

from azureturn.settings import PolicySettings


@dataclass(frozen=True)
class Contender:
    """One policy of the comparison."""

    name: str
    settings: PolicySettings
    #: Whether the placement looks at shared prefixes.
    knows_prefixes: bool = False
    baseline: bool = True


CONTENDERS: dict[str, Contender] = {
    one.name: one
    for one in (
        Contender(
            "round_robin",
            PolicySettings(placement="round_robin", limits="slots", early_refusal=False),
        ),
        Contender(
            "random",
            PolicySettings(placement="random", limits="slots", early_refusal=False),
        ),
        Contender(
            "least_outstanding",
            PolicySettings(placement="least_outstanding", limits="slots", early_refusal=False),
        ),
        Contender(
            "first_come",
            PolicySettings(
                placement="least_work",
                limits="slots",
                early_refusal=False,
                queue_order="first_come",
            ),
        ),
        Contender(
            "prefix_hash",
            PolicySettings(placement="prefix_hash", limits="slots", early_refusal=False),
            knows_prefixes=True,
        ),
        Contender("azureturn", PolicySettings(), knows_prefixes=True, baseline=False),
    )
}
