"""Settings of a simulated VM."""

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
from benchmarks.policy._workload import TARGET, RouteLoad, SiteLoad

_TIERS = ("urgent", "interactive", "deferrable")
_UNUSED_URL = "http://127.0.0.1:1"


def zone_of(number: int, zones: int) -> str:
    """Return the availability zone of the VM or engine with this number."""
    return f"zone-{number % zones}"


def vm_settings(
    site: SiteLoad, policy: PolicySettings, *, vm: int, hardware: list[str]
) -> Settings:
    """Return the settings of the VM with this number; ``hardware`` is that of each engine."""
    vm_row = VmSettings(
        name=f"vm-{vm}",
        availability_zone=zone_of(vm, site.zones),
        host="127.0.0.1",
        port=1,
        peer_port=1,
    )
    platform = PlatformSettings(key_value_url=_UNUSED_URL, vm_list_url=_UNUSED_URL)
    return Settings(vm=vm_row, platform=platform, shared=_shared(site, policy, hardware))


def _shared(site: SiteLoad, policy: PolicySettings, hardware: list[str]) -> SharedSettings:
    organisations = [name for name, _ in site.organisations] + ["flooder"]
    return SharedSettings(
        site=site.name,
        tiers=tuple(TierSettings(name, rank) for rank, name in enumerate(_TIERS)),
        organisations=tuple(OrganisationSettings(name, name) for name in organisations),
        routes=tuple(_route(route) for route in site.routes),
        upstreams=tuple(
            UpstreamSettings(
                name=f"engine-{number}",
                kind=UpstreamKind.MODEL_ENGINE,
                availability_zone=zone_of(number, site.zones),
                url=_UNUSED_URL,
                targets=(TARGET,),
                hardware=hardware[number],
            )
            for number in range(site.engines)
        ),
        policy=policy,
    )


def _route(route: RouteLoad) -> RouteSettings:
    return RouteSettings(
        name=route.route,
        tier=_TIERS[route.tier_rank],
        timeout_ms=route.timeout_ms,
        target=TARGET,
        expected_output_tokens=route.output_tokens,
    )
