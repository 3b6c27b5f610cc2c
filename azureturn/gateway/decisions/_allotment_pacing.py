"""How much of what is left of an allotment one VM may use before it hears of the others.

Load pattern: an organisation suddenly sends 8 to 14 times its usual load to many VMs. All of them
see the same rest of its allotment, and each knows only later what the others have admitted of it.
With 73 VMs and 8 times the load they admitted 1.29 times what they may during a partition.

Two rules bound what the VMs admit together and have not reported. Neither has an effect while the
rest is large compared with the demand, so that a request within the limit is not refused for lack
of reports:

- If the callers' demand since the last reports may exceed the rest, each VM admits only a share of
  its requests, so that the expected sum is the rest.
- The demand is known late when it grows suddenly. A VM that has already admitted a request which
  its peers do not know of may exceed its equal part of the rest only with a proportional chance. A
  first request is not bound by that part, which is often smaller than one request. The rule
  applies if a surge since the last reports could use up the rest.

What the VMs aim at lies between the limit and the bound: requests that are refused below the limit
are lost, and the margin above it is there for what VMs do not know of each other.
"""

from dataclasses import dataclass

#: Time after which all peers have a report of this VM, in multiples of the mean age of their own
#: reports here: ages vary between zero and twice their mean.
_UNREPORTED_AGES = 2.0
#: While less remains than this multiple of the demand since the last reports, VMs report at once.
_NEAR_LIMIT_DEMANDS = 4.0
#: Factor by which the load of an organisation may have grown since the last reports.
_SURGE_FACTOR = 14.0
#: Part of the margin above the aim that a surge which is not known yet may use up.
_SURGE_MARGIN_SHARE = 0.2
#: Fraction of the allowed overshoot and slack that is aimed at by small and very large sites, and
#: while many VMs cannot be heard.
AIM_SHARE = 0.1
#: The same for larger sites. There, VMs that aimed at the lower share refused a third of a surge
#: although a window had room, since what they admitted varied around a value below the limit.
LARGE_SITE_AIM_SHARE = 0.35
#: Sites with more VMs than the first number are large. The higher share applies up to the second
#: number; beyond it VMs know too little of each other.
_SMALL_SITE_VMS = 16
_FULL_AIM_VMS = 100
#: Share of the VMs in the usage that have to be heard for the higher aim.
_MIN_HEARD_SHARE = 0.8


@dataclass(frozen=True)
class ReportAges:
    """How old this VM's knowledge of its live peers is."""

    peers: int
    #: Sum of the ages of their reports.
    sum_ms: int

    @property
    def unreported_ms(self) -> int:
        """Return the time for which a VM's own admissions are taken to be unknown to its peers."""
        return int(_UNREPORTED_AGES * self.sum_ms / max(1, self.peers))


@dataclass(frozen=True)
class LiveVms:
    """The VMs whose reports arrive in time, so that their usage is known, and this VM."""

    names: frozenset[str]
    #: Estimated share of these VMs in the total usage of all VMs.
    usage_share: float
    #: Number of all known VMs, live or not.
    vm_count: int
    report_ages: ReportAges = ReportAges(0, 0)

    @property
    def is_well_known(self) -> bool:
        """Return whether many VMs, but not too many, know most of what the others admit."""
        has_size = _SMALL_SITE_VMS < self.vm_count <= _FULL_AIM_VMS
        return has_size and self.usage_share >= _MIN_HEARD_SHARE


@dataclass(frozen=True)
class AllotmentPace:
    """What is left of an allotment, and what may have been used of it without a report."""

    remaining_units: float
    ages: ReportAges
    #: Units per ms that one VM admits on average, and that callers ask it for.
    admitted_per_ms: float
    demand_per_ms: float
    #: Units that this VM has admitted and that peers may not know of.
    own_unreported_units: int
    #: Units between what VMs aim at and the bound; 0 if the reports of many VMs are overdue.
    margin_units: float = 0.0

    @property
    def unreported_demand(self) -> float:
        """Return the units that callers have asked peers for since their last reports."""
        return self.demand_per_ms * self.ages.sum_ms

    @property
    def needs_reports(self) -> bool:
        """Return whether peers have to know at once what is admitted."""
        return self.remaining_units < _NEAR_LIMIT_DEMANDS * self.unreported_demand

    def admitted_share(self, units: int) -> float:
        """Return the chance with which a request for ``units`` is admitted.

        >>> AllotmentPace(9_000.0, ReportAges(2, 600), 5.0, 30.0, 0).admitted_share(100)
        0.5
        >>> AllotmentPace(9_000.0, ReportAges(2, 600), 5.0, 5.0, 5_000).admitted_share(1_000)
        0.5
        """
        remaining = max(0.0, self.remaining_units)
        share = 1.0
        if self.unreported_demand > remaining:
            share = remaining / self.unreported_demand
        remaining += _SURGE_MARGIN_SHARE * self.margin_units
        could_use_up = _SURGE_FACTOR * self.admitted_per_ms * self.ages.sum_ms > remaining
        if could_use_up and self.own_unreported_units > 0:
            own_units = self.own_unreported_units + max(0, units)
            share = min(share, remaining / (self.ages.peers + 1) / own_units)
        return share
