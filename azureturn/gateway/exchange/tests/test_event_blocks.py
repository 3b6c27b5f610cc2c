"""Whole events of a stream."""

import pytest

from azureturn.gateway.exchange._event_blocks import BLOCK_LIMIT_BYTES, BlockSplitter


@pytest.mark.parametrize(
    ("pieces", "numbers", "rest"),
    [
        ([b"id: 1\ndata: a\n\n"], [1], b""),
        ([b"id: 1\nda", b"ta: a\n", b"\nid: 2\n"], [1], b"id: 2\n"),
        ([b"id:7\r\ndata: a\r\n\r\nid:8\r\n\r\n"], [7, 8], b""),
        ([b"versions: 3\nid: 4\ndata: x\n\n"], [4], b""),
        ([b"data: no number\n\n"], [None], b""),
        ([b"id: x\n\n"], [None], b""),
        ([b"i", b"d", b": ", b"5", b"\n", b"\n"], [5], b""),
        ([b""], [], b""),
    ],
)
def test_events_end_with_an_empty_line(
    pieces: list[bytes], numbers: list[int | None], rest: bytes
) -> None:
    splitter = BlockSplitter()
    blocks = [block for piece in pieces for block in splitter.feed(piece)]
    assert [block.number for block in blocks] == numbers
    assert splitter.rest == rest
    assert b"".join(block.data for block in blocks) + rest == b"".join(pieces)


def test_an_event_without_an_end_is_refused_at_the_limit() -> None:
    splitter = BlockSplitter()
    splitter.feed(b"x" * BLOCK_LIMIT_BYTES)
    with pytest.raises(ValueError, match="limit"):
        splitter.feed(b"x")
