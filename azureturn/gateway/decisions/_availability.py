"""What upstreams say of their availability, as VMs report it to their peers."""

from dataclasses import dataclass

from azureturn.gateway.site import UpstreamRun


@dataclass(frozen=True)
class AvailabilityReport:
    """What a run of an upstream has said, as far as its registration does not show it."""

    run: UpstreamRun
    is_leaving: bool = False
