"""Move records as values of the key-value service."""

import dataclasses
import json
import re

from pydantic import TypeAdapter, ValidationError

from azureturn.core.moves._types import MoveRecord, MoveState
from azureturn.errors import AzureturnError, ErrorKind

#: First part of every key that holds a move; there is one record for each model.
MOVES_PREFIX = "moves/"
#: Largest record that is read.
RECORD_LIMIT_BYTES = 1 << 20
#: Longest list of stages.
STAGES_LIMIT = 20

_MOVE_ID = re.compile(r"^[0-9a-f]{12}$")
_ADAPTER = TypeAdapter(MoveRecord)


class MoveRecordError(AzureturnError):
    """A value is not a move's record."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorKind.MALFORMED_JSON, message)


def move_key(model: str) -> str:
    """Return the key that holds a model's move; one key makes it one move at a time."""
    return MOVES_PREFIX + model


def encode_record(record: MoveRecord) -> bytes:
    """Return the value that holds a record."""
    return json.dumps(dataclasses.asdict(record), separators=(",", ":")).encode()


def decode_record(value: bytes) -> MoveRecord:
    """Return the record that a value holds, or raise :class:`MoveRecordError`."""
    if len(value) > RECORD_LIMIT_BYTES:
        raise MoveRecordError("the record is over the size limit")
    try:
        record = _ADAPTER.validate_json(value)
    except ValidationError as error:
        raise MoveRecordError(f"{error.error_count()} mistakes in the record") from error
    check_record(record)
    return record


def check_record(record: MoveRecord) -> None:
    """Raise :class:`MoveRecordError` where the parts of a record contradict each other."""
    stages = record.stages
    rising = all(earlier < later for earlier, later in zip(stages, stages[1:], strict=False))
    if not _MOVE_ID.match(record.move_id):
        raise MoveRecordError("a move's id is 12 hexadecimal digits")
    if not stages or len(stages) > STAGES_LIMIT or not rising:
        raise MoveRecordError("stages must be rising shares")
    if stages[0] <= 0 or stages[-1] != 1.0:
        raise MoveRecordError("stages must start above 0 and end at 1")
    if not -1 <= record.stage < len(stages):
        raise MoveRecordError("the stage is not one of the stages")
    if record.state is MoveState.FROZEN:
        raise MoveRecordError("no record is frozen: a VM shows it while it has no word")
    if record.from_version == record.to_version:
        raise MoveRecordError("a move needs two versions")
    if record.samples_per_stage < 1 or record.samples_per_route < 0:
        raise MoveRecordError("a stage needs at least one sample")
