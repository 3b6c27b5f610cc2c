"""Conversion between peer reports and the Thrift structs in which they are sent."""

from azureturn.gateway.decisions import (
    AvailabilityReport,
    ColdReport,
    CrashReport,
    LimitReport,
    MoveReport,
    OutstandingWork,
    PeerReport,
    QueueReport,
    RouteCount,
    RouteEvidence,
    RouteKey,
    SentPrompt,
    SpeedReport,
    StoreState,
    StreamPace,
    Suspect,
    VersionCount,
)
from azureturn.gateway.site import AllotmentUsage, PromptPart, QuarantinedTraits, StatedLimits
from azureturn.peers import (
    AllotmentSpent,
    AvailabilitySeen,
    ColdSeen,
    CrashSeen,
    GatewayReport,
    LimitSeen,
    MoveSeen,
    PromptSent,
    QuarantineSeen,
    RouteCountSeen,
    RouteSeen,
    SpeedSeen,
    SuspectSeen,
    TierWaiting,
    TraitCleared,
    UpstreamWork,
    VersionSeen,
    VmAddressSeen,
)

#: Largest number of tokens or ms that a report can hold.
_MAX_I32 = 2**31 - 1


def report_to_wire(report: PeerReport) -> GatewayReport:
    """Return a report as a Thrift struct."""
    return GatewayReport(
        vm=report.vm,
        host=report.host,
        boot=report.boot,
        sequence=report.sequence,
        leaving=report.leaving,
        view_revision=report.view_revision,
        work=[
            UpstreamWork(name, work.requests, min(work.pending_tokens, _MAX_I32))
            for name, work in report.work.items()
        ],
        spent=[
            AllotmentSpent(name, spent_units.units, spent_units.late_units)
            for name, spent_units in report.spent.items()
        ],
        prompts=[
            PromptSent(
                prompt.upstream,
                prompt.model,
                [segment.part_id for segment in prompt.segments],
                [segment.tokens for segment in prompt.segments],
            )
            for prompt in report.prompts
        ],
        versions=[
            _version_to_wire(service, version, count)
            for (service, version), count in report.versions.items()
        ],
        moves=[_move_to_wire(service, move) for service, move in report.moves.items()],
        peers=[VmAddressSeen(name, host) for name, host in report.peers.items()],
        strained=report.strained,
        availability_zone=report.availability_zone,
        waiting=[
            TierWaiting(service, waiting.tier_rank, waiting.requests, waiting.deadline_in_ms)
            for service, waiting in report.waiting.items()
        ],
        crashes=[
            CrashSeen(*crash.run, crash.age_ms, [_suspect_to_wire(row) for row in crash.suspects])
            for crash in report.crashes
        ],
        cleared_traits=[
            TraitCleared(trait, age_ms) for trait, age_ms in report.cleared_traits_ms.items()
        ],
        quarantined=[
            QuarantineSeen(sorted(row.traits), row.since_unix_ms) for row in report.quarantined
        ],
        unreachable=sorted(report.unreachable),
        limits=[_limits_to_wire(row) for row in report.limits],
        store_contact_ms=report.store_contact_ms,
        configuration_version=report.configuration_version,
        availability=[_availability_to_wire(row) for row in report.availability],
        cold=[ColdSeen(*row.run, row.left_ms) for row in report.cold] or None,
        speeds=[_speed_to_wire(row) for row in report.speeds] or None,
        routes=[_route_to_wire(key, row) for key, row in report.routes.items()] or None,
        **_store_call_fields(report.store),
    )


def report_from_wire(wire: GatewayReport) -> PeerReport:
    """Return the report in a Thrift struct; missing fields get empty values."""
    return PeerReport(
        vm=wire.vm or "",
        host=wire.host or "",
        boot=wire.boot or 0,
        sequence=wire.sequence or 0,
        leaving=bool(wire.leaving),
        view_revision=wire.view_revision or 0,
        work={
            row.upstream: OutstandingWork(row.requests, row.pending_prompt_tokens)
            for row in wire.work or ()
        },
        spent={
            row.organisation: AllotmentUsage(row.units, row.late_units or 0)
            for row in wire.spent or ()
        },
        prompts=tuple(_prompt_from_wire(row) for row in wire.prompts or ()),
        versions={
            (row.service_name, row.version): _version_from_wire(row) for row in wire.versions or ()
        },
        moves={
            row.service_name: MoveReport(
                row.version, row.elapsed_ms, bool(row.condemned), row.order_revision or 0
            )
            for row in wire.moves or ()
        },
        peers={row.vm: row.host for row in wire.peers or ()},
        strained=bool(wire.strained),
        availability_zone=wire.availability_zone or "",
        waiting={
            row.service_name: QueueReport(row.tier_rank, row.requests, row.deadline_in_ms)
            for row in wire.waiting or ()
        },
        crashes=tuple(_crash_from_wire(row) for row in wire.crashes or ()),
        cleared_traits_ms={row.trait: row.age_ms for row in wire.cleared_traits or ()},
        quarantined=tuple(
            QuarantinedTraits(frozenset(row.traits), row.since_unix_ms)
            for row in wire.quarantined or ()
        ),
        unreachable=frozenset(wire.unreachable or ()),
        limits=tuple(_limits_from_wire(row) for row in wire.limits or ()),
        store_contact_ms=wire.store_contact_ms,
        configuration_version=wire.configuration_version or 0,
        availability=tuple(_availability_from_wire(row) for row in wire.availability or ()),
        cold=tuple(_cold_from_wire(row) for row in wire.cold or ()),
        speeds=tuple(_speed_from_wire(row) for row in wire.speeds or ()),
        routes=dict(_route_from_wire(row) for row in wire.routes or ()),
        store=_store_state_from_wire(wire),
    )


def _store_call_fields(store: StoreState | None) -> dict[str, int | None]:
    return {} if store is None else vars(store)


def _store_state_from_wire(wire: GatewayReport) -> StoreState | None:
    if wire.changed_revision is None or wire.view_digest is None:
        return None
    return StoreState(
        wire.changed_revision, wire.view_digest, wire.store_answered_ago_ms, wire.sent_at_ms
    )


def _prompt_from_wire(row: PromptSent) -> SentPrompt:
    parts = zip(row.part_ids, row.part_tokens, strict=False)
    return SentPrompt(
        row.upstream, row.model, tuple(PromptPart(part_id, tokens) for part_id, tokens in parts)
    )


def _availability_to_wire(report: AvailabilityReport) -> AvailabilitySeen:
    name, started_unix_ms = report.run
    return AvailabilitySeen(
        upstream=name,
        started_unix_ms=started_unix_ms,
        leaving=report.is_leaving,
        pause_ms=report.pause_ms,
        relay_vm=report.relay_vm,
    )


def _availability_from_wire(row: AvailabilitySeen) -> AvailabilityReport:
    run = (row.upstream, row.started_unix_ms)
    return AvailabilityReport(run, bool(row.leaving), row.pause_ms or 0, row.relay_vm or "")


def _cold_from_wire(row: ColdSeen) -> ColdReport:
    return ColdReport((row.upstream, row.started_unix_ms), row.left_ms)


def _speed_to_wire(report: SpeedReport) -> SpeedSeen:
    name, started_unix_ms = report.run
    return SpeedSeen(
        upstream=name,
        started_unix_ms=started_unix_ms,
        level=report.level,
        assumed_ms=min(report.assumed_ms, _MAX_I32),
        took_ms=min(report.took_ms, _MAX_I32),
    )


def _speed_from_wire(row: SpeedSeen) -> SpeedReport:
    run = (row.upstream or "", row.started_unix_ms or 0)
    return SpeedReport(run, row.level or 0, row.assumed_ms or 0, row.took_ms or 0)


def _route_to_wire(key: RouteKey, evidence: RouteEvidence) -> RouteSeen:
    return RouteSeen(
        service_name=key.service,
        version=key.version,
        route=key.route,
        windows=[_route_count_to_wire(count) for count in evidence.windows],
        upstreams=sorted(evidence.upstreams),
        bad_upstreams=sorted(evidence.bad_upstreams),
    )


def _route_from_wire(row: RouteSeen) -> tuple[RouteKey, RouteEvidence]:
    key = RouteKey(row.service_name or "", row.version or "", row.route or "")
    windows = tuple(_route_count_from_wire(count) for count in row.windows or ())
    if len(windows) != len(RouteEvidence().windows):
        # Another build counts in other windows.
        return key, RouteEvidence()
    upstreams, bad_upstreams = row.upstreams or (), row.bad_upstreams or ()
    return key, RouteEvidence(windows, frozenset(upstreams), frozenset(bad_upstreams))


def _route_count_to_wire(count: RouteCount) -> RouteCountSeen:
    return RouteCountSeen(
        answers=count.answers,
        failures=count.failures,
        timed=count.timed,
        slow=count.slow,
        expected_failures=min(count.expected_failures, _MAX_I32),
        expected_slow=min(count.expected_slow, _MAX_I32),
    )


def _route_count_from_wire(row: RouteCountSeen) -> RouteCount:
    return RouteCount(
        answers=row.answers or 0,
        failures=row.failures or 0,
        timed=row.timed or 0,
        slow=row.slow or 0,
        expected_failures=row.expected_failures or 0,
        expected_slow=row.expected_slow or 0,
    )


def _limits_to_wire(report: LimitReport) -> LimitSeen:
    name, started_unix_ms = report.run
    return LimitSeen(
        upstream=name,
        started_unix_ms=started_unix_ms,
        requests_per_s=report.limits.requests_per_s,
        rejections_per_s=report.limits.rejections_per_s,
        age_ms=report.age_ms,
    )


def _limits_from_wire(row: LimitSeen) -> LimitReport:
    limits = StatedLimits(row.requests_per_s, row.rejections_per_s)
    return LimitReport((row.upstream, row.started_unix_ms), limits, row.age_ms)


def _crash_from_wire(row: CrashSeen) -> CrashReport:
    suspects = tuple(
        Suspect(frozenset(suspect.traits), suspect.sent_before_ms) for suspect in row.suspects or ()
    )
    return CrashReport((row.upstream, row.started_unix_ms), row.age_ms, suspects)


def _suspect_to_wire(suspect: Suspect) -> SuspectSeen:
    return SuspectSeen(sorted(suspect.traits), suspect.sent_before_ms)


def _move_to_wire(service: str, move: MoveReport) -> MoveSeen:
    return MoveSeen(
        service_name=service,
        version=move.version,
        elapsed_ms=min(move.elapsed_ms, _MAX_I32),
        condemned=move.condemned,
        order_revision=move.order_revision,
    )


def _version_to_wire(service: str, version: str, count: VersionCount) -> VersionSeen:
    return VersionSeen(
        service_name=service,
        version=version,
        answers=count.answers,
        failures=count.failures,
        time_ms=count.time_ms,
        streams=count.pace.streams,
        intervals=count.pace.intervals,
        streamed_ms=count.pace.streamed_ms,
    )


def _version_from_wire(row: VersionSeen) -> VersionCount:
    pace = StreamPace(row.streams or 0, row.intervals or 0, row.streamed_ms or 0)
    return VersionCount(row.answers or 0, row.failures or 0, row.time_ms or 0, pace)
