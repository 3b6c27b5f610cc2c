"""Operators' changes of move records: by compare-and-swap alone, lost answers read back."""

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

#: How long a lost answer is read back before the operator is told that it is not known.
RESOLVE_LIMIT_S = 10.0
_RESOLVE_PAUSE_S = 0.2


class MoveStore:
    """Starts and aborts moves. There is one record for each model, so one move at a time."""

    def __init__(
        self, key_value: KeyValueClient, *, sleep: Callable[[float], None] = time.sleep
    ) -> None:
        self._key_value = key_value
        self._sleep = sleep

    def read(self, model: str) -> StoredMove | None:
        """Return a model's present or last move, or None where there never was one."""
        entry = self._key_value.read(move_key(model))
        return None if entry is None else _stored(entry)

    def read_all(self) -> list[StoredMove]:
        """Return every model's present or last move."""
        return [_stored(entry) for entry in self._key_value.read_prefix(MOVES_PREFIX)]

    def start(self, record: MoveRecord) -> StoredMove:
        """Write the record of a new move, unless another move of the model is under way.

        :class:`CommandError` says with kind ``conflict`` which move came first.
        """
        check_record(record)
        present = self.read(record.model)
        if present is not None and not present.record.settled:
            raise _conflict(present.record)
        if present is not None and present.record.serving_version != record.from_version:
            raise _wrong_version(present.record)
        expected = 0 if present is None else present.revision
        try:
            return StoredMove(record, self._swap(record, expected))
        except CompareFailedError as error:
            raise _conflict(self._record_of(record.model)) from error
        except KeyValueUnavailableError:
            return self._resolve_start(record, expected)

    def abort(self, model: str) -> StoredMove:
        """End a model's move for the operator; whoever changes the record first is followed."""
        while True:
            present = self.read(model)
            if present is None:
                raise _no_move(model)
            if present.record.ended:
                return present
            aborted = present.record.with_end(
                MoveState.ABORTED,
                MoveReason.OPERATOR,
                "aborted by the operator",
                unix_ms=unix_now_ms(),
            )
            try:
                return StoredMove(aborted, self._swap(aborted, present.revision))
            except CompareFailedError:
                continue

    def _resolve_start(self, record: MoveRecord, expected: int) -> StoredMove:
        """Find out whether a write whose answer was lost took effect, and send it again if not."""
        ends_at_s = time.monotonic() + RESOLVE_LIMIT_S
        while time.monotonic() < ends_at_s:
            self._sleep(_RESOLVE_PAUSE_S)
            try:
                present = self.read(record.model)
                if present is not None and present.record.move_id == record.move_id:
                    return present
                if (0 if present is None else present.revision) != expected:
                    raise _conflict(None if present is None else present.record)
                self._swap(record, expected)
            except (KeyValueUnavailableError, CompareFailedError):
                continue
        raise CommandError(
            ErrorKind.OUTCOME_UNKNOWN,
            "the write's answer was lost and the key-value service does not answer",
            advice=f"run 'azureturn move show {record.model}' later: "
            f"the move was started if its id is {record.move_id}",
        )

    def _record_of(self, model: str) -> MoveRecord | None:
        try:
            present = self.read(model)
        except KeyValueUnavailableError:
            return None
        return None if present is None else present.record

    def _swap(self, record: MoveRecord, expected_revision: int) -> int:
        return self._key_value.compare_and_swap(
            move_key(record.model), encode_record(record), expected_revision=expected_revision
        )


def _stored(entry: KeyValueEntry) -> StoredMove:
    return StoredMove(decode_record(entry.value), entry.revision)


def _conflict(rival: MoveRecord | None) -> CommandError:
    if rival is None:
        message = "another operator's move came first; nothing was changed"
        advice = "see it with 'azureturn move list'"
    elif rival.ended:
        message = f"move {rival.move_id} of {rival.model} is still being cleared from the engines"
        advice = "try again in a minute"
    else:
        versions = f"{rival.from_version} to {rival.to_version}"
        message = (
            f"move {rival.move_id} of {rival.model} from {versions} is {rival.state.value}; "
            "nothing was changed"
        )
        advice = f"wait for it, or end it with 'azureturn move abort {rival.model}'"
    return CommandError(ErrorKind.CONFLICT, message, advice=advice)


def _wrong_version(last: MoveRecord) -> CommandError:
    return CommandError(
        ErrorKind.CONFLICT,
        f"{last.model} is served by {last.serving_version}; nothing was changed",
        advice=f"start the move from {last.serving_version}",
    )


def _no_move(model: str) -> CommandError:
    return CommandError(
        ErrorKind.NOT_FOUND,
        f"no move of '{model}' is known",
        advice="see the moves with 'azureturn move list'",
    )
