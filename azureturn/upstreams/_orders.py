"""Orders to model engines: load or unload a version; and what versions an engine has."""

import json
from dataclasses import dataclass
from typing import Any

import urllib3

_MS_PER_S = 1_000
_OBSERVE_TIMEOUT_S = 1.0
#: More versions than this are not taken from one engine.
VERSIONS_LIMIT = 1_000
_VERSION_CHARACTERS = 63


@dataclass(frozen=True)
class EngineOrder:
    """One order as an engine gets it."""

    kind: str
    version: str
    #: Fencing number of the mover that gives it.
    fence: int


class OrderClient:
    """Gives one engine orders, each sent once on a connection of its own."""

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._pool = urllib3.PoolManager(num_pools=1, retries=False)

    def send(self, order: EngineOrder, *, timeout_ms: int) -> bool:
        """Return whether the engine says that it has carried the order out."""
        body = {"kind": order.kind, "version": order.version, "fence": order.fence}
        answer = self._call("POST", "/orders", timeout_s=timeout_ms / _MS_PER_S, body=body)
        return answer is not None

    def versions(self) -> frozenset[str] | None:
        """Return the versions that the engine has, or None where it gave no usable answer."""
        answer = self._call("GET", "/versions", timeout_s=_OBSERVE_TIMEOUT_S)
        versions = answer.get("versions") if isinstance(answer, dict) else None
        if not isinstance(versions, list) or len(versions) > VERSIONS_LIMIT:
            return None
        if not all(isinstance(one, str) and len(one) <= _VERSION_CHARACTERS for one in versions):
            return None
        return frozenset(versions)

    def _call(self, method: str, path: str, *, timeout_s: float, body: Any = None) -> Any:
        try:
            response = self._pool.request(
                method,
                self._url + path,
                json=body,
                timeout=urllib3.Timeout(total=timeout_s),
                retries=False,
                redirect=False,
            )
            return json.loads(response.data) if response.status == 200 else None
        except (urllib3.exceptions.HTTPError, ValueError):
            return None
