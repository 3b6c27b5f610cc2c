"""Version moves: the traffic share of a new version, and the answers counted for it.

A move is the gradual shift of a service's requests to the upstreams of another version, which an
operator orders. It completes after a given time, or is rolled back if the new version is worse.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from azureturn.framework import Table
from azureturn.framework import changed_row as changed
from azureturn.gateway.decisions._route_answers import EndedAnswer, RouteAnswers
from azureturn.gateway.decisions._route_evidence import RouteEvidence, RouteKey
from azureturn.gateway.decisions._usual_times import UsualTimes
from azureturn.gateway.decisions._version_choice import VersionChoice
from azureturn.gateway.decisions._version_counts import StreamPace, VersionCount
from azureturn.gateway.site import MoveOrder, era_of

#: Shares of the requests that go to the new version, and the fractions of the move's duration at
#: which they begin. The first share is relative to the configured maximum for a version that has
#: not been judged good yet.
_CANARY_SHARE = 0.6
_RAMP_AT = 0.55
_RAMP_SHARE = 0.25
_FULL_AT = 0.75
#: Fraction of the duration at which a move is reported complete, so that the old version has
#: drained by its end.
_COMPLETE_AT = 0.88
#: Part of the first share that is spread evenly over the routes. Otherwise routes with few requests
#: would show too late that the version is bad on them.
_EVEN_PART = 0.4
#: Requests to the old version per request to the new one whose mean times are compared. The ratio
#: is the same as long as both get requests, so that load which slows down both versions does not
#: make the new one look worse. It is the largest that ``_RAMP_SHARE`` leaves room for.
_CONTROL_RATIO = 3.0
#: Maximum number of routes on which answers are reported to peers.
_MAX_REPORTED_ROUTES = 12
#: The same as ``_COMPLETE_AT`` for a version that may be worse, to gather more answers.
_SUSPECTED_COMPLETE_AT = 0.95


@dataclass(frozen=True)
class Move:
    """The progress on this VM of the move that an operator's order demands."""

    service: str
    version: str
    duration_ms: int
    #: Revision of the order in the store.
    order_revision: int
    #: Start of the move by this VM's clock.
    began_at_ms: int
    #: Why this VM or a peer judged the new version to be worse than the old one; empty if none did.
    #: The version then gets no more requests; never reset.
    condemned_reason: str = ""
    #: Whether the new version may be worse than the old one; it then does not get all requests.
    is_suspected: bool = False
    #: Whether its status in the store is complete or rolled back.
    ended: bool = False
    #: Whether its status in the store is complete.
    completed: bool = False
    #: Whether the order may be written once more, since the store has come back from a copy.
    awaits_same_order: bool = False
    #: Last time at which this VM requested a write of the status; 0 before the first.
    write_requested_at_ms: int = 0

    @property
    def condemned(self) -> bool:
        """Return whether this VM or a peer judged the new version to be worse."""
        return bool(self.condemned_reason)

    def share(self, now_ms: int, exposure_share: float) -> float:
        """Return the share of requests that currently go to the new version."""
        if self.completed:
            return 1.0
        if self.condemned or self.ended:
            return 0.0
        fraction = self.elapsed_fraction(now_ms)
        if fraction >= _FULL_AT and not self.is_suspected:
            return 1.0
        return _RAMP_SHARE if fraction >= _RAMP_AT else _CANARY_SHARE * exposure_share

    def is_due(self, now_ms: int) -> bool:
        """Return whether the move is to be reported complete if the new version is not worse."""
        complete_at = _SUSPECTED_COMPLETE_AT if self.is_suspected else _COMPLETE_AT
        return self.elapsed_fraction(now_ms) >= complete_at

    def is_canary(self, now_ms: int) -> bool:
        """Return whether the new version gets its first, small share."""
        is_open = not (self.condemned or self.ended)
        return is_open and self.elapsed_fraction(now_ms) < _RAMP_AT

    def elapsed_fraction(self, now_ms: int) -> float:
        """Return the fraction of the move's duration that has elapsed."""
        return (now_ms - self.began_at_ms) / max(1, self.duration_ms)

    def with_elapsed(self, elapsed_ms: int, now_ms: int) -> "Move":
        """Return a copy that started at least ``elapsed_ms`` ago."""
        return changed(self, began_at_ms=min(self.began_at_ms, now_ms - elapsed_ms))

    def with_condemned(self, reason: str) -> "Move":
        """Return a copy whose new version receives no more requests, for the first reason given."""
        return changed(self, condemned_reason=self.condemned_reason or reason)

    def with_suspected(self, is_suspected: bool) -> "Move":
        """Return a copy whose new version may be worse, or not."""
        if is_suspected is self.is_suspected:
            return self
        return changed(self, is_suspected=is_suspected)

    def is_ordered_by(self, order: MoveOrder, revision: int) -> bool:
        """Return whether an order at ``revision`` is the one that demands this move.

        After the store has come back from a copy, operators write the same order once more, also
        if the copy has it.
        """
        if self.order_revision == revision:
            return True
        is_same = (order.version, order.duration_ms) == (self.version, self.duration_ms)
        return is_same and (self.awaits_same_order or self._is_of_earlier_era_than(revision))

    def is_of_order(self, revision: int) -> bool:
        """Return whether a peer's move by an order at ``revision`` may be this one.

        A peer of an earlier build gives 0. Revisions of different eras cannot be compared.
        """
        is_comparable = revision and era_of(revision) == era_of(self.order_revision)
        return not is_comparable or revision == self.order_revision

    def with_order_revision(self, revision: int) -> "Move":
        """Return a copy whose order is at this revision, which may be of a later era."""
        if revision == self.order_revision:
            return self
        awaits_same_order = self._is_of_earlier_era_than(revision)
        return changed(self, order_revision=revision, awaits_same_order=awaits_same_order)

    def _is_of_earlier_era_than(self, revision: int) -> bool:
        return era_of(self.order_revision) < era_of(revision)

    def with_end(self, *, completed: bool) -> "Move":
        """Return a copy that has ended according to the store."""
        return changed(self, ended=True, completed=completed)

    def with_write_requested(self, now_ms: int) -> "Move":
        """Return a copy for which this VM has requested a status write."""
        return changed(self, write_requested_at_ms=now_ms)


class MoveTable(Table[str, Move]):
    """Moves keyed by service, and the answers of each version that this VM has counted."""

    def __init__(self) -> None:
        super().__init__()
        #: Compared answers during the moves in progress, keyed by service and version.
        self.version_counts: dict[tuple[str, str], VersionCount] = {}
        self._usual_times = UsualTimes()
        #: Answers during the moves in progress.
        self._route_answers = RouteAnswers()

    def begin(self, move: Move) -> None:
        """Add a move that has just been ordered."""
        self.put(move.service, move)
        self._route_answers.forget(move.service)
        self.version_counts = {
            key: count for key, count in self.version_counts.items() if key[0] != move.service
        }

    def choose_version(
        self, move: Move, route: str, drawn: float, *, now_ms: int, exposure_share: float
    ) -> tuple[bool, VersionChoice]:
        """Return whether a request goes to the new version, and how that was chosen.

        ``drawn`` is the number from 0 to 1 that was drawn for the attempt.

        While the new version gets its first share, routes with few requests send a larger part of
        them to it. Over all routes the share is that of the move at the most.
        """
        share = move.share(now_ms, exposure_share)
        extra_share = 0.0
        if move.is_canary(now_ms):
            even_part = self._route_answers.even_part(move.service, route)
            extra_share = min(_RAMP_SHARE, _EVEN_PART * share * even_part)
            share *= 1 - _EVEN_PART
        new_share = share + extra_share
        is_new = drawn < new_share
        is_extra = is_new and drawn >= share
        is_control = not is_new and drawn < new_share + _CONTROL_RATIO * share
        is_compared = is_control or (is_new and not is_extra)
        return is_new, VersionChoice(new_share, is_extra, is_compared)

    def record_answer(self, answer: EndedAnswer, *, now_ms: int) -> None:
        """Add one answer to the counts of its version."""
        if answer.choice.is_compared:
            count = VersionCount(1, 1 if answer.failed else 0, answer.took_ms)
            self._add(answer.service, answer.version, count)
        move = self.get(answer.service)
        is_new = False
        if move is not None and not move.ended:
            is_new = answer.version == move.version
            is_slow = self._usual_times.is_slow(answer.service, answer.route, answer.time)
            self._route_answers.add(
                answer, is_slow=is_slow, new_version=move.version, now_ms=now_ms
            )
        if answer.time is not None and not is_new:
            self._usual_times.record(answer.service, answer.route, answer.time)

    def record_stream(
        self, service: str, version: str, *, event_count: int, streamed_ms: int
    ) -> None:
        """Add the pace of one stream to the counts of a version."""
        pace = StreamPace(1, event_count - 1, streamed_ms)
        self._add(service, version, VersionCount(pace=pace))

    def reported_evidence(
        self, peers: Iterable[Mapping[RouteKey, RouteEvidence]]
    ) -> dict[RouteKey, RouteEvidence]:
        """Return this VM's evidence on the routes with the most bad answers of a new version.

        Bad answers that ``peers`` have reported count, too, since only all VMs' answers together
        show how often the old version fails on a route.
        """
        bad_answers: dict[tuple[str, str], int] = {}
        for key, bad in self._bad_answers(peers):
            move = self.get(key.service)
            if bad and move is not None and key.version == move.version and not move.ended:
                route = (key.service, key.route)
                bad_answers[route] = bad_answers.get(route, 0) + bad
        if not bad_answers:
            return {}
        worst_first = sorted(bad_answers, key=lambda route: (-bad_answers[route], route))
        return self._route_answers.evidence(set(worst_first[:_MAX_REPORTED_ROUTES]))

    def _bad_answers(
        self, peers: Iterable[Mapping[RouteKey, RouteEvidence]]
    ) -> Iterator[tuple[RouteKey, int]]:
        yield from self._route_answers.bad_answers()
        for evidence in peers:
            for key, row in evidence.items():
                yield key, row.total.bad

    def _add(self, service: str, version: str, count: VersionCount) -> None:
        previous = self.version_counts.get((service, version), VersionCount())
        self.version_counts[(service, version)] = previous.plus(count)
