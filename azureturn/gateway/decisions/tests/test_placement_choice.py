"""Placement with many upstreams and VMs: which upstream is chosen, and how much is computed."""

import math
import random
from types import SimpleNamespace

import pytest

from azureturn.framework import QueuedRequest
from azureturn.gateway.decisions import (
    GatewayRequest,
    OutstandingWork,
    PeerReportReceived,
    SendAttempt,
)
from azureturn.gateway.decisions._estimates import (
    Candidate,
    UpstreamSnapshot,
    estimate_candidate,
    own_speed,
)
from azureturn.gateway.decisions._events import PlacementRequested
from azureturn.gateway.decisions._peers import Peer, PeerTable
from azureturn.gateway.decisions._prefix_cache import PrefixCacheTable
from azureturn.gateway.decisions._requests import GatewayRequestTable
from azureturn.gateway.decisions._slot_sharing import (
    Loan,
    LoanTable,
    TurnoverTable,
    draw_weight,
    expected_requests,
    owned_slots,
)
from azureturn.gateway.decisions._tables import GatewayQueueTable, ViewTable
from azureturn.gateway.decisions._upstream_state import UpstreamState, UpstreamStateTable
from azureturn.gateway.decisions.controllers import _placement_choice
from azureturn.gateway.decisions.tests.gateway_core_harness import (
    ENGINE,
    STATUS_ROUTE,
    STREAM_ROUTE,
    GatewayCoreHarness,
    of_type,
    peer_report,
    request,
    upstream,
    view,
)

_SLOTS = 6


def _site(
    vm_count: int,
    upstream_count: int,
    load: float,
    seed: int,
    service: str = "models",
    slowest: float = 4.0,
) -> GatewayCoreHarness:
    """Return a VM with random states of its upstreams, and random reports of its peers."""
    generator = random.Random(seed)
    names = [f"u-{number:03}" for number in range(upstream_count)]
    zones = {name: generator.choice("ab") for name in names}
    registered = [
        upstream(name, service, slots=_SLOTS, availability_zone=zones[name]) for name in names
    ]
    vm = GatewayCoreHarness(view(*registered), vm_name="vm-000", seed=seed)
    work = dict.fromkeys(names, load * _SLOTS / vm_count)
    for number in range(1, vm_count):
        at_peer = {
            name: OutstandingWork(1 + int(mean), generator.randrange(2_000))
            for name, mean in work.items()
            if generator.random() < mean / (1 + int(mean))
        }
        report = peer_report(f"vm-{number:03}", work=at_peer)
        # The first peer has not reported for long.
        vm.handle_event(PeerReportReceived(report), at_ms=1_000 if number > 1 else 0)
    board = vm.core.board
    board.table(TurnoverTable).put(service, generator.uniform(50.0, 2_000.0))
    for row in registered:
        state = UpstreamState(
            row.run,
            requests=int(generator.random() < work[row.name]) * generator.randint(1, 2),
            pending_tokens=generator.randrange(3_000),
            slowdown=generator.uniform(0.5, slowest),
            slowdown_at_ms=900,
            failure_share=generator.choice((0.0, 0.3)),
            failed_at_ms=900,
            answer_ms=generator.uniform(20.0, 90.0),
            answered_at_ms=900,
            is_unreachable=generator.random() < 0.1,
        )
        board.table(UpstreamStateTable).put(row.name, state)
    return vm


def _enqueue(vm: GatewayCoreHarness, waiting: GatewayRequest) -> None:
    vm.core.board.table(GatewayRequestTable).put(waiting.request_id, waiting)
    vm.core.board.table(GatewayQueueTable).of(waiting.service).push(
        QueuedRequest(waiting, cost_tokens=1.0, weight=1.0, give_up_at_ms=waiting.ends_at_ms)
    )


def _reference(
    vm: GatewayCoreHarness, waiting: GatewayRequest, generator: random.Random
) -> str | None:
    """Return the upstream for a request, from estimates of all of them."""
    board, now_ms, policy = vm.core.board, vm.now_ms, vm.settings.policy
    engine = ENGINE if waiting.prompt else None
    peers = board.table(PeerTable)
    vm_count = len(peers) + 1
    live_share = (sum(peer.is_live(now_ms) for peer in peers.rows()) + 1) / vm_count
    is_old = vm_count > 16
    states = dict(board.table(UpstreamStateTable).items())
    reachable = [
        row
        for row in board.table(ViewTable).current().upstreams.values()
        if not states[row.name].is_unreachable
    ]
    works = [peers.work_at(row.name) for row in reachable]
    remaining_share = board.table(TurnoverTable).remaining_share(
        waiting.service, peers.interval_ms(vm.settings.limits.report_interval_ms) / 2
    )
    expected = expected_requests(
        [work.requests for work in works], [row.slots for row in reachable], remaining_share
    )
    mean_tokens = sum(work.pending_tokens for work in works) // max(1, len(works))
    rows: list[UpstreamSnapshot] = []
    capacities: list[float] = []
    urgent_capacities: list[float] = []
    for row, work, at_peers in zip(reachable, works, expected, strict=True):
        state = states[row.name]
        requests: float = round((state.requests + work.requests) / live_share)
        if is_old:
            requests = (state.requests + at_peers) / live_share
        capacity: float = 3 * row.slots - requests
        urgent = capacity
        if engine:
            capacity = math.ceil(row.slots - requests)
            urgent = math.ceil(row.slots + policy.ahead_requests - requests)
            if not is_old and state.requests < math.ceil(row.slots / vm_count):
                urgent += 1
        cache = board.table(PrefixCacheTable).of(row.run, ENGINE.memory_tokens) if engine else None
        speed = own_speed(state, is_engine=engine is not None, now_ms=now_ms)
        tokens = mean_tokens if is_old else work.pending_tokens
        rows.append(UpstreamSnapshot(row, state, cache, False, speed, row.slots, requests, tokens))
        capacities.append(capacity)
        urgent_capacities.append(urgent)
    snapshot = SimpleNamespace(engine=engine, own_zone="a", now_ms=now_ms, usual_slowdown=None)
    is_urgent = engine is not None and waiting.urgency_rank == 0
    usable_capacities = urgent_capacities if is_urgent else capacities
    with_capacity = {
        row.upstream.name
        for row, capacity in zip(rows, usable_capacities, strict=True)
        if capacity > 0
    }
    all_candidates = [
        estimate_candidate(waiting, row, snapshot, policy, {})  # type: ignore[arg-type]
        for row in rows
        if row.upstream.name not in waiting.tried_upstreams
    ]
    candidates = [row for row in all_candidates if row.upstream.name in with_capacity]
    by_name = {row.upstream.name: row for row in rows}
    pausing = {
        row.upstream.name
        for row, candidate in ((by_name[row.upstream.name], row) for row in all_candidates)
        if engine and row.requests > 0 and _pauses_too_long(row, candidate.pending_tokens, now_ms)
    }
    if not all(row.upstream.name in pausing for row in all_candidates):
        candidates = [row for row in candidates if row.upstream.name not in pausing]
    if not candidates or all(capacity <= 0 for capacity in urgent_capacities):
        return None
    if not is_old:
        least_ms = min(candidate.cost_ms for candidate in candidates) + 4.0
        cheapest = [candidate for candidate in candidates if candidate.cost_ms <= least_ms]
        return generator.choice(cheapest).upstream.name
    return _shared(vm, rows, candidates, generator)


def _pauses_too_long(row: UpstreamSnapshot, uncached_tokens: int, now_ms: int) -> bool:
    """Return whether a prefill exceeds the pause limit at the speeds of the default policy."""
    slowdown = max(
        row.speed.slowdown(row.requests, row.upstream.slots), row.state.expected_slowdown(now_ms)
    )
    queued_tokens = row.state.pending_tokens + row.peer_pending_tokens + uncached_tokens
    tokens = min(queued_tokens, ENGINE.tokens_per_event * 2_048.0)
    event_ms = ENGINE.tokens_per_event * 3.8 * slowdown
    return tokens / 100.0 * slowdown > 0.85 * (STREAM_ROUTE.pause_limit_ms - event_ms)


def _shared(
    vm: GatewayCoreHarness,
    rows: list[UpstreamSnapshot],
    candidates: list[Candidate],
    generator: random.Random,
) -> str | None:
    by_name = {row.upstream.name: row for row in rows}
    vm_names = ["vm-000", *(name for name, _ in vm.core.board.table(PeerTable).items())]
    owned = owned_slots([(row.upstream.name, row.slots) for row in rows], vm_names, "vm-000")
    slots = sum(row.slots for row in rows)
    if slots >= len(vm_names) and sum(row.requests for row in rows) > 0.4 * slots:
        own = [
            candidate
            for candidate in candidates
            if by_name[candidate.upstream.name].state.requests
            < owned.get(candidate.upstream.name, 0)
        ]
        free = sum(max(0.0, row.slots - row.requests) for row in rows)
        if not own and math.floor(free / len(vm_names) + generator.random()) <= 0:
            return None
        candidates = own or candidates
    drawn = [by_name[candidate.upstream.name] for candidate in candidates]
    shares = [row.state.expected_failure_share(vm.now_ms) for row in drawn]
    costs_ms = [
        candidate.cost_ms - 1_500.0 * share
        for candidate, share in zip(candidates, shares, strict=True)
    ]
    weights = [
        draw_weight(row.slots - row.requests, share, cost_ms - min(costs_ms))
        for row, share, cost_ms in zip(drawn, shares, costs_ms, strict=True)
    ]
    return generator.choices(candidates, weights)[0].upstream.name


@pytest.mark.parametrize("service", ["models", "desk"])
@pytest.mark.parametrize(("vm_count", "upstream_count"), [(4, 9), (31, 30), (73, 56)])
def test_the_choice_is_that_of_full_estimates(
    vm_count: int, upstream_count: int, service: str
) -> None:
    """Estimates that are left out could change which upstream is chosen."""
    chosen = 0
    for seed in range(60):
        generator = random.Random(seed)
        load = generator.choice((0.2, 0.8, 1.0, 1.3))
        vm = _site(vm_count, upstream_count, load, seed, service)
        route = STREAM_ROUTE if service == "models" else STATUS_ROUTE
        names = list(vm.core.board.table(ViewTable).current().upstreams)
        waiting = request(
            f"r-{seed}",
            route,
            urgency_rank=generator.randrange(2),
            tried_upstreams=tuple(generator.sample(names, generator.choice((0, 0, 1)))),
        )
        _enqueue(vm, waiting)
        draws = random.Random()
        draws.setstate(vm.core._random.getstate())
        expected = _reference(vm, waiting, draws)
        actions = vm.handle_event(PlacementRequested(service))
        sent = [action.upstream.name for action in of_type(actions, SendAttempt)]  # type: ignore[attr-defined]
        assert sent == ([] if expected is None else [expected]), f"seed {seed}"
        chosen += expected is not None
    assert chosen >= 20


@pytest.mark.parametrize("waiting_count", [1, 100])
@pytest.mark.parametrize(("vm_count", "upstream_count"), [(31, 30), (73, 56), (195, 112)])
def test_a_placement_estimates_few_upstreams(
    vm_count: int, upstream_count: int, waiting_count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """In an overload every upstream was estimated for each placement, and nothing placed."""
    estimates = 0

    def counted(*arguments: object) -> Candidate:
        nonlocal estimates
        estimates += 1
        return estimate_candidate(*arguments)  # type: ignore[arg-type]

    monkeypatch.setattr(_placement_choice, "estimate_candidate", counted)
    vm = _site(vm_count, upstream_count, 0.9, 1, slowest=1.5)
    # A slot of another VM, of which a few are used in a report interval, takes all estimates.
    vm.core.board.table(LoanTable).put("models", Loan(until_ms=2_000, slots=0))
    for number in range(waiting_count):
        _enqueue(vm, request(f"r-{number}", urgency_rank=number % 3))
    placed = len(of_type(vm.handle_event(PlacementRequested("models")), SendAttempt))
    assert placed >= 1
    own_upstreams = math.ceil(upstream_count * _SLOTS / vm_count)
    heads = min(waiting_count, 12)
    assert estimates <= (placed + 1) * (own_upstreams + 1) + heads
    estimates = 0
    for _ in range(10):
        vm.handle_event(PlacementRequested("models"), at_ms=vm.now_ms + 1)
    assert estimates <= 10 * own_upstreams


@pytest.mark.parametrize("seed", range(5))
def test_what_is_kept_of_peers_is_what_would_be_counted_anew(seed: int) -> None:
    """A VM that has gone silent would count as live, or its work would stay in the sums."""
    generator = random.Random(seed)
    peers = PeerTable()
    peers.own_name = "vm-own"
    peers.registered_vms = frozenset({"vm-own", "vm-1", "vm-registered"})
    now_ms = 0
    for sequence in range(2_000):
        now_ms += generator.choice((0, 10, 10, 50, 900))
        name = f"vm-{generator.randrange(12)}"
        if generator.random() < 0.05:
            peers.remove(name)
        elif not (generator.random() < 0.3 and name in ("vm-2", "vm-3")):
            work = {
                f"u-{generator.randrange(4)}": OutstandingWork(generator.randrange(3), sequence)
                for _ in range(3)
            }
            known = peers.get(name)
            previous = known.report if known is not None and known.is_live(now_ms) else None
            if previous is not None and generator.random() < 0.3:
                work = previous.work
            zone = "ab"[int(name[3:]) % 2]
            report = peer_report(name, sequence, work=work, availability_zone=zone)
            peers.put(name, Peer(report, now_ms, interval_ms=generator.choice((100, 400))))
            peers.add_work(previous, report)
        if generator.random() < 0.3:
            peers.recompute_work(now_ms)
            for upstream_name in ("u-0", "u-1", "u-2", "u-3"):
                rows = [peer.report.work.get(upstream_name) for peer in peers.live_peers(now_ms)]
                requests = sum(row.requests for row in rows if row)
                tokens = sum(row.pending_tokens for row in rows if row)
                assert peers.work_at(upstream_name) == OutstandingWork(requests, tokens)
        live = [peer for peer in peers.rows() if peer.is_live(now_ms)]
        assert peers.live_count(now_ms) == len(live)
        ages_ms = [now_ms - peer.received_at_ms for peer in live]
        assert peers.oldest_report_age_ms(now_ms) == max(ages_ms, default=-1)
        zones = {peer.report.availability_zone for peer in peers.rows()}
        live_zones = {peer.report.availability_zone for peer in live}
        assert peers.zones_without_live_vms(now_ms) == zones - live_zones
        names = {"vm-own", *(peer_name for peer_name, _ in peers.items())}
        names |= peers.registered_vms if now_ms < 10_000 else set()
        assert peers.vms(now_ms) == len(names)
        assert peers.vm_names_outside(frozenset(), now_ms) == names
