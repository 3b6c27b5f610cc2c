"""Prompts that are in quarantine, in the form that VMs report to peers and store."""

from dataclasses import dataclass


@dataclass(frozen=True)
class QuarantinedPrompt:
    """Parts of prompts that end an engine's process when it answers a prompt with all of them.

    Usually this is a single part. There are several as long as every request that ended an engine
    had all of them, so that it is not known which of them is the cause.
    """

    part_ids: frozenset[str]
    #: Start of the quarantine, by the clock of the VM that found the prompt, in ms since 1970.
    since_unix_ms: int


@dataclass(frozen=True)
class QuarantineRecord:
    """All prompts in quarantine.

    It is kept in the store, so that a VM that starts does not send such prompts to engines again.
    """

    prompts: tuple[QuarantinedPrompt, ...]

    @property
    def part_sets(self) -> frozenset[frozenset[str]]:
        """Return the parts of each prompt, without the order and the times."""
        return frozenset(prompt.part_ids for prompt in self.prompts)
