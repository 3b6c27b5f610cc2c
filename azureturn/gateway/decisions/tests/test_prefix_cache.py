"""Memory that the estimates of engines' caches take up, whatever parts callers list."""

import gc
import tracemalloc

import pytest

from azureturn.gateway.decisions import PeerReportReceived, RequestClosed, SentPrompt
from azureturn.gateway.decisions._prefix_cache import (
    ENTRY_LIMIT,
    PrefixCacheTable,
)
from azureturn.gateway.decisions.tests.gateway_core_harness import (
    GatewayCoreHarness,
    peer_report,
    upstream,
    view,
)
from azureturn.gateway.site import Prompt, PromptPart, PromptPrefix

#: What estimates, requests and reports may take up together, in a process of a VM with 150 MB.
_MAX_BYTES = 30_000_000
_PROMPTS = 250
#: Prompts reported by a peer; each of them was sent to every engine.
_PEER_PROMPTS = 60
_ENGINES = tuple(upstream(f"u{number}", slots=400) for number in range(9))


def _prompt(number: int, part_count: int, part_tokens: int) -> Prompt:
    parts = tuple(PromptPart(f"{number:x}-{part:x}", part_tokens) for part in range(part_count))
    return Prompt("m", part_count * part_tokens, 100, 50, parts)


@pytest.mark.parametrize(
    ("part_count", "part_tokens"), [(410, 16), (900, 1), (900, 0)], ids=["16", "1", "0"]
)
@pytest.mark.parametrize("is_own", [True, False], ids=["own prompts", "a peer's"])
def test_prompts_in_many_parts_take_up_little_memory(
    is_own: bool, part_count: int, part_tokens: int
) -> None:
    # Guards against Fault: prompts listed in blocks of 16 tokens took all memory of all VMs.
    harness = GatewayCoreHarness(view(*_ENGINES))
    harness.submit_request("first", prompt=_prompt(0, 1, 10))
    gc.collect()
    tracemalloc.start()
    for number in range(_PROMPTS if is_own else _PEER_PROMPTS):
        prompt = _prompt(number, part_count, part_tokens)
        if is_own:
            assert harness.submit_request(f"r{number}", prompt=prompt)
            harness.handle_event(RequestClosed(f"r{number}"))
        else:
            sent = tuple(SentPrompt(engine.name, "m", prompt.parts) for engine in _ENGINES)
            harness.handle_event(PeerReportReceived(peer_report("vm-2", number + 1, prompts=sent)))
    taken_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert taken_bytes <= _MAX_BYTES


def _prefixes(number: int, count: int) -> tuple[PromptPrefix, ...]:
    return tuple(PromptPrefix(number * count + index, 1) for index in range(count))


def test_all_estimates_together_have_a_limit_of_entries() -> None:
    table = PrefixCacheTable()
    for engine in range(60):
        run = (f"u{engine}", 1)
        table.of(run, 1 << 30)
        for number in range(30):
            table.record_prompt(run, _prefixes(number, 100))
        assert sum(len(estimate) for estimate in table.rows()) <= ENTRY_LIMIT
    table.keep_only({"u1"})
    assert [name for name, _ in table.items()] == ["u1"]


def test_a_limit_of_entries_keeps_the_latest_prefixes() -> None:
    table = PrefixCacheTable()
    estimate = table.of(("u", 1), 1 << 30)
    for number in range(ENTRY_LIMIT // 100 + 1):
        table.record_prompt(("u", 1), _prefixes(number, 100))
    assert estimate.cached_tokens(_prefixes(0, 100)) == 0
    assert estimate.cached_tokens(_prefixes(1, 100)) == 100


def test_a_report_has_the_latest_prompts_that_fit() -> None:
    table = PrefixCacheTable()
    for number in range(60):
        table.add_unreported(SentPrompt(f"u{number}", "m", (PromptPart("a", 1),) * number))
    names = [prompt.upstream for prompt in table.take_unreported()]
    assert names == [f"u{number}" for number in range(60 - len(names), 60)]
    assert 20 <= len(names) <= 40
    assert table.take_unreported() == ()
