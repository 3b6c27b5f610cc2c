"""Answers of the versions of a move, counted by route at this VM."""

from collections.abc import Iterator
from dataclasses import dataclass

from azureturn.gateway.decisions._route_evidence import (
    ALL_ROUTES,
    RouteCount,
    RouteCounter,
    RouteEvidence,
    RouteKey,
)
from azureturn.gateway.decisions._usual_times import AnswerTime
from azureturn.gateway.decisions._version_choice import VersionChoice
from azureturn.gateway.site import UpstreamRun

#: Minimum number of answers from which the requests of a service by route are known.
_MIN_ANSWERS = 50
#: Answers that an upstream breaks off within this time of each other count as one failure.
_BREAK_INTERVAL_MS = 1_000
#: Maximum number of runs of upstreams of which a broken answer is kept.
_MAX_BROKEN_RUNS = 1_024


@dataclass(frozen=True)
class EndedAnswer:
    """One answer of an upstream, or an attempt at one."""

    service: str
    version: str
    route: str
    upstream_run: UpstreamRun
    #: Whether the upstream reported a failure, or did not answer completely.
    failed: bool
    #: Whether a complete answer was received.
    is_complete: bool
    #: Time to the first event of a stream, or to a plain answer.
    took_ms: int
    #: None if the time shows nothing about the upstream's version.
    time: AnswerTime | None = None
    #: How the upstream's version was chosen.
    choice: VersionChoice = VersionChoice()


class RouteAnswers:
    """Counters by route for the moves in progress."""

    def __init__(self) -> None:
        self._counters: dict[RouteKey, RouteCounter] = {}
        #: Number of answers by service, and by service and route.
        self._totals: dict[str, int] = {}
        self._totals_by_route: dict[str, dict[str, int]] = {}
        #: The last answer that a run of an upstream broke off, and when, until it is known that
        #: the run has not ended with it.
        self._broken_answers: dict[UpstreamRun, tuple[EndedAnswer, int]] = {}

    def forget(self, service: str) -> None:
        """Remove what has been counted for a service."""
        self._totals.pop(service, None)
        self._totals_by_route.pop(service, None)
        self._broken_answers = {
            run: row for run, row in self._broken_answers.items() if row[0].service != service
        }
        for key in [key for key in self._counters if key.service == service]:
            del self._counters[key]

    def add(
        self, answer: EndedAnswer, *, is_slow: bool | None, new_version: str, now_ms: int
    ) -> None:
        """Count an answer during a move to ``new_version``.

        One that was broken off is counted only once its upstream goes on answering.

        The end of an upstream's process breaks off all its answers, which says nothing about its
        version. An upstream that breaks off answers for longer has not ended.
        """
        run = answer.upstream_run
        broken = self._broken_answers.get(run)
        is_recent = broken is not None and now_ms - broken[1] < _BREAK_INTERVAL_MS
        if broken is not None and (answer.is_complete or not is_recent):
            del self._broken_answers[run]
            self._count(broken[0], None, new_version, now_ms)
        if answer.is_complete:
            self._count(answer, is_slow, new_version, now_ms)
        elif not is_recent and len(self._broken_answers) < _MAX_BROKEN_RUNS:
            self._broken_answers[run] = (answer, now_ms)

    def even_part(self, service: str, route: str) -> float:
        """Return by how much a route's requests have to count so that all routes count the same.

        It is 1 while the requests by route are not known.
        """
        total = self._totals.get(service, 0)
        if total < _MIN_ANSWERS:
            return 1.0
        by_route = self._totals_by_route[service]
        return total / ((by_route.get(route, 0) + 1) * len(by_route))

    def bad_answers(self) -> Iterator[tuple[RouteKey, int]]:
        """Yield the number of failed and of slow answers of each version on each route."""
        for key, counter in self._counters.items():
            yield key, counter.bad

    def evidence(self, routes: set[tuple[str, str]]) -> dict[RouteKey, RouteEvidence]:
        """Return what has been counted on some routes, given by service and name."""
        return {
            key: counter.evidence()
            for key, counter in self._counters.items()
            if (key.service, key.route) in routes
        }

    def _count(
        self, answer: EndedAnswer, is_slow: bool | None, new_version: str, now_ms: int
    ) -> None:
        count = RouteCount.of_answer(
            failed=answer.failed, is_slow=is_slow, new_share=answer.choice.new_share
        )
        self._totals[answer.service] = self._totals.get(answer.service, 0) + 1
        by_route = self._totals_by_route.setdefault(answer.service, {})
        by_route[answer.route] = by_route.get(answer.route, 0) + 1
        routes = (answer.route,) if answer.choice.is_extra else (answer.route, ALL_ROUTES)
        for route in routes:
            key = RouteKey(answer.service, answer.version, route)
            counter = self._counters.setdefault(key, RouteCounter())
            counter.add(count, answer.upstream_run[0], now_ms=now_ms)
            new_counter = self._counters.get(RouteKey(answer.service, new_version, route))
            if new_counter is not None:
                # The windows of both versions must cover the same times.
                new_counter.advance(now_ms)
