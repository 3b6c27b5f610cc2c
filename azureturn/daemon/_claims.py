"""Carries out claims: compare-and-swap at the key-value service, lost answers read back."""

import json
import queue
import secrets
import threading
from dataclasses import asdict, dataclass

import xxhash

from azureturn.core import ClaimDecided, ClaimHolder, ClaimResult, WriteClaim
from azureturn.daemon._runtime import CoreRuntime
from azureturn.errors import CompareFailedError, KeyValueUnavailableError
from azureturn.platform import KeyValueClient
from azureturn.settings import VmSettings

CLAIM_THREADS = 8
_NONCE_BYTES = 12


@dataclass(frozen=True)
class Claim:
    """Who has the right to run a call; compare-and-swap makes it one VM's alone."""

    vm: str
    boot_id: str
    host: str
    peer_port: int
    nonce: str
    body_digest: str

    @classmethod
    def from_bytes(cls, value: bytes) -> "Claim":
        """Return the claim that a value holds."""
        return cls(**json.loads(value))

    def to_bytes(self) -> bytes:
        """Return the value that holds this claim."""
        return json.dumps(asdict(self)).encode()


def claim_key(organisation: str, idempotency_key: str) -> str:
    """Return the key under which a call is claimed."""
    digest = xxhash.xxh3_128_hexdigest(f"{organisation}\0{idempotency_key}".encode())
    return f"claims/{digest}"


class ClaimWriter:
    """Decides claims on threads of its own, so that the core never waits."""

    def __init__(
        self, key_value: KeyValueClient, runtime: CoreRuntime, *, vm: VmSettings, boot_id: str
    ) -> None:
        self._key_value = key_value
        self._runtime = runtime
        self._vm = vm
        self._boot_id = boot_id
        self._waiting: queue.SimpleQueue[WriteClaim] = queue.SimpleQueue()

    def start(self) -> None:
        """Start the threads."""
        for number in range(CLAIM_THREADS):
            name = f"claims-{number}"
            threading.Thread(target=self._serve, name=name, daemon=True).start()

    def write(self, action: WriteClaim) -> None:
        """Take an action in; the decision comes to the core as an event."""
        self._waiting.put(action)

    def _serve(self) -> None:
        while True:
            action = self._waiting.get()
            self._runtime.submit(self._decide(action))

    def _decide(self, action: WriteClaim) -> ClaimDecided:
        key = claim_key(action.organisation, action.idempotency_key)
        nonce = secrets.token_hex(_NONCE_BYTES)
        ours = Claim(
            vm=self._vm.name,
            boot_id=self._boot_id,
            host=self._vm.host,
            peer_port=self._vm.peer_port,
            nonce=nonce,
            body_digest=action.body_digest,
        )
        try:
            self._key_value.compare_and_swap(key, ours.to_bytes(), expected_revision=0)
        except CompareFailedError:
            return self._read_holder(action, key, ours)
        except KeyValueUnavailableError:
            return self._read_holder(action, key, ours)
        return ClaimDecided(action.request_id, ClaimResult.OURS)

    def _read_holder(self, action: WriteClaim, key: str, ours: Claim) -> ClaimDecided:
        try:
            entry = self._key_value.read(key)
        except KeyValueUnavailableError:
            return ClaimDecided(action.request_id, ClaimResult.UNAVAILABLE)
        if entry is None:
            return ClaimDecided(action.request_id, ClaimResult.UNAVAILABLE)
        holder = Claim.from_bytes(entry.value)
        if holder.nonce == ours.nonce:
            return ClaimDecided(action.request_id, ClaimResult.OURS)
        return ClaimDecided(
            action.request_id,
            ClaimResult.FOREIGN,
            holder=ClaimHolder(holder.vm, holder.boot_id, holder.host, holder.peer_port),
        )
