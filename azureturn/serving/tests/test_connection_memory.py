"""Room for heads: which head loses it to another one, and which keeps it."""

from azureturn.serving._connection_memory import FREE_HEAD_BYTES, ConnectionMemory, HeadMemory

_LARGE_HEAD_BYTES = FREE_HEAD_BYTES


class _Heads:
    """Heads that share a memory with room for one that is large."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.memory = ConnectionMemory(3 * _LARGE_HEAD_BYTES, now_s=lambda: self.now_s)
        self.stopped: list[str] = []

    def begin(self, name: str) -> HeadMemory:
        return HeadMemory(self.memory, lambda: self.stopped.append(name))


def test_a_head_that_stays_unfinished_loses_its_room() -> None:
    heads = _Heads()
    slow = heads.begin("slow")
    assert slow.add(_LARGE_HEAD_BYTES, fields=0)
    heads.now_s = 1.0
    assert heads.begin("new").add(_LARGE_HEAD_BYTES, fields=0)
    assert heads.stopped == ["slow"]
    # A thread that has read the end of the head meanwhile must not serve the request.
    assert not slow.finish()


def test_a_head_that_has_just_begun_keeps_its_room() -> None:
    heads = _Heads()
    late = heads.begin("late")
    heads.now_s = 1.0
    assert late.add(_LARGE_HEAD_BYTES, fields=0)
    assert not heads.begin("new").add(_LARGE_HEAD_BYTES, fields=0)
    assert late.finish()


def test_the_head_of_a_request_in_progress_keeps_its_room() -> None:
    heads = _Heads()
    in_progress = heads.begin("in progress")
    assert in_progress.add(_LARGE_HEAD_BYTES, fields=0)
    assert in_progress.finish()
    heads.now_s = 1.0
    assert not heads.begin("new").add(_LARGE_HEAD_BYTES, fields=0)
    in_progress.release()
    assert heads.begin("next").add(_LARGE_HEAD_BYTES, fields=0)
    assert heads.stopped == []


def test_connections_count() -> None:
    heads = _Heads()
    for _ in range(3):
        heads.memory.count_connection(1)
    assert not heads.begin("new").add(_LARGE_HEAD_BYTES, fields=0)
    for _ in range(3):
        heads.memory.count_connection(-1)
    assert heads.memory.reserved_bytes == 0
