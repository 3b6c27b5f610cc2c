"""A client of the platform's key-value service, by etcd v3's published JSON gateway."""

import base64
import json
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

import urllib3

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

#: A watch is asked anew after this long without a line.
WATCH_SILENCE_MS = 30_000
_MS_PER_S = 1_000
_POOL_CONNECTIONS = 8
#: Largest answer, and largest line of a watch; values have at most 1 MB before their coding.
ANSWER_LIMIT_BYTES = 16 << 20


class KeyValueClient:
    """Compare-and-swap, reads and watches; it never sends a call twice.

    A call without an answer raises :class:`KeyValueUnavailableError`: the caller decides
    whether to read back, since only the caller knows its nonce.
    """

    def __init__(self, base_url: str, *, timeout_ms: int, key_prefix: str) -> None:
        self._base_url = base_url.rstrip("/")
        self._prefix = key_prefix
        self._pool = urllib3.PoolManager(
            num_pools=1,
            maxsize=_POOL_CONNECTIONS,
            retries=False,
            timeout=urllib3.Timeout(total=timeout_ms / _MS_PER_S),
            socket_options=list(SOCKET_OPTIONS),
        )

    @classmethod
    def from_settings(
        cls, settings: "PlatformSettings", *, least_timeout_ms: int = 0
    ) -> "KeyValueClient":
        """Return a client for the service that the settings name; some can wait for longer."""
        return cls(
            settings.key_value_url,
            timeout_ms=max(least_timeout_ms, settings.key_value_timeout_ms),
            key_prefix=settings.key_prefix,
        )

    def read(self, key: str) -> KeyValueEntry | None:
        """Return the entry at ``key``, or None where there is none."""
        data = self._call("/v3/kv/range", {"key": self._encode_key(key)})
        entries = decode_entries(data, key_prefix=self._prefix)
        return entries[0] if entries else None

    def read_prefix(self, prefix: str) -> list[KeyValueEntry]:
        """Return every entry whose key starts with ``prefix``, in order of key."""
        data = self._call("/v3/kv/range", self._range_of(prefix))
        return decode_entries(data, key_prefix=self._prefix)

    def compare_and_swap(self, key: str, value: bytes, *, expected_revision: int) -> int:
        """Write ``value`` if the key is at ``expected_revision`` (0: absent).

        The new revision is returned. :class:`CompareFailedError` says that nothing was written;
        :class:`KeyValueUnavailableError` says that it is not known.
        """
        encoded = self._encode_key(key)
        body = {
            "compare": [
                {
                    "key": encoded,
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(expected_revision),
                }
            ],
            "success": [
                {"request_put": {"key": encoded, "value": base64.b64encode(value).decode()}}
            ],
        }
        revision = decode_transaction(self._call("/v3/kv/txn", body))
        if revision is None:
            raise CompareFailedError(ErrorKind.CONFLICT, f"{key} is at another revision")
        return revision

    def watch(self, prefix: str, *, from_revision: int) -> Iterator[list[KeyValueEntry]]:
        """Yield changed entries below ``prefix`` as they come, until the connection breaks."""
        create = {**self._range_of(prefix), "start_revision": str(from_revision)}
        timeout = urllib3.Timeout(connect=1.0, read=WATCH_SILENCE_MS / _MS_PER_S)
        response = self._post(
            "/v3/watch", {"create_request": create}, timeout=timeout, preload_content=False
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
                message = "a line of the watch is over the limit"
                raise KeyValueUnavailableError(ErrorKind.KEY_VALUE_UNAVAILABLE, message)
            for line in lines:
                yield decode_watch_line(line, key_prefix=self._prefix)

    def _call(self, path: str, body: dict[str, Any]) -> bytes:
        response = self._post(path, body, preload_content=False)
        try:
            data: bytes = response.read(ANSWER_LIMIT_BYTES + 1, decode_content=False)
            if len(data) > ANSWER_LIMIT_BYTES:
                response.close()
                message = "the answer of the key-value service is over the limit"
                raise KeyValueUnavailableError(ErrorKind.KEY_VALUE_UNAVAILABLE, message)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            response.close()
            raise KeyValueUnavailableError(ErrorKind.KEY_VALUE_UNAVAILABLE, str(error)) from error
        response.release_conn()
        return data

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
            # Where one kept connection has gone silent the others may have too.
            self._pool.clear()
            raise KeyValueUnavailableError(ErrorKind.KEY_VALUE_UNAVAILABLE, str(error)) from error
        if response.status != 200:
            response.close()
            message = f"status {response.status} from the key-value service"
            raise KeyValueUnavailableError(ErrorKind.KEY_VALUE_UNAVAILABLE, message)
        return response

    def _encode_key(self, key: str) -> str:
        return base64.b64encode((self._prefix + key).encode()).decode()

    def _range_of(self, prefix: str) -> dict[str, str]:
        full = (self._prefix + prefix).encode()
        end = full[:-1] + bytes([full[-1] + 1])
        return {
            "key": base64.b64encode(full).decode(),
            "range_end": base64.b64encode(end).decode(),
        }
