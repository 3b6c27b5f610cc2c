"""What an adapter to a platform gives the gateway: decoding and encoding, no decisions."""

from collections.abc import Mapping, Sequence
from typing import Protocol

from azureturn.gateway.site._allotment_use import AllotmentRecord
from azureturn.gateway.site._facts import Fact, MoveStatus, RegisteredVm
from azureturn.gateway.site._requests import AnswerFacts, AttemptHeaders, CallerFacts

Headers = Sequence[tuple[str, str]]


class SiteDocuments(Protocol):
    """The store's documents, by key."""

    #: Below which all documents lie that the gateway follows.
    watched_prefix: str

    def decode(self, key: str, value: bytes) -> Fact | None:
        """Return what a document says, or None where the key holds none of the kinds known.

        ``ValueError`` says that the document cannot be read.
        """

    def encode_status(self, status: MoveStatus) -> tuple[str, bytes]:
        """Return the key and the document that tell operators of a move."""

    def encode_allotment_record(self, record: AllotmentRecord) -> tuple[str, bytes]:
        """Return the key and the document that keep what organisations have used."""

    def encode_vm(self, vm: RegisteredVm) -> tuple[str, bytes]:
        """Return the key and the document by which this system's VMs find each other."""


class Dialect(Protocol):
    """The headers of requests and answers."""

    #: Where the balancer asks whether this VM is ready.
    readiness_path: str

    def decode_caller(self, headers: Mapping[str, str]) -> CallerFacts:
        """Return what a caller's headers say; names are in lower case.

        ``ValueError`` says which header is not valid.
        """

    def encode_attempt(self, headers: Headers, attempt: AttemptHeaders) -> Headers:
        """Return a caller's headers as an upstream is to get them."""

    def decode_answer(self, headers: Mapping[str, str]) -> AnswerFacts:
        """Return what an upstream's headers say; names are in lower case."""

    def encode_refusal(self, retry_after_ms: int | None, request_id: str) -> Headers:
        """Return the headers of this system's own answer."""
