"""Invariants of the decisions under arbitrary sequences of events."""

from collections import Counter
from dataclasses import dataclass, field

from hypothesis import given
from hypothesis import strategies as st

from azureturn.core import (
    CallerDisconnected,
    CancelAtUpstream,
    Core,
    Dispatch,
    ForwardToPeer,
    LoadReport,
    LoadReported,
    OfferToPeers,
    PeerOfferDecided,
    PeerQueueReported,
    PeerWorkReported,
    QueueTable,
    RequestAnswered,
    RequestArrived,
    RequestFailed,
    UpstreamTable,
)
from azureturn.core.tests.decision_helpers import MODEL, make_request, make_settings, started_core
from azureturn.errors import ErrorKind, RunState
from azureturn.framework import Action, AwaitPlacement, Event, Refuse, Tick

QUEUE_LIMIT = 4
_CAPACITY_REFUSALS = {ErrorKind.SHED, ErrorKind.OVERLOADED, ErrorKind.DEADLINE_UNREACHABLE}
_BEYOND_ALL_DEADLINES_MS = 60_000

STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["arrive"] * 6 + ["tick", "answer", "fail", "leave", "report", "peer", "decide"]
        ),
        st.integers(0, 2),
        st.integers(0, 40),
    ),
    max_size=60,
)


@dataclass
class _InvariantChecker:
    """Passes events to a core and records its actions."""

    core: Core
    now_ms: int = 0
    #: Tier rank of each request that arrived, by request id.
    ranks: dict[str, int] = field(default_factory=dict)
    #: How often the core decided the end of each request: dispatched, refused or forwarded.
    decisions: Counter[str] = field(default_factory=Counter)
    #: Ids of the requests at an upstream.
    running: list[str] = field(default_factory=list)
    #: Ids of the requests offered to peers.
    offered: list[str] = field(default_factory=list)

    def handle(self, event: Event) -> None:
        for action in self.core.handle(event, self.now_ms):
            self._record(action)

    def _record(self, action: Action) -> None:
        if isinstance(action, Dispatch):
            self.running.append(action.request_id)
        if isinstance(action, CancelAtUpstream):
            self.running.remove(action.request_id)
        if isinstance(action, OfferToPeers):
            self.offered.append(action.request_id)
        if isinstance(action, AwaitPlacement):
            # The previous dispatch sent nothing, and the request is queued again.
            self.decisions[action.request_id] -= 1
            assert self.decisions[action.request_id] == 0
        if isinstance(action, (Dispatch, Refuse, ForwardToPeer)):
            self.decisions[action.request_id] += 1
        if isinstance(action, Refuse) and action.kind in _CAPACITY_REFUSALS:
            queue = self.core.board.table(QueueTable).of(MODEL)
            assert not queue.has_below(self.ranks[action.request_id])
            assert action.retry_after_ms > 0

    def step(self, name: str, rank: int, number: int) -> None:
        self.now_ms += number
        if name == "arrive":
            request_id = f"r{len(self.ranks)}"
            self.ranks[request_id] = rank
            organisation = "large" if number % 2 else "small"
            request = make_request(
                request_id,
                rank=rank,
                organisation=organisation,
                now_ms=self.now_ms,
                timeout_ms=200 + 100 * number,
                prefix_digests=(f"p{number % 3}",),
            )
            self.handle(RequestArrived(request))
        elif name in ("answer", "fail", "leave"):
            self._end_request(name, number)
        elif name == "tick":
            self.handle(Tick())
        else:
            self._receive_report(name, rank, number)

    def _end_request(self, name: str, number: int) -> None:
        if name == "leave":
            if self.ranks:
                self.handle(CallerDisconnected(f"r{number % len(self.ranks)}"))
            return
        if not self.running:
            return
        request_id = self.running.pop(number % len(self.running))
        if name == "answer":
            self.handle(RequestAnswered(request_id, 100, 0, 1 + number))
        else:
            kind = ErrorKind.UPSTREAM_UNREACHABLE
            self.handle(RequestFailed(request_id, kind, RunState.NOT_RUN))

    def _receive_report(self, name: str, rank: int, number: int) -> None:
        if name == "report":
            report = LoadReport(max(0, self.now_ms - 100), number % 4, rank, 0)
            self.handle(LoadReported(f"engine-{rank % 2}", report))
        elif name == "peer":
            work = PeerWorkReported("vm-2", f"engine-{rank % 2}", self.now_ms, number % 3, 10)
            self.handle(work)
            self.handle(PeerQueueReported("vm-2", MODEL, self.now_ms, (0, 0, number)))
        elif name == "decide" and self.offered:
            accepting_vm = "vm-2" if number % 2 else ""
            self.handle(PeerOfferDecided(self.offered.pop(), accepting_vm))

    def check(self) -> None:
        rows = list(self.core.board.table(UpstreamTable).rows())
        assert sum(row.outstanding_requests for row in rows) == len(self.running)
        if not self.running:
            assert sum(row.outstanding_tokens for row in rows) == 0
        assert len(self.core.board.table(QueueTable).of(MODEL)) <= QUEUE_LIMIT


@given(STEPS)
def test_tier_order_limits_and_one_decision_for_each_request(
    steps: list[tuple[str, int, int]],
) -> None:
    checker = _InvariantChecker(started_core(make_settings(queue_limit=QUEUE_LIMIT)))
    for name, rank, number in steps:
        checker.step(name, rank, number)
        checker.check()
    checker.now_ms += _BEYOND_ALL_DEADLINES_MS
    checker.handle(Tick())
    assert checker.decisions == Counter(dict.fromkeys(checker.ranks, 1))
