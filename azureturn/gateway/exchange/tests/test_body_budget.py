"""The budget for bodies: who gets room, and who loses it."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from azureturn.gateway.exchange._body_budget import (
    FREE_BYTES,
    LEAST_PACE_BYTES_PER_S,
    BodyBudget,
    BodyReservation,
)

_LIMIT_BYTES = 1_000_000
_BODY_BYTES = 400_000 + FREE_BYTES
_WAIT_S = 10.0


class _Site:
    """A budget with a clock that only the test moves, and the connections that lost their room."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.reclaimed: list[str] = []
        self.budget = BodyBudget(_LIMIT_BYTES, 900_000, now_s=lambda: self.now_s)

    def holder(self, name: str, *, rank: int = 1, is_moving: bool = True) -> BodyReservation:
        """Return a reservation with room for a body."""
        reservation = BodyReservation(self.budget, rank=rank, is_for_request=True)
        assert reservation.resize(_BODY_BYTES)
        reservation.allow_reclaim(lambda _: self.reclaimed.append(name), is_moving=is_moving)
        return reservation

    def has_room(self, rank: int = 1) -> bool:
        """Return whether a request gets room without waiting."""
        reservation = BodyReservation(self.budget, rank=rank, is_for_request=True)
        return reservation.resize_or_wait(_BODY_BYTES, wait_s=0.0)


@pytest.mark.parametrize(
    ("memory_mb", "limit_bytes"),
    [(None, 32 << 20), (160, 32_000_000), (200, 52_000_000), (552, 228_000_000), (100, 24 << 20)],
)
def test_the_limit_follows_from_the_memory(memory_mb: float | None, limit_bytes: int) -> None:
    assert BodyBudget.for_memory(memory_mb).limit_bytes == limit_bytes


def test_bodies_of_requests_are_not_limited_if_the_memory_is_unknown() -> None:
    reservation = BodyReservation(BodyBudget.for_memory(None), is_for_request=True)
    assert reservation.resize(1 << 40)


def test_bodies_of_requests_leave_room_for_responses() -> None:
    # Guards against requests that run in vain, since their responses find no room.
    site = _Site()
    site.holder("first")
    site.holder("second")
    assert not site.has_room()
    assert BodyReservation(site.budget).resize(150_000)


def test_the_connection_that_makes_least_progress_loses_its_room() -> None:
    # Guards against callers that stop just short of the end of a body and keep its room.
    site = _Site()
    stalled, steady = site.holder("stalled"), site.holder("steady")
    stalled.record_progress(LEAST_PACE_BYTES_PER_S // 2)
    steady.record_progress(2 * LEAST_PACE_BYTES_PER_S)
    assert not site.has_room()
    site.now_s = 1.0
    assert site.has_room()
    assert site.reclaimed == ["stalled"]
    assert not site.has_room()


def test_a_body_that_waits_to_be_sent_is_not_taken_for_a_slow_one() -> None:
    site = _Site()
    site.holder("first", is_moving=False)
    site.holder("second", is_moving=False)
    site.now_s = 5.0
    assert not site.has_room(rank=1)
    assert not site.has_room(rank=2)


@pytest.mark.parametrize("is_moving", [True, False])
def test_an_urgent_request_does_not_wait_for_room_of_deferrable_ones(is_moving: bool) -> None:
    site = _Site()
    site.holder("deferrable", rank=3, is_moving=is_moving)
    site.holder("urgent", rank=1, is_moving=is_moving)
    assert site.has_room(rank=1)
    assert site.reclaimed == ["deferrable"]


def test_the_most_urgent_of_those_that_wait_comes_first() -> None:
    budget = BodyBudget(_LIMIT_BYTES, _LIMIT_BYTES)
    assert budget.reserve(_LIMIT_BYTES, for_request=True)
    deferrable, urgent = (BodyReservation(budget, rank=r, is_for_request=True) for r in (3, 1))
    with ThreadPoolExecutor() as pool:
        late = pool.submit(deferrable.resize_or_wait, _LIMIT_BYTES, wait_s=_WAIT_S)
        first = pool.submit(urgent.resize_or_wait, _LIMIT_BYTES, wait_s=_WAIT_S)
        while len(budget._waiting) < 2:
            time.sleep(0.001)
        budget.release(_LIMIT_BYTES, for_request=True)
        assert first.result()
        assert not deferrable.counted_bytes
        urgent.release()
        assert late.result()
