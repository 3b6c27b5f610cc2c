"""Tests of the permitted changes, validation and encoding of move records."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azureturn.core.moves import (
    MoveChangeError,
    MoveRecord,
    MoveRecordError,
    MoveState,
    check_record,
    decode_record,
    encode_record,
    is_assigned_to_new_version,
)

RECORD = MoveRecord("0123456789ab", "fibre-large", "v1", "v2", 0, 600_000)

BAD_RECORDS = {
    "decreasing stages": replace(RECORD, stages=(0.5, 0.1, 1.0)),
    "last stage below 1": replace(RECORD, stages=(0.1, 0.5)),
    "no stages": replace(RECORD, stages=()),
    "stage index out of range": replace(RECORD, stage=7),
    "state frozen": replace(RECORD, state=MoveState.FROZEN),
    "same version": replace(RECORD, to_version="v1"),
    "malformed move id": replace(RECORD, move_id="m1"),
    "no samples": replace(RECORD, samples_per_stage=0),
}


@pytest.mark.parametrize("case", BAD_RECORDS)
def test_inconsistent_record_is_rejected(case: str) -> None:
    with pytest.raises(MoveRecordError):
        check_record(BAD_RECORDS[case])


@given(st.binary(max_size=400) | st.text(max_size=400).map(str.encode))
def test_arbitrary_bytes_are_rejected(value: bytes) -> None:
    with pytest.raises(MoveRecordError):
        decode_record(value)


def test_record_encoding_round_trips() -> None:
    record = RECORD.with_holder("vm-1", "boot").with_stage(1, unix_ms=5)
    assert decode_record(encode_record(record)) == record


def test_stage_never_decreases() -> None:
    with pytest.raises(MoveChangeError):
        RECORD.with_stage(2, unix_ms=1).with_stage(1, unix_ms=2)


def test_thresholds_are_fixed_after_the_first_stage_began() -> None:
    with pytest.raises(MoveChangeError):
        RECORD.with_stage(0, unix_ms=1).with_thresholds(())


@given(st.text(max_size=20), st.floats(0, 1), st.floats(0, 1))
def test_assignment_to_the_new_version_is_monotonic_in_the_share(
    request_id: str, first_share: float, second_share: float
) -> None:
    small, large = sorted((first_share, second_share))
    if is_assigned_to_new_version(request_id, "m", small):
        assert is_assigned_to_new_version(request_id, "m", large)
