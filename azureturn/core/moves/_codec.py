"""Encodes and validates move records stored in the key-value service."""

import dataclasses
import json
import re

from pydantic import TypeAdapter, ValidationError

from azureturn.core.moves._types import MoveRecord, MoveState
from azureturn.errors import AzureturnError, ErrorKind

#: Prefix of the keys of move records; there is one record per model.
MOVES_PREFIX = "moves/"
#: Maximum size of an encoded record.
MAX_RECORD_BYTES = 1 << 20
#: Maximum number of stages.
MAX_STAGES = 20

_MOVE_ID = re.compile(r"^[0-9a-f]{12}$")
_ADAPTER = TypeAdapter(MoveRecord)


class MoveRecordError(AzureturnError):
    """A stored value is not a valid move record."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorKind.MALFORMED_JSON, message)


def move_key(model: str) -> str:
    """Return the key of a model's move; with one key per model there is one move at a time."""
    return MOVES_PREFIX + model


def encode_record(record: MoveRecord) -> bytes:
    """Return the JSON value that stores a record."""
    return json.dumps(dataclasses.asdict(record), separators=(",", ":")).encode()


def decode_record(value: bytes) -> MoveRecord:
    """Return the record stored in a value; raise :class:`MoveRecordError` if it is invalid."""
    if len(value) > MAX_RECORD_BYTES:
        raise MoveRecordError("the move record exceeds the size limit")
    try:
        record = _ADAPTER.validate_json(value)
    except ValidationError as error:
        raise MoveRecordError(
            f"{error.error_count()} validation errors in the move record"
        ) from error
    check_record(record)
    return record


def check_record(record: MoveRecord) -> None:
    """Raise :class:`MoveRecordError` if the fields of a record are inconsistent."""
    stages = record.stages
    is_increasing = all(earlier < later for earlier, later in zip(stages, stages[1:], strict=False))
    if not _MOVE_ID.match(record.move_id):
        raise MoveRecordError("the move id must be 12 hexadecimal digits")
    if not stages or len(stages) > MAX_STAGES or not is_increasing:
        raise MoveRecordError(
            "stages must be a non-empty list of increasing shares within the length limit"
        )
    if stages[0] <= 0 or stages[-1] != 1.0:
        raise MoveRecordError("the first stage must be above 0 and the last must be 1")
    if not -1 <= record.stage < len(stages):
        raise MoveRecordError("the stage index is out of range")
    if record.state is MoveState.FROZEN:
        raise MoveRecordError(
            "the state frozen is never stored; VMs only report it while the service is unreachable"
        )
    if record.from_version == record.to_version:
        raise MoveRecordError("the old and the new version must differ")
    if record.samples_per_stage < 1 or record.samples_per_route < 0:
        raise MoveRecordError(
            "samples_per_stage must be at least 1 and samples_per_route at least 0"
        )
