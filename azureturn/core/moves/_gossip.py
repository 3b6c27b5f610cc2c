"""Evidence as rows of gossip, which name a row by a short text and hold whole numbers.

A row holds both versions' counts on one route in one epoch, so that no VM ever sees one half of
the picture. Names are short digests, since all rows share a VM's budget of bytes; they are used
again after some epochs, so that the number of rows is bounded.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator

import xxhash

from azureturn.core.membership import GossipRow
from azureturn.core.moves._evidence import (
    OPEN_EPOCHS,
    Counts,
    EvidenceKey,
    EvidenceRow,
    EvidenceSource,
    Trouble,
)
from azureturn.core.moves._types import MoveRecord

#: A row holds the move, the epoch, and then for each stage its number and both versions' counts.
_HEAD_NUMBERS = 2
_COUNT_NUMBERS = 2 + len(Trouble)
_GROUP_NUMBERS = 1 + 2 * _COUNT_NUMBERS
_NUMBER_LIMIT = 1 << 48
_DIGEST_CHARACTERS = 6
#: Digits of a move's id that stand for it.
_MOVE_DIGITS = 6


def move_number(move_id: str) -> int:
    """Return the number that stands for a move among a model's moves."""
    return int(move_id[:_MOVE_DIGITS], 16)


def route_digest(model: str, route: str) -> str:
    """Return what stands for a model's route in the names of rows."""
    return xxhash.xxh3_64_hexdigest(f"{model}\0{route}".encode())[:_DIGEST_CHARACTERS]


def evidence_to_rows(
    record: MoveRecord, rows: Iterable[tuple[EvidenceKey, Counts]]
) -> Iterator[tuple[str, tuple[int, ...]]]:
    """Yield the names and numbers of gossip rows."""
    stages: dict[tuple[str, int], dict[int, list[Counts]]] = defaultdict(dict)
    for key, counts in rows:
        both = stages[(key.route, key.epoch)].setdefault(key.stage, [Counts(), Counts()])
        both[key.is_new] = counts
    for (route, epoch), by_stage in stages.items():
        numbers = [move_number(record.move_id), epoch]
        for stage, (old, new) in by_stage.items():
            numbers += [stage, *_to_numbers(old), *_to_numbers(new)]
        yield f"{route_digest(record.model, route)}{epoch % (OPEN_EPOCHS + 1)}", tuple(numbers)


def evidence_from_row(
    row: GossipRow, records: Iterable[MoveRecord], routes: Iterable[str]
) -> Iterator[EvidenceRow]:
    """Yield the evidence in a gossip row, if it is of one of these moves on one of these routes."""
    groups, rest = divmod(len(row.numbers) - _HEAD_NUMBERS, _GROUP_NUMBERS)
    if rest or groups < 1 or not _are_counts(row.numbers[:_HEAD_NUMBERS]):
        return
    named = {
        route_digest(record.model, route): (record, route) for record in records for route in routes
    }
    found = named.get(row.row_key.key[:_DIGEST_CHARACTERS])
    if found is None or move_number(found[0].move_id) != row.numbers[0]:
        return
    source = EvidenceSource(row.row_key.owner, str(row.incarnation))
    for group in range(groups):
        start = _HEAD_NUMBERS + group * _GROUP_NUMBERS
        stage, *counts = row.numbers[start : start + _GROUP_NUMBERS]
        if not _are_counts(counts):
            continue
        for is_new in (False, True):
            own = counts[_COUNT_NUMBERS * is_new :][:_COUNT_NUMBERS]
            if any(own):
                key = EvidenceKey(row.numbers[1], stage, found[1], is_new)
                counted = Counts(own[0], own[1], tuple(own[2:]))
                yield EvidenceRow(source, found[0].move_id, key, counted)


def _to_numbers(counts: Counts) -> tuple[int, ...]:
    return (counts.requests, counts.busy, *counts.troubles)


def _are_counts(numbers: Iterable[int]) -> bool:
    return all(0 <= one < _NUMBER_LIMIT for one in numbers)
