"""Which parts of prompts an upstream is thought to hold, from what was sent to it."""

from collections import OrderedDict
from dataclasses import dataclass

from azureturn.framework import Table
from azureturn.gateway.site import Prompt, PromptPart

#: Share of an engine's memory that old parts may fill; running requests take the rest.
_CACHE_SHARE = 0.6


@dataclass(frozen=True)
class SentPrompt:
    """A prompt that this VM gave to an upstream, for its peers to know."""

    upstream: str
    model: str
    parts: tuple[PromptPart, ...]


class PromptRecord:
    """The parts that one run of an upstream was sent, the least recently used first."""

    def __init__(self, run: tuple[str, int], capacity_tokens: int) -> None:
        self.run = run
        self._capacity_tokens = capacity_tokens * _CACHE_SHARE
        self._tokens = 0
        #: Tokens by model and the ids of a part and all parts before it.
        self._held: OrderedDict[tuple[str, ...], int] = OrderedDict()

    def note(self, model: str, parts: tuple[PromptPart, ...]) -> None:
        """Remember that a prompt of these parts was sent."""
        chain: tuple[str, ...] = (model,)
        for part in parts:
            chain = (*chain, part.part_id)
            self._tokens += part.tokens - self._held.pop(chain, 0)
            self._held[chain] = part.tokens
        while self._tokens > self._capacity_tokens and self._held:
            _, tokens = self._held.popitem(last=False)
            self._tokens -= tokens

    def held_tokens(self, prompt: Prompt) -> int:
        """Return how many leading tokens of a prompt are thought to be held."""
        chain: tuple[str, ...] = (prompt.model,)
        held = 0
        for part in prompt.parts:
            chain = (*chain, part.part_id)
            if chain not in self._held:
                break
            held += part.tokens
        return held


class PromptTable(Table[str, PromptRecord]):
    """Records by the upstream's name, and what peers have not been told yet."""

    def __init__(self) -> None:
        super().__init__()
        self.untold: list[SentPrompt] = []

    def of(self, run: tuple[str, int], capacity_tokens: int) -> PromptRecord:
        """Return the record of a run of an upstream, empty for one that is new."""
        record = self.get(run[0])
        if record is None or record.run != run:
            record = PromptRecord(run, capacity_tokens)
            self.put(run[0], record)
        return record
