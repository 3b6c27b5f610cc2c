"""Peers' reports as thrift structs, one datagram each."""

from azureturn.gateway.decisions import (
    MoveReport,
    PeerReport,
    SentPrompt,
    VersionCount,
    WaitingReport,
    WorkReport,
)
from azureturn.gateway.site import PromptPart, SpentUnits
from azureturn.peers import (
    AllotmentSpent,
    GatewayReport,
    MoveSeen,
    PromptSent,
    TierWaiting,
    UpstreamWork,
    VersionSeen,
    VmAddressSeen,
)


def report_to_wire(report: PeerReport) -> GatewayReport:
    """Return the struct of a report."""
    return GatewayReport(
        vm=report.vm,
        host=report.host,
        boot=report.boot,
        sequence=report.sequence,
        leaving=report.leaving,
        view_revision=report.view_revision,
        work=[
            UpstreamWork(name, work.requests, work.pending_tokens)
            for name, work in report.work.items()
        ],
        spent=[
            AllotmentSpent(name, spent.units, spent.late_units)
            for name, spent in report.spent.items()
        ],
        prompts=[
            PromptSent(
                sent.upstream,
                sent.model,
                [part.part_id for part in sent.parts],
                [part.tokens for part in sent.parts],
            )
            for sent in report.prompts
        ],
        versions=[
            VersionSeen(service, version, count.answers, count.failures, count.time_ms)
            for (service, version), count in report.versions.items()
        ],
        moves=[
            MoveSeen(service, move.version, move.elapsed_ms, move.condemned)
            for service, move in report.moves.items()
        ],
        peers=[VmAddressSeen(name, host) for name, host in report.peers.items()],
        strained=report.strained,
        availability_zone=report.availability_zone,
        waiting=[
            TierWaiting(service, one.tier_rank, one.requests, one.deadline_in_ms)
            for service, one in report.waiting.items()
        ],
    )


def report_from_wire(wire: GatewayReport) -> PeerReport:
    """Return the report in a struct; fields that are missing are empty."""
    return PeerReport(
        vm=wire.vm or "",
        host=wire.host or "",
        boot=wire.boot or 0,
        sequence=wire.sequence or 0,
        leaving=bool(wire.leaving),
        view_revision=wire.view_revision or 0,
        work={
            one.upstream: WorkReport(one.requests, one.pending_prompt_tokens)
            for one in wire.work or ()
        },
        spent={
            one.organisation: SpentUnits(one.units, one.late_units or 0) for one in wire.spent or ()
        },
        prompts=tuple(
            SentPrompt(
                one.upstream,
                one.model,
                tuple(
                    PromptPart(part_id, tokens)
                    for part_id, tokens in zip(one.part_ids, one.part_tokens, strict=False)
                ),
            )
            for one in wire.prompts or ()
        ),
        versions={
            (one.service_name, one.version): VersionCount(one.answers, one.failures, one.time_ms)
            for one in wire.versions or ()
        },
        moves={
            one.service_name: MoveReport(one.version, one.elapsed_ms, bool(one.condemned))
            for one in wire.moves or ()
        },
        peers={one.vm: one.host for one in wire.peers or ()},
        strained=bool(wire.strained),
        availability_zone=wire.availability_zone or "",
        waiting={
            one.service_name: WaitingReport(one.tier_rank, one.requests, one.deadline_in_ms)
            for one in wire.waiting or ()
        },
    )
