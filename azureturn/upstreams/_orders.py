"""Client for a model engine's control calls: load and unload versions, list loaded versions."""

import json
from dataclasses import dataclass
from typing import Any

import urllib3

from azureturn._limited_http import limited_pool_manager, read_whole

_MS_PER_S = 1_000
_VERSIONS_TIMEOUT_S = 1.0
#: Maximum number of versions of one engine; a longer list is invalid.
VERSIONS_LIMIT = 1_000
_VERSION_LIMIT_CHARACTERS = 63
#: Maximum size of an answer; enough for that many versions.
ANSWER_LIMIT_BYTES = 1 << 18


@dataclass(frozen=True)
class EngineOrder:
    """An order to load or unload a version."""

    kind: str
    version: str
    #: Fencing token: it increases whenever another VM takes over the move, so that an engine can
    #: refuse orders of the VM that had it before.
    fence: int


class OrderClient:
    """Sends orders to one engine, each once; a new client opens a new connection."""

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._pool = limited_pool_manager(num_pools=1, retries=False)

    def send(self, order: EngineOrder, *, timeout_ms: int) -> bool:
        """Send an order, and return whether the engine confirmed its completion."""
        body = {"kind": order.kind, "version": order.version, "fence": order.fence}
        answer = self._call("POST", "/orders", timeout_s=timeout_ms / _MS_PER_S, body=body)
        return answer is not None

    def versions(self) -> frozenset[str] | None:
        """Return the engine's loaded versions, or None if it gave no valid answer."""
        answer = self._call("GET", "/versions", timeout_s=_VERSIONS_TIMEOUT_S)
        versions = answer.get("versions") if isinstance(answer, dict) else None
        if not isinstance(versions, list) or len(versions) > VERSIONS_LIMIT:
            return None
        if not all(
            isinstance(version, str) and len(version) <= _VERSION_LIMIT_CHARACTERS
            for version in versions
        ):
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
                preload_content=False,
            )
            data = read_whole(response, limit_bytes=ANSWER_LIMIT_BYTES)
            return json.loads(data) if response.status == 200 else None
        except (urllib3.exceptions.HTTPError, OSError, ValueError):
            return None
