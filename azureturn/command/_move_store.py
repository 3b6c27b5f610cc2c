"""Changes of move records by operators, made only by compare-and-swap.

A move shifts a model's requests from one version to another in stages; its record is stored in the
key-value service.
"""

import time
from collections.abc import Callable

from azureturn._time_of_day import unix_now_ms
from azureturn.command._errors import CommandError
from azureturn.core.moves import (
    MOVES_PREFIX,
    MoveReason,
    MoveRecord,
    MoveState,
    StoredMove,
    check_record,
    decode_record,
    encode_record,
    move_key,
)
from azureturn.errors import CompareFailedError, ErrorKind, KeyValueUnavailableError
from azureturn.store import KeyValueClient, KeyValueEntry

#: Time limit for finding out whether a write without a response took effect. After it, the
#: outcome is reported as unknown.
RESOLVE_LIMIT_S = 10.0
_RESOLVE_INTERVAL_S = 0.2


class MoveStore:
    """Starts and aborts moves. Each model has one record, so only one move at a time.

    If the response to a write is lost, the record is read back to find out whether the write took
    effect.
    """

    def __init__(
        self, key_value: KeyValueClient, *, sleep: Callable[[float], None] = time.sleep
    ) -> None:
        self._key_value = key_value
        self._sleep = sleep

    def read(self, model: str) -> StoredMove | None:
        """Return a model's current or last move, or None if there has been none."""
        entry = self._key_value.read(move_key(model))
        return None if entry is None else _decode_entry(entry)

    def read_all(self) -> list[StoredMove]:
        """Return the current or last move of every model."""
        return [_decode_entry(entry) for entry in self._key_value.read_prefix(MOVES_PREFIX)]

    def start(self, record: MoveRecord) -> StoredMove:
        """Write the record of a new move, unless another move of the model is in progress.

        Raise :class:`CommandError` with kind ``conflict``, which names the other move, if there is
        one, and with kind ``outcome_unknown`` if the response was lost and the outcome cannot be
        determined.
        """
        check_record(record)
        current = self.read(record.model)
        if current is not None and not current.record.settled:
            raise _conflict_error(current.record)
        if current is not None and current.record.serving_version != record.from_version:
            raise _wrong_version_error(current.record)
        expected = 0 if current is None else current.revision
        try:
            return StoredMove(record, self._compare_and_swap(record, expected))
        except CompareFailedError as error:
            raise _conflict_error(self._read_record(record.model)) from error
        except KeyValueUnavailableError:
            return self._resolve_start(record, expected)

    def abort(self, model: str) -> StoredMove:
        """Abort a model's move, retrying if the record is changed concurrently.

        A move that has already ended is returned unchanged.
        """
        while True:
            current = self.read(model)
            if current is None:
                raise _no_move_error(model)
            if current.record.ended:
                return current
            aborted = current.record.with_end(
                MoveState.ABORTED,
                MoveReason.OPERATOR,
                "aborted by the operator",
                unix_ms=unix_now_ms(),
            )
            try:
                return StoredMove(aborted, self._compare_and_swap(aborted, current.revision))
            except CompareFailedError:
                continue

    def _resolve_start(self, record: MoveRecord, expected: int) -> StoredMove:
        """Determine whether a write whose response was lost took effect, and retry it if not."""
        deadline_s = time.monotonic() + RESOLVE_LIMIT_S
        while time.monotonic() < deadline_s:
            self._sleep(_RESOLVE_INTERVAL_S)
            try:
                current = self.read(record.model)
                if current is not None and current.record.move_id == record.move_id:
                    return current
                if (0 if current is None else current.revision) != expected:
                    raise _conflict_error(None if current is None else current.record)
                self._compare_and_swap(record, expected)
            except (KeyValueUnavailableError, CompareFailedError):
                continue
        raise CommandError(
            ErrorKind.OUTCOME_UNKNOWN,
            "the response to the write was lost and the key-value service does not respond",
            advice=f"run 'azureturn move show {record.model}' later: "
            f"the move was started if its id is {record.move_id}",
        )

    def _read_record(self, model: str) -> MoveRecord | None:
        try:
            current = self.read(model)
        except KeyValueUnavailableError:
            return None
        return None if current is None else current.record

    def _compare_and_swap(self, record: MoveRecord, expected_revision: int) -> int:
        return self._key_value.compare_and_swap(
            move_key(record.model), encode_record(record), expected_revision=expected_revision
        )


def _decode_entry(entry: KeyValueEntry) -> StoredMove:
    return StoredMove(decode_record(entry.value), entry.revision)


def _conflict_error(competing: MoveRecord | None) -> CommandError:
    if competing is None:
        message = "another operator has already started a move; nothing was changed"
        advice = "view it with 'azureturn move list'"
    elif competing.ended:
        message = (
            f"move {competing.move_id} of {competing.model} is still being cleared from the engines"
        )
        advice = "retry in a minute"
    else:
        versions = f"{competing.from_version} to {competing.to_version}"
        message = (
            f"move {competing.move_id} of {competing.model} from {versions} is "
            f"{competing.state.value}; nothing was changed"
        )
        advice = f"wait for it, or end it with 'azureturn move abort {competing.model}'"
    return CommandError(ErrorKind.CONFLICT, message, advice=advice)


def _wrong_version_error(last: MoveRecord) -> CommandError:
    return CommandError(
        ErrorKind.CONFLICT,
        f"{last.model} is served by {last.serving_version}; nothing was changed",
        advice=f"start the move from {last.serving_version}",
    )


def _no_move_error(model: str) -> CommandError:
    return CommandError(
        ErrorKind.NOT_FOUND,
        f"no move of '{model}' exists",
        advice="list the moves with 'azureturn move list'",
    )
