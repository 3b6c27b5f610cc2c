"""Documents of a view, and differences between two views, which VMs pass on to each other.

Load pattern: each upstream renews its entry about once a second, so that most writes to the store
change nothing that a VM has to know.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from functools import cached_property
from hashlib import blake2b

from azureturn.gateway.site._allotment_usage import AllotmentRecord
from azureturn.gateway.site._configuration import SiteConfiguration
from azureturn.gateway.site._document_types import DocumentContent, RegisteredUpstream


@dataclass(frozen=True)
class StoredDocument:
    """A document of the store, in encoded and decoded form."""

    key: str
    #: Revision of the store at the last write of the document that was not a mere renewal.
    revision: int
    value: bytes
    content: DocumentContent
    #: Revision of the last write that every VM has to learn of; 0 if it is ``revision``, unless the
    #: document turns out to be a renewal.
    changed_revision: int = 0

    @property
    def is_passed_on(self) -> bool:
        """Return whether peers pass the document on; the allotment record is large."""
        return not isinstance(self.content, AllotmentRecord)

    @cached_property
    def digest(self) -> int:
        """Return a digest of the key and the content that is the same on all VMs.

        The value of an upstream's entry differs with each renewal. Other documents have a meaning
        of their own each time they are written, but for the configuration, which has a version.
        """
        if isinstance(self.content, RegisteredUpstream):
            content = repr(self.content).encode()
        elif isinstance(self.content, SiteConfiguration):
            content = self.value
        else:
            content = self.value + b"\0%d" % self.revision
        data = b"\0".join((self.key.encode(), content))
        return int.from_bytes(blake2b(data, digest_size=8).digest(), signed=True)

    def replacing(self, old: "StoredDocument | None") -> "StoredDocument":
        """Return the document as it replaces ``old``; the old one if it was only renewed.

        An entry that says how long the upstream stays cold is counted from its write, so it is
        taken even if it reads the same. Peers need not learn that an upstream is still not cold.

        >>> def entry(revision, **fields):
        ...     upstream = RegisteredUpstream("u", "s", "10.0.0.1", 80, "a", "v1", 4, **fields)
        ...     return StoredDocument("u", revision, b"", upstream)
        >>> entry(9).replacing(entry(5)) == entry(5)
        True
        >>> entry(9, cold_left_ms=0).replacing(entry(5, cold_left_ms=0)).last_change
        5
        >>> entry(9, cold_left_ms=70).replacing(entry(5, cold_left_ms=70)).last_change
        9
        """
        content = self.content
        if self.changed_revision:
            return self
        if old is None or not isinstance(content, RegisteredUpstream) or old.content != content:
            return self
        if content.cold_left_ms is None:
            return old
        if content.cold_left_ms == 0:
            return replace(self, changed_revision=old.last_change)
        return self

    @property
    def last_change(self) -> int:
        """Return the revision of the last write that every VM has to learn of."""
        return self.changed_revision or self.revision


@dataclass(frozen=True)
class ViewDifference:
    """The changes between two revisions of the store, as one VM knows them."""

    base_revision: int
    revision: int
    #: Revision of the last change up to ``revision``.
    changed_revision: int
    written: Sequence[StoredDocument]
    #: Removed keys with the revisions of their removal.
    removals: Mapping[str, int]
