"""Helpers for tests of the decisions: a core, its engines, and requests.

An engine is an upstream that serves a model.
"""

from azureturn.core import Configuration, Core, Request, Started
from azureturn.framework import Action, Event
from azureturn.settings import (
    OrganisationSettings,
    PlatformSettings,
    PolicySettings,
    RouteSettings,
    Settings,
    SharedSettings,
    TierSettings,
    UpstreamKind,
    UpstreamSettings,
    VmSettings,
)

MODEL = "model"
_URL = "http://127.0.0.1:1"
_TIERS = ("urgent", "interactive", "deferrable")


def make_settings(
    *, engines: int = 2, slots: int = 2, queue_limit: int = 4, placement: str = "earliest_finish"
) -> Settings:
    """Return settings of a VM with identical engines as its upstreams."""
    vm = VmSettings("vm-1", "zone-a", "127.0.0.1", 1, 1)
    shared = SharedSettings(
        site="test",
        tiers=tuple(TierSettings(name, rank) for rank, name in enumerate(_TIERS)),
        organisations=(
            OrganisationSettings("small", "small-organisation-token"),
            OrganisationSettings("large", "large-organisation-token", weight=3.0),
        ),
        routes=tuple(
            RouteSettings(f"route-{rank}", name, 10_000, MODEL) for rank, name in enumerate(_TIERS)
        ),
        upstreams=tuple(
            UpstreamSettings(
                name=f"engine-{number}",
                kind=UpstreamKind.MODEL_ENGINE,
                availability_zone="zone-a",
                url=_URL,
                targets=(MODEL,),
                slots=slots,
            )
            for number in range(engines)
        ),
        policy=PolicySettings(queue_limit=queue_limit, placement=placement),
    )
    return Settings(vm=vm, platform=PlatformSettings(_URL, _URL), shared=shared)


def started_core(settings: Settings) -> Core:
    """Return a core that has been started with its configuration."""
    core = Core.from_settings(settings, seed=1)
    core.handle(Started(Configuration(0, settings.shared)), 0)
    return core


def make_request(
    request_id: str,
    *,
    rank: int = 0,
    organisation: str = "small",
    now_ms: int = 0,
    timeout_ms: int = 10_000,
    output_tokens: int = 20,
    prefix_digests: tuple[str, ...] = (),
) -> Request:
    """Return a request for the only model of the engines."""
    return Request(
        request_id=request_id,
        organisation=organisation,
        route=f"route-{rank}",
        tier_rank=rank,
        target=MODEL,
        kind=UpstreamKind.MODEL_ENGINE,
        arrived_at_ms=now_ms,
        deadline_ms=now_ms + timeout_ms,
        prompt_tokens=100,
        expected_output_tokens=output_tokens,
        prefix_digests=prefix_digests,
    )


def handle_all(core: Core, events: list[Event], now_ms: int) -> list[Action]:
    """Return the actions of a core for events that it handles at one time."""
    return [action for event in events for action in core.handle(event, now_ms)]
