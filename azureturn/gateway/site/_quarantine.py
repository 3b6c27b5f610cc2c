"""Quarantines of requests, in the form in which VMs report and store them.

A quarantine names traits: what a request has in common with others. A trait is either the id of a
prompt part or the digest of a request, which all sendings of the same request share.
"""

from dataclasses import dataclass

#: Marks the trait that is a digest. The id of a prompt part contains no colon.
_DIGEST_PREFIX = "digest:"


def digest_trait(digest: str) -> str:
    """Return the trait of all requests with this digest."""
    return _DIGEST_PREFIX + digest


def is_digest_trait(trait: str) -> bool:
    """Return whether a trait is a digest and not a prompt part."""
    return trait.startswith(_DIGEST_PREFIX)


@dataclass(frozen=True)
class QuarantinedTraits:
    """Traits that end an upstream's process when it runs a request with all of them.

    Usually this is a single one. There are several prompt parts as long as every request that ended
    an engine had all of them, so that it is not known which of them is the cause.
    """

    traits: frozenset[str]
    #: Start of the quarantine, by the clock of the VM that found the traits, in ms since 1970.
    since_unix_ms: int

    @property
    def is_single_request(self) -> bool:
        """Return whether it concerns one request only, however often it is sent."""
        return any(is_digest_trait(trait) for trait in self.traits)


@dataclass(frozen=True)
class QuarantineRecord:
    """All traits in quarantine.

    It is kept in the store, so that a VM that starts does not send such requests to upstreams
    again.
    """

    quarantined: tuple[QuarantinedTraits, ...]

    @property
    def trait_sets(self) -> frozenset[frozenset[str]]:
        """Return the traits of each quarantine, without the order and the times."""
        return frozenset(row.traits for row in self.quarantined)
