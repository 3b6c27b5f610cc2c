"""Interfaces that a platform adapter implements. They decode and encode, and decide nothing."""

from collections.abc import Mapping, Sequence
from typing import Protocol

from azureturn.gateway.site._allotment_usage import AllotmentRecord
from azureturn.gateway.site._document_types import DocumentContent, MoveStatus, RegisteredVm
from azureturn.gateway.site._quarantine import QuarantineRecord
from azureturn.gateway.site._requests import AttemptHeaders, RequestFacts, ResponseFacts

Headers = Sequence[tuple[str, str]]


class DocumentCodec(Protocol):
    """Decodes and encodes the documents in the store."""

    #: Key prefix of all documents that the gateway watches.
    watched_prefix: str
    #: Key prefix of the entries that mark the present era of the store; they are no documents.
    era_guard_prefix: str

    def decode(self, key: str, value: bytes) -> DocumentContent | None:
        """Return the decoded document, or None if its key belongs to no known kind.

        Raises ``ValueError`` if the document is invalid.
        """

    def encode_status(self, status: MoveStatus) -> tuple[str, bytes]:
        """Return the key and the document that publish a move's status to operators."""

    def encode_allotment_record(self, record: AllotmentRecord) -> tuple[str, bytes]:
        """Return the key and the document of an allotment record."""

    def encode_quarantine_record(self, record: QuarantineRecord) -> tuple[str, bytes]:
        """Return the key and the document of the record of quarantined traits."""

    def encode_vm(self, vm: RegisteredVm) -> tuple[str, bytes]:
        """Return the key and the document that register a VM, so that other VMs find it."""


class Dialect(Protocol):
    """Decodes and encodes HTTP headers with the names and formats of one platform."""

    #: Path at which the load balancer checks this VM's readiness.
    readiness_path: str

    def decode_request_headers(self, headers: Mapping[str, str]) -> RequestFacts:
        """Decode the headers of a caller's request, given by lower-case name.

        Raises ``ValueError`` naming the header that is invalid.
        """

    def encode_attempt_headers(self, headers: Headers, attempt: AttemptHeaders) -> Headers:
        """Return the headers of a caller's request as they are sent to an upstream."""

    def decode_response_headers(self, headers: Mapping[str, str]) -> ResponseFacts:
        """Decode the headers of an upstream's response, given by lower-case name."""

    def encode_refusal_headers(self, retry_after_ms: int | None, request_id: str) -> Headers:
        """Return the headers of an error response made by the gateway itself."""
