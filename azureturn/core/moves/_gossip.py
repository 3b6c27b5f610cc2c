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

#: A row holds the move, the epoch, and then for each stage what both versions had: the stage,
#: both numbers of requests, the new version's at load, and the troubles that are not 0 after a
#: number whose bits say which these are.
_HEAD_NUMBERS = 2
_GROUP_NUMBERS = 5
_TROUBLE_KINDS = 2 * len(Trouble)
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
            numbers += _to_numbers(stage, old, new)
        yield f"{route_digest(record.model, route)}{epoch % (OPEN_EPOCHS + 1)}", tuple(numbers)


def evidence_from_row(
    row: GossipRow, records: Iterable[MoveRecord], routes: Iterable[str]
) -> Iterator[EvidenceRow]:
    """Yield the evidence in a gossip row, if it is of one of these moves on one of these routes."""
    if len(row.numbers) <= _HEAD_NUMBERS or not _are_counts(row.numbers[:_HEAD_NUMBERS]):
        return
    named = {
        route_digest(record.model, route): (record, route) for record in records for route in routes
    }
    found = named.get(row.row_key.key[:_DIGEST_CHARACTERS])
    if found is None or move_number(found[0].move_id) != row.numbers[0]:
        return
    source = EvidenceSource(row.row_key.owner, str(row.incarnation))
    for stage, is_new, counts in _from_numbers(row.numbers[_HEAD_NUMBERS:]):
        key = EvidenceKey(row.numbers[1], stage, found[1], is_new)
        yield EvidenceRow(source, found[0].move_id, key, counts)


def _to_numbers(stage: int, old: Counts, new: Counts) -> list[int]:
    troubles = (*old.troubles, *new.troubles)
    present = sum(1 << place for place, count in enumerate(troubles) if count)
    head = [stage, old.requests, new.requests, new.busy, present]
    return [*head, *(count for count in troubles if count)]


def _from_numbers(numbers: tuple[int, ...]) -> Iterator[tuple[int, bool, Counts]]:
    """Yield stage, version and counts up to the first group that makes no sense."""
    while len(numbers) >= _GROUP_NUMBERS and _are_counts(numbers[1:_GROUP_NUMBERS]):
        stage, old_requests, new_requests, busy, present = numbers[:_GROUP_NUMBERS]
        length = _GROUP_NUMBERS + present.bit_count()
        told = iter(numbers[_GROUP_NUMBERS:length])
        if present >> _TROUBLE_KINDS or len(numbers) < length or not _are_counts(numbers[1:length]):
            return
        troubles = [next(told) if present >> place & 1 else 0 for place in range(_TROUBLE_KINDS)]
        old = Counts(old_requests, 0, tuple(troubles[: len(Trouble)]))
        new = Counts(new_requests, busy, tuple(troubles[len(Trouble) :]))
        for is_new, counts in ((False, old), (True, new)):
            if counts != Counts():
                yield stage, is_new, counts
        numbers = numbers[length:]


def _are_counts(numbers: Iterable[int]) -> bool:
    return all(0 <= one < _NUMBER_LIMIT for one in numbers)
