"""Encodes evidence as gossip rows, which have a short text key and integer values.

A row holds the counts of both versions on one route in one epoch, so that a VM never receives the
counts of one version without those of the other. Keys are short digests, because all rows share
the byte budget of a VM. The keys are reused after ``OPEN_EPOCHS + 1`` epochs, so that the number
of rows is bounded.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator

import xxhash

from azureturn.core.membership import GossipRow
from azureturn.core.moves._evidence import (
    OPEN_EPOCHS,
    Counts,
    Defect,
    EvidenceKey,
    EvidenceRow,
    EvidenceSource,
)
from azureturn.core.moves._types import MoveRecord

#: A row starts with the move number and the epoch. Each stage follows as: stage, requests of the
#: old version, requests of the new version, requests of the new version under load, a bit mask of
#: the defect counts that are not 0, and those counts.
_HEADER_NUMBERS = 2
_STAGE_NUMBERS = 5
_DEFECT_KINDS = 2 * len(Defect)
_NUMBER_LIMIT = 1 << 48
_DIGEST_CHARACTERS = 6
#: Number of leading digits of the move id that form the move number.
_MOVE_ID_DIGITS = 6


def move_number(move_id: str) -> int:
    """Return the number that stands for a move id in gossip rows.

    It identifies a move among the moves of a model.
    """
    return int(move_id[:_MOVE_ID_DIGITS], 16)


def route_digest(model: str, route: str) -> str:
    """Return the digest that identifies a route of a model in row keys."""
    return xxhash.xxh3_64_hexdigest(f"{model}\0{route}".encode())[:_DIGEST_CHARACTERS]


def evidence_to_rows(
    record: MoveRecord, rows: Iterable[tuple[EvidenceKey, Counts]]
) -> Iterator[tuple[str, tuple[int, ...]]]:
    """Yield the keys and numbers of the gossip rows that encode ``rows``."""
    stages: dict[tuple[str, int], dict[int, list[Counts]]] = defaultdict(dict)
    for key, counts in rows:
        counts_by_version = stages[(key.route, key.epoch)].setdefault(
            key.stage, [Counts(), Counts()]
        )
        counts_by_version[key.is_new] = counts
    for (route, epoch), by_stage in stages.items():
        numbers = [move_number(record.move_id), epoch]
        for stage, (old, new) in by_stage.items():
            numbers += _to_numbers(stage, old, new)
        yield f"{route_digest(record.model, route)}{epoch % (OPEN_EPOCHS + 1)}", tuple(numbers)


def evidence_from_row(
    row: GossipRow, records: Iterable[MoveRecord], routes: Iterable[str]
) -> Iterator[EvidenceRow]:
    """Yield the evidence in a gossip row if it belongs to one of the given moves and routes."""
    if len(row.numbers) <= _HEADER_NUMBERS or not _are_counts(row.numbers[:_HEADER_NUMBERS]):
        return
    by_digest = {
        route_digest(record.model, route): (record, route) for record in records for route in routes
    }
    matched_move_and_route = by_digest.get(row.row_key.key[:_DIGEST_CHARACTERS])
    if (
        matched_move_and_route is None
        or move_number(matched_move_and_route[0].move_id) != row.numbers[0]
    ):
        return
    source = EvidenceSource(row.row_key.owner, str(row.incarnation))
    for stage, is_new, counts in _from_numbers(row.numbers[_HEADER_NUMBERS:]):
        key = EvidenceKey(row.numbers[1], stage, matched_move_and_route[1], is_new)
        yield EvidenceRow(source, matched_move_and_route[0].move_id, key, counts)


def _to_numbers(stage: int, old: Counts, new: Counts) -> list[int]:
    defects = (*old.defects, *new.defects)
    defect_mask = sum(1 << index for index, count in enumerate(defects) if count)
    header = [stage, old.requests, new.requests, new.busy, defect_mask]
    return [*header, *(count for count in defects if count)]


def _from_numbers(numbers: tuple[int, ...]) -> Iterator[tuple[int, bool, Counts]]:
    """Yield stage, version and counts; stop at the first malformed group."""
    while len(numbers) >= _STAGE_NUMBERS and _are_counts(numbers[1:_STAGE_NUMBERS]):
        stage, old_requests, new_requests, busy, defect_mask = numbers[:_STAGE_NUMBERS]
        length = _STAGE_NUMBERS + defect_mask.bit_count()
        nonzero = iter(numbers[_STAGE_NUMBERS:length])
        if (
            defect_mask >> _DEFECT_KINDS
            or len(numbers) < length
            or not _are_counts(numbers[1:length])
        ):
            return
        defects = [
            next(nonzero) if defect_mask >> index & 1 else 0 for index in range(_DEFECT_KINDS)
        ]
        old = Counts(old_requests, 0, tuple(defects[: len(Defect)]))
        new = Counts(new_requests, busy, tuple(defects[len(Defect) :]))
        for is_new, counts in ((False, old), (True, new)):
            if counts != Counts():
                yield stage, is_new, counts
        numbers = numbers[length:]


def _are_counts(numbers: Iterable[int]) -> bool:
    return all(0 <= number < _NUMBER_LIMIT for number in numbers)
