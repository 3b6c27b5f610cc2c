"""Client of the platform's key-value service, which has the JSON gateway API of etcd v3."""

import base64
import json
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

import urllib3

from azureturn._limited_http import limited_pool_manager, read_whole
from azureturn._socket_options import SOCKET_OPTIONS
from azureturn.errors import CompareFailedError, ErrorKind, KeyValueUnavailableError
from azureturn.store._key_value_answers import (
    KeyValueEntry,
    decode_entries,
    decode_transaction,
    decode_watch_line,
)

if TYPE_CHECKING:
    from azureturn.settings import PlatformSettings

#: Read timeout of a watch; a watch that receives no line for this long fails.
WATCH_SILENCE_MS = 30_000
_MS_PER_S = 1_000
_POOL_CONNECTIONS = 8
#: Maximum size of an answer and of one line of a watch; a value has at most 1 MB before encoding.
ANSWER_LIMIT_BYTES = 16 << 20


class KeyValueClient:
    """Reads, compare-and-swap and watches; calls are never retried.

    A call without a valid answer raises :class:`KeyValueUnavailableError`. Whether such a write
    took effect can only be determined by the code that requested it, by reading the key again and
    looking for the nonce that it wrote.
    """

    def __init__(self, base_url: str, *, timeout_ms: int, key_prefix: str) -> None:
        self._base_url = base_url.rstrip("/")
        self._prefix = key_prefix
        self._pool = limited_pool_manager(
            num_pools=1,
            maxsize=_POOL_CONNECTIONS,
            retries=False,
            timeout=urllib3.Timeout(total=timeout_ms / _MS_PER_S),
            socket_options=list(SOCKET_OPTIONS),
        )

    @classmethod
    def from_settings(
        cls, settings: "PlatformSettings", *, min_timeout_ms: int = 0
    ) -> "KeyValueClient":
        """Return a client for the service in the settings.

        ``min_timeout_ms`` raises the timeout for callers that can wait longer than the settings
        allow for.
        """
        return cls(
            settings.key_value_url,
            timeout_ms=max(min_timeout_ms, settings.key_value_timeout_ms),
            key_prefix=settings.key_prefix,
        )

    def read(self, key: str) -> KeyValueEntry | None:
        """Return the entry at ``key``, or None if there is none."""
        data = self._call("/v3/kv/range", {"key": self._encode_key(key)})
        entries = decode_entries(data, key_prefix=self._prefix)
        return entries[0] if entries else None

    def read_prefix(self, prefix: str) -> list[KeyValueEntry]:
        """Return all entries whose key starts with ``prefix``, in key order."""
        data = self._call("/v3/kv/range", self._prefix_range(prefix))
        return decode_entries(data, key_prefix=self._prefix)

    def compare_and_swap(self, key: str, value: bytes, *, expected_revision: int) -> int:
        """Write ``value`` if the key is at ``expected_revision`` (0: absent).

        Return the new revision. :class:`CompareFailedError` means that nothing was written; after
        :class:`KeyValueUnavailableError` the result is not known.
        """
        encoded_key = self._encode_key(key)
        body = {
            "compare": [
                {
                    "key": encoded_key,
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(expected_revision),
                }
            ],
            "success": [
                {"request_put": {"key": encoded_key, "value": base64.b64encode(value).decode()}}
            ],
        }
        revision = decode_transaction(self._call("/v3/kv/txn", body))
        if revision is None:
            raise CompareFailedError(ErrorKind.CONFLICT, f"{key} is at another revision")
        return revision

    def watch(self, prefix: str, *, from_revision: int) -> Iterator[list[KeyValueEntry]]:
        """Yield changed entries below ``prefix`` as they arrive, until the connection fails."""
        create_request = {**self._prefix_range(prefix), "start_revision": str(from_revision)}
        timeout = urllib3.Timeout(connect=1.0, read=WATCH_SILENCE_MS / _MS_PER_S)
        response = self._post(
            "/v3/watch", {"create_request": create_request}, timeout=timeout, preload_content=False
        )
        try:
            yield from self._watch_lines(response)
        except urllib3.exceptions.HTTPError as error:
            raise KeyValueUnavailableError(ErrorKind.KEY_VALUE_UNAVAILABLE, str(error)) from error
        finally:
            response.close()

    def _watch_lines(self, response: Any) -> Iterator[list[KeyValueEntry]]:
        pending = b""
        for piece in response.stream(65_536, decode_content=False):
            pending += piece
            *lines, pending = pending.split(b"\n")
            if len(pending) > ANSWER_LIMIT_BYTES:
                message = "a line of the watch exceeds the limit"
                raise KeyValueUnavailableError(ErrorKind.KEY_VALUE_UNAVAILABLE, message)
            for line in lines:
                yield decode_watch_line(line, key_prefix=self._prefix)

    def _call(self, path: str, body: dict[str, Any]) -> bytes:
        response = self._post(path, body, preload_content=False)
        try:
            return read_whole(response, limit_bytes=ANSWER_LIMIT_BYTES)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise KeyValueUnavailableError(ErrorKind.KEY_VALUE_UNAVAILABLE, str(error)) from error

    def _post(self, path: str, body: dict[str, Any], **options: Any) -> Any:
        try:
            response = self._pool.request(
                "POST",
                self._base_url + path,
                body=json.dumps(body).encode(),
                headers={"Content-Type": "application/json"},
                redirect=False,
                **options,
            )
        except urllib3.exceptions.HTTPError as error:
            # If one pooled connection is dead, the others may be as well.
            self._pool.clear()
            raise KeyValueUnavailableError(ErrorKind.KEY_VALUE_UNAVAILABLE, str(error)) from error
        if response.status != 200:
            response.close()
            message = f"status {response.status} from the key-value service"
            raise KeyValueUnavailableError(ErrorKind.KEY_VALUE_UNAVAILABLE, message)
        return response

    def _encode_key(self, key: str) -> str:
        return base64.b64encode((self._prefix + key).encode()).decode()

    def _prefix_range(self, prefix: str) -> dict[str, str]:
        full_prefix = (self._prefix + prefix).encode()
        end = full_prefix[:-1] + bytes([full_prefix[-1] + 1])
        return {
            "key": base64.b64encode(full_prefix).decode(),
            "range_end": base64.b64encode(end).decode(),
        }
