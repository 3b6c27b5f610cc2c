"""Evidence as rows of gossip, which name a row by a text and hold whole numbers."""

from collections import defaultdict
from collections.abc import Iterable, Iterator

from azureturn.core.membership import GossipRow
from azureturn.core.moves._evidence import (
    OPEN_EPOCHS,
    Counts,
    EvidenceKey,
    EvidenceRow,
    EvidenceSource,
    Trouble,
)

_OLD, _NEW = "o", "n"
#: A row holds the move, the epoch, and then for each stage its number and its counts.
_HEAD_NUMBERS = 2
_GROUP_NUMBERS = 3 + len(Trouble)
_MOVE_ID_DIGITS = 12
_NUMBER_LIMIT = 1 << 48


def move_number(move_id: str) -> int:
    """Return a move's id as a number."""
    return int(move_id, 16)


def move_id_of(number: int) -> str:
    """Return the id of a move whose number this is."""
    return f"{number:0{_MOVE_ID_DIGITS}x}"


def evidence_to_rows(
    model: str, move_id: str, rows: Iterable[tuple[EvidenceKey, Counts]]
) -> Iterator[tuple[str, tuple[int, ...]]]:
    """Yield the names and numbers of gossip rows; a name is used again after some epochs."""
    grouped: dict[tuple[str, bool, int], list[tuple[EvidenceKey, Counts]]] = defaultdict(list)
    for key, counts in rows:
        grouped[(key.route, key.is_new, key.epoch)].append((key, counts))
    for (route, is_new, epoch), group in grouped.items():
        slot = epoch % (OPEN_EPOCHS + 1)
        numbers = [move_number(move_id), epoch]
        for key, counts in group:
            numbers += [key.stage, counts.requests, counts.busy, *counts.troubles]
        yield f"{model}/{route}/{_NEW if is_new else _OLD}{slot}", tuple(numbers)


def evidence_from_row(row: GossipRow) -> Iterator[EvidenceRow]:
    """Yield the evidence in a gossip row; a row that holds none yields nothing."""
    parts = row.row_key.key.split("/")
    groups, rest = divmod(len(row.numbers) - _HEAD_NUMBERS, _GROUP_NUMBERS)
    if len(parts) != 3 or rest or groups < 1 or not _are_counts(row.numbers[:_HEAD_NUMBERS]):
        return
    source = EvidenceSource(row.row_key.owner, str(row.incarnation))
    move_id = move_id_of(row.numbers[0])
    is_new = parts[2].startswith(_NEW)
    for group in range(groups):
        start = _HEAD_NUMBERS + group * _GROUP_NUMBERS
        stage, *counts = row.numbers[start : start + _GROUP_NUMBERS]
        if not _are_counts(counts):
            continue
        key = EvidenceKey(row.numbers[1], stage, parts[1], is_new)
        yield EvidenceRow(source, move_id, key, Counts(counts[0], counts[1], tuple(counts[2:])))


def _are_counts(numbers: Iterable[int]) -> bool:
    return all(0 <= one < _NUMBER_LIMIT for one in numbers)
