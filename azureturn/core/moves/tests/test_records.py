"""Records go forward only, and nothing but a record is read as one."""

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
    takes_new_version,
)

RECORD = MoveRecord("0123456789ab", "fibre-large", "v1", "v2", 0, 600_000)

BAD_RECORDS = {
    "falling stages": replace(RECORD, stages=(0.5, 0.1, 1.0)),
    "no last stage": replace(RECORD, stages=(0.1, 0.5)),
    "no stages": replace(RECORD, stages=()),
    "stage of none": replace(RECORD, stage=7),
    "frozen": replace(RECORD, state=MoveState.FROZEN),
    "one version": replace(RECORD, to_version="v1"),
    "id": replace(RECORD, move_id="m1"),
    "no samples": replace(RECORD, samples_per_stage=0),
}


@pytest.mark.parametrize("case", BAD_RECORDS)
def test_a_record_that_contradicts_itself_is_refused(case: str) -> None:
    with pytest.raises(MoveRecordError):
        check_record(BAD_RECORDS[case])


@given(st.binary(max_size=400) | st.text(max_size=400).map(str.encode))
def test_bytes_that_are_no_record_are_refused(value: bytes) -> None:
    with pytest.raises(MoveRecordError):
        decode_record(value)


def test_a_record_survives_the_service() -> None:
    record = RECORD.with_holder("vm-1", "boot").with_stage(1, unix_ms=5)
    assert decode_record(encode_record(record)) == record


def test_a_stage_is_never_left_backwards() -> None:
    with pytest.raises(MoveChangeError):
        RECORD.with_stage(2, unix_ms=1).with_stage(1, unix_ms=2)


def test_what_is_slow_is_fixed_before_the_first_stage() -> None:
    with pytest.raises(MoveChangeError):
        RECORD.with_stage(0, unix_ms=1).with_thresholds(())


@given(st.text(max_size=20), st.floats(0, 1), st.floats(0, 1))
def test_a_request_of_a_share_belongs_to_every_larger_share(
    request_id: str, one: float, other: float
) -> None:
    small, large = sorted((one, other))
    if takes_new_version(request_id, "m", small):
        assert takes_new_version(request_id, "m", large)
