"""Answers of one version on one route, and the comparison of the two versions of a move.

A version may be bad on one route only, from some time on, or in a part of its answers. Its answers
are therefore counted by route and over several windows of time, so that good answers on other
routes, or from before, do not hide bad ones.
"""

import math
from dataclasses import dataclass
from typing import NamedTuple

#: Lengths of the windows in which answers are counted, besides all answers of the move. A window
#: covers its length at least, and less than twice its length. The long ones are for routes with few
#: requests, and the short ones for routes with many.
_WINDOW_LENGTHS_MS = (4_000, 8_000, 16_000, 32_000, 64_000, 128_000, 256_000)
#: Length from which a window shows slow answers while the old version gets no requests. A shorter
#: surge slows down any version that has all requests.
_MIN_ALONE_WINDOW_MS = 32_000
_SHORT_WINDOWS = sum(length_ms < _MIN_ALONE_WINDOW_MS for length_ms in _WINDOW_LENGTHS_MS)
_THOUSAND = 1_000
#: Number of upstreams whose names are kept.
_NAMED_UPSTREAMS = 2
#: Minimum log-likelihood ratio at which the new version is worse: for a version that is not, the
#: probability of reaching it in one comparison is about one in 1,000.
_REGRESSION_RATIO = math.log(1_000)
#: The same for a version that may be worse, so that its share must not grow.
_SUSPICION_RATIO = math.log(20)
#: Minimum number of failed and of slow answers of a version that is worse, and of either kind of a
#: version that may be worse.
_MIN_FAILURES = 3
_MIN_SLOW = 4
_MIN_SUSPICIOUS = 2
#: Shares of failed and of slow answers up to which no version is worse, whatever the old one's.
_TOLERATED_FAILURE_SHARE = 0.02
_TOLERATED_SLOW_SHARE = 0.05
#: The same for slow answers while the old version gets no requests, since more load slows down any
#: version.
_TOLERATED_SLOW_SHARE_ALONE = 0.5
#: Minimum difference between the shares of slow answers of both versions.
_MIN_SLOW_EXCESS = 0.15
#: Minimum number of answers of the old version in a window for their share to count by itself.
_MIN_WINDOW_ANSWERS = 8
#: Route of the counts of all answers of a version together.
ALL_ROUTES = ""


class RouteKey(NamedTuple):
    """A version of a service on one route, or on all of them (``ALL_ROUTES``)."""

    service: str
    version: str
    route: str


@dataclass(frozen=True)
class RouteCount:
    """Number of answers in one window.

    >>> RouteCount.of_answer(failed=True, is_slow=None, new_share=0.2)
    RouteCount(answers=1, failures=1, timed=0, slow=0, expected_failures=250, expected_slow=0)
    """

    answers: int = 0
    failures: int = 0
    #: Answers whose time was compared with the usual one.
    timed: int = 0
    #: Those of them that took several times as long.
    slow: int = 0
    #: For the old version, how many failed and slow answers the new version would have if it were
    #: equally good, in thousandths: each bad answer counts by the ratio of the versions' shares of
    #: the requests when it was asked for.
    expected_failures: int = 0
    expected_slow: int = 0

    @classmethod
    def of_answer(cls, *, failed: bool, is_slow: bool | None, new_share: float) -> "RouteCount":
        """Return the count of one answer.

        ``is_slow`` is None if its time was not compared; ``new_share`` is the share of the requests
        that went to the new version when it was sent, and 1 for an answer of that version.
        """
        expected = int(_THOUSAND * new_share / (1 - new_share)) if new_share < 1 else 0
        return cls(
            answers=1,
            failures=int(failed),
            timed=int(is_slow is not None),
            slow=int(bool(is_slow)),
            expected_failures=expected if failed else 0,
            expected_slow=expected if is_slow else 0,
        )

    @property
    def bad(self) -> int:
        """Return the number of failed and of slow answers."""
        return self.failures + self.slow

    def plus(self, other: "RouteCount") -> "RouteCount":
        """Return the counts of both together."""
        return RouteCount(
            self.answers + other.answers,
            self.failures + other.failures,
            self.timed + other.timed,
            self.slow + other.slow,
            self.expected_failures + other.expected_failures,
            self.expected_slow + other.expected_slow,
        )


_NO_ANSWERS = RouteCount()


@dataclass(frozen=True)
class RouteEvidence:
    """Answers of one version on one route, as counted by one VM or by several together."""

    #: Answers in each window, the shortest first, and all since the move was ordered.
    windows: tuple[RouteCount, ...] = (_NO_ANSWERS,) * (len(_WINDOW_LENGTHS_MS) + 1)
    #: Names of upstreams that answered, and of those with bad answers; two at the most.
    upstreams: frozenset[str] = frozenset()
    bad_upstreams: frozenset[str] = frozenset()

    @property
    def total(self) -> RouteCount:
        """Return all answers since the move was ordered."""
        return self.windows[-1]

    def plus(self, other: "RouteEvidence") -> "RouteEvidence":
        """Return the evidence of both together."""
        pairs = zip(self.windows, other.windows, strict=True)
        return RouteEvidence(
            tuple(own.plus(others) for own, others in pairs),
            _first_names(self.upstreams | other.upstreams),
            _first_names(self.bad_upstreams | other.bad_upstreams),
        )


class RouteCounter:
    """Counts the answers of one version on one route at this VM.

    The windows end with the last answer, or the last call of :meth:`advance`, so that those of a
    version without requests show what it was like before.

    >>> counter = RouteCounter()
    >>> counter.add(RouteCount(answers=1), "u1", now_ms=0)
    >>> counter.add(RouteCount(answers=1, failures=1), "u2", now_ms=9_000)
    >>> [window.answers for window in counter.evidence().windows]
    [1, 1, 2, 2, 2, 2, 2, 2]
    """

    def __init__(self) -> None:
        self._windows = [_Window(length_ms) for length_ms in _WINDOW_LENGTHS_MS]
        self._total = _NO_ANSWERS
        self._upstreams: frozenset[str] = frozenset()
        self._bad_upstreams: frozenset[str] = frozenset()

    @property
    def bad(self) -> int:
        """Return the number of failed and of slow answers."""
        return self._total.bad

    def add(self, count: RouteCount, upstream: str, *, now_ms: int) -> None:
        """Add answers of an upstream."""
        for window in self._windows:
            window.add(count, now_ms)
        self._total = self._total.plus(count)
        self._upstreams = _first_names(self._upstreams | {upstream})
        if count.bad:
            self._bad_upstreams = _first_names(self._bad_upstreams | {upstream})

    def advance(self, now_ms: int) -> None:
        """End the windows now."""
        for window in self._windows:
            window.advance(now_ms)

    def evidence(self) -> RouteEvidence:
        """Return what has been counted."""
        recent = tuple(window.count for window in self._windows)
        return RouteEvidence((*recent, self._total), self._upstreams, self._bad_upstreams)


class _Window:
    """Answers in the current period and the one before, which are equally long."""

    def __init__(self, length_ms: int) -> None:
        self._length_ms = length_ms
        self._period = 0
        self._current = _NO_ANSWERS
        self._previous = _NO_ANSWERS

    @property
    def count(self) -> RouteCount:
        return self._current.plus(self._previous)

    def add(self, count: RouteCount, now_ms: int) -> None:
        self.advance(now_ms)
        self._current = self._current.plus(count)

    def advance(self, now_ms: int) -> None:
        period = now_ms // self._length_ms
        if period != self._period:
            self._previous = self._current if period == self._period + 1 else _NO_ANSWERS
            self._current = _NO_ANSWERS
            self._period = period


@dataclass(frozen=True)
class Comparison:
    """How much worse the new version of a move is than the old one, by the answers so far."""

    #: In what the new version is measurably worse; empty if in nothing.
    regression: str = ""
    #: Whether it may be worse, so that its share of the requests must not grow.
    is_suspected: bool = False


def compare_on_route(
    new: RouteEvidence, old: RouteEvidence, *, is_side_by_side: bool
) -> Comparison:
    """Compare two versions on a route.

    If several of its upstreams answer, bad answers of a single one are that upstream's fault.
    ``is_side_by_side`` says whether the old version still gets requests.
    """
    if len(new.bad_upstreams) < len(new.upstreams):
        return Comparison()
    failure_share = _expected_failure_share(old)
    slow_share = _expected_slow_share(old, is_side_by_side=is_side_by_side)
    is_suspected = False
    for index, (count, old_count) in enumerate(zip(new.windows, old.windows, strict=True)):
        expected = max(failure_share, _concurrent(old_count.expected_failures, count.answers))
        failure_ratio = log_likelihood_ratio(count.failures, count.answers, expected)
        if failure_ratio >= _REGRESSION_RATIO and count.failures >= _MIN_FAILURES:
            return Comparison(_describe("failed", count.failures, count.answers, old))
        is_suspected |= failure_ratio >= _SUSPICION_RATIO and count.failures >= _MIN_SUSPICIOUS
        if not is_side_by_side and index < _SHORT_WINDOWS:
            continue
        expected = max(slow_share, _concurrent(old_count.expected_slow, count.timed))
        if count.slow < (expected + _MIN_SLOW_EXCESS) * count.timed:
            continue
        slow_ratio = log_likelihood_ratio(count.slow, count.timed, expected)
        if slow_ratio >= _REGRESSION_RATIO and count.slow >= _MIN_SLOW:
            return Comparison(_describe("were slow", count.slow, count.timed, old))
        is_suspected |= slow_ratio >= _SUSPICION_RATIO and count.slow >= _MIN_SUSPICIOUS
    return Comparison(is_suspected=is_suspected)


def _concurrent(expected_thousandths: int, answers: int) -> float:
    """Return the share of bad answers that equals that of the old version at the same times."""
    return min(1.0, expected_thousandths / _THOUSAND / answers) if answers else 0.0


def _expected_failure_share(old: RouteEvidence) -> float:
    """Return the share of failures up to which a version is not worse than the old one was."""
    shares = [_TOLERATED_FAILURE_SHARE, _expected_share(old.total.failures, old.total.answers)]
    for count in old.windows:
        if count.answers >= _MIN_WINDOW_ANSWERS:
            shares.append(count.failures / count.answers)
    return max(shares)


def _expected_slow_share(old: RouteEvidence, *, is_side_by_side: bool) -> float:
    """Return the share of slow answers up to which a version is not worse than the old one was."""
    tolerated = _TOLERATED_SLOW_SHARE if is_side_by_side else _TOLERATED_SLOW_SHARE_ALONE
    shares = [tolerated, _expected_share(old.total.slow, old.total.timed)]
    for count in old.windows:
        if count.timed >= _MIN_WINDOW_ANSWERS:
            shares.append(count.slow / count.timed)
    return max(shares)


def _describe(what: str, bad: int, answers: int, old: RouteEvidence) -> str:
    total = old.total
    return (
        f"{bad} of {answers} answers {what}; of {total.answers} of the old version "
        f"{total.failures} failed and {total.slow} were slow"
    )


def log_likelihood_ratio(count: int, total: int, share: float) -> float:
    """Return the logarithm of how much likelier a count is with its own share than with another.

    It is 0 if the count's own share is not larger.

    >>> round(log_likelihood_ratio(3, 3, 0.02), 1), log_likelihood_ratio(1, 100, 0.02)
    (11.7, 0.0)
    """
    own_share = count / max(1, total)
    if own_share <= share:
        return 0.0
    ratio = count * math.log(own_share / share)
    if count < total:
        ratio += (total - count) * math.log((1 - own_share) / (1 - share))
    return ratio


def _expected_share(count: int, total: int) -> float:
    """Return the share that is expected of further answers (Laplace's rule of succession)."""
    return (count + 1) / (total + 2)


def _first_names(names: frozenset[str]) -> frozenset[str]:
    if len(names) <= _NAMED_UPSTREAMS:
        return names
    return frozenset(sorted(names)[:_NAMED_UPSTREAMS])
