"""The platform's key-value service: a subset of the JSON gateway of etcd v3.

Supports range, transaction (compare on mod or create revision), leases and watches. Every call
is counted, a watch as one call; calls over the rate limit are refused with status 429.
"""

import argparse
import asyncio
import base64
import json
import time
from dataclasses import dataclass, field, replace
from typing import Any

from aiohttp import web

from standins._server import register_standin, replace_switches

VALUE_LIMIT_BYTES = 1 << 20


@dataclass(frozen=True)
class Switches:
    """Switches of the stand-in: ``--switches`` at the start, ``POST /control`` at run time."""

    #: Accept connections but do not answer.
    outage: bool = False
    #: Delay of every call.
    slow_ms: int = 0
    #: Number of next writes that are applied, but not answered.
    lose_write_answers: int = 0
    #: Number of next writes that are applied later and not answered: their connection is closed
    #: at once.
    delay_writes: int = 0
    #: Time after which writes counted by ``delay_writes`` are applied.
    delay_write_ms: int = 500
    writes_per_s: float = 400.0
    reads_per_s: float = 2_000.0


@dataclass
class _Entry:
    value: str
    create_revision: int
    mod_revision: int
    version: int
    lease: str = "0"


@dataclass
class _TokenBucket:
    tokens: float = 50.0
    refilled_at_s: float = field(default_factory=time.monotonic)

    def try_acquire(self, rate_per_s: float) -> bool:
        now_s = time.monotonic()
        self.tokens = min(rate_per_s, self.tokens + (now_s - self.refilled_at_s) * rate_per_s)
        self.refilled_at_s = now_s
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class KeyValue:
    """State and request handlers of the key-value service."""

    def __init__(self, switches: Switches) -> None:
        self.switches = switches
        self.revision = 1
        self.entries: dict[str, _Entry] = {}
        #: Changes, oldest first: revision, key, and the entry or None if it was deleted.
        self.history: list[tuple[int, str, _Entry | None]] = []
        #: Time of expiry and time to live by lease, in s.
        self.leases: dict[str, tuple[float, float]] = {}
        self.next_lease = 1_000
        self.writes = _TokenBucket()
        self.reads = _TokenBucket()
        self.calls: dict[str, int] = {}
        self.changed = asyncio.Event()

    @web.middleware
    async def apply_switches(self, request: web.Request, handler: Any) -> web.StreamResponse:
        if not request.path.startswith("/v3/"):
            return await handler(request)  # type: ignore[no-any-return]
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        if self.switches.outage:
            await self._stall_until_recovery(request)
        if self.switches.slow_ms:
            await asyncio.sleep(self.switches.slow_ms / 1_000)
        is_write = request.path in ("/v3/kv/txn", "/v3/kv/put", "/v3/lease/grant")
        bucket = self.writes if is_write else self.reads
        rate = self.switches.writes_per_s if is_write else self.switches.reads_per_s
        if not bucket.try_acquire(rate):
            return web.json_response({"error": "rate limit", "code": 8}, status=429)
        return await handler(request)  # type: ignore[no-any-return]

    async def _stall_until_recovery(self, request: web.Request) -> None:
        while self.switches.outage:
            await asyncio.sleep(0.02)
        assert request.transport is not None
        request.transport.close()

    async def range(self, request: web.Request) -> web.Response:
        body = await request.json()
        self._expire_leases()
        first = _decode(body["key"])
        last = _decode(body["range_end"]) if body.get("range_end") else None
        names = (
            [first]
            if last is None
            else sorted(name for name in self.entries if first <= name < last)
        )
        found = [
            _key_value_pair(name, self.entries[name]) for name in names if name in self.entries
        ]
        return web.json_response({"header": self._header(), "kvs": found, "count": str(len(found))})

    async def txn(self, request: web.Request) -> web.Response:
        body = await request.json()
        self._expire_leases()
        if self.switches.delay_writes > 0:
            self._decrement("delay_writes")
            asyncio.get_running_loop().call_later(
                self.switches.delay_write_ms / 1_000, self._apply, body
            )
            return self._drop_answer(request)
        answer = self._apply(body)
        if answer["succeeded"] and self.switches.lose_write_answers > 0:
            self._decrement("lose_write_answers")
            return self._drop_answer(request)
        return web.json_response(answer)

    def _decrement(self, name: str) -> None:
        left = getattr(self.switches, name) - 1
        self.switches = replace_switches(self.switches, {name: left})

    def _drop_answer(self, request: web.Request) -> web.Response:
        assert request.transport is not None
        request.transport.close()
        return web.Response()

    def _apply(self, body: dict[str, Any]) -> dict[str, Any]:
        succeeded = all(self._compare_holds(compare) for compare in body.get("compare", []))
        responses = [
            self._execute(operation)
            for operation in body.get("success" if succeeded else "failure", [])
        ]
        return {"header": self._header(), "succeeded": succeeded, "responses": responses}

    def _compare_holds(self, compare: dict[str, Any]) -> bool:
        entry = self.entries.get(_decode(compare["key"]))
        if compare["target"] == "MOD":
            return (entry.mod_revision if entry else 0) == int(compare["mod_revision"])
        return (entry.create_revision if entry else 0) == int(compare["create_revision"])

    def _execute(self, operation: dict[str, Any]) -> dict[str, Any]:
        if "request_put" in operation:
            put = operation["request_put"]
            self._put(_decode(put["key"]), put["value"], str(put.get("lease", "0")))
            return {"response_put": {"header": self._header()}}
        if "request_delete_range" in operation:
            self._delete(_decode(operation["request_delete_range"]["key"]))
            return {"response_delete_range": {"header": self._header()}}
        name = _decode(operation["request_range"]["key"])
        found = [_key_value_pair(name, self.entries[name])] if name in self.entries else []
        return {"response_range": {"header": self._header(), "kvs": found}}

    def _put(self, name: str, value: str, lease: str) -> None:
        if len(value) * 3 // 4 > VALUE_LIMIT_BYTES:
            raise web.HTTPRequestEntityTooLarge(VALUE_LIMIT_BYTES, len(value))
        self.revision += 1
        old_entry = self.entries.get(name)
        created = old_entry.create_revision if old_entry else self.revision
        version = old_entry.version + 1 if old_entry else 1
        self.entries[name] = _Entry(value, created, self.revision, version, lease)
        self._append_history(name, self.entries[name])

    def _delete(self, name: str) -> None:
        if self.entries.pop(name, None) is not None:
            self.revision += 1
            self._append_history(name, None)

    def _append_history(self, name: str, entry: _Entry | None) -> None:
        self.history.append((self.revision, name, entry))
        del self.history[:-10_000]
        self.changed.set()
        self.changed = asyncio.Event()

    async def watch(self, request: web.Request) -> web.StreamResponse:
        create = (await request.json())["create_request"]
        first = _decode(create["key"])
        last = _decode(create["range_end"]) if create.get("range_end") else first + "\0"
        seen_revision = int(create.get("start_revision", self.revision + 1)) - 1
        response = web.StreamResponse()
        response.content_type = "application/json"
        await response.prepare(request)
        await _write_line(response, {"header": self._header(), "created": True})
        while not self.switches.outage:
            changed = self.changed
            unseen = [
                change
                for change in self.history
                if change[0] > seen_revision and first <= change[1] < last
            ]
            if unseen:
                events = [_event(name, entry) for _, name, entry in unseen]
                await _write_line(response, {"header": self._header(), "events": events})
            seen_revision = self.revision
            await asyncio.wait([asyncio.ensure_future(changed.wait())], timeout=0.2)
        await self._stall_until_recovery(request)
        return response

    async def grant(self, request: web.Request) -> web.Response:
        ttl_s = float((await request.json())["TTL"])
        self.next_lease += 1
        lease = str(self.next_lease)
        self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return web.json_response({"header": self._header(), "ID": lease, "TTL": str(ttl_s)})

    async def keep_alive(self, request: web.Request) -> web.Response:
        self._expire_leases()
        lease = str((await request.json())["ID"])
        if lease not in self.leases:
            return web.json_response({"result": {"ID": lease, "TTL": "0"}})
        ttl_s = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return web.json_response({"result": {"ID": lease, "TTL": str(ttl_s)}})

    async def revoke(self, request: web.Request) -> web.Response:
        self._end_lease(str((await request.json())["ID"]))
        return web.json_response({"header": self._header()})

    def _expire_leases(self) -> None:
        now_s = time.monotonic()
        for lease in [name for name, (ends_s, _) in self.leases.items() if ends_s <= now_s]:
            self._end_lease(lease)

    def _end_lease(self, lease: str) -> None:
        self.leases.pop(lease, None)
        for name in [name for name, entry in self.entries.items() if entry.lease == lease]:
            self._delete(name)

    def _header(self) -> dict[str, str]:
        return {"revision": str(self.revision)}

    async def counts(self, _request: web.Request) -> web.Response:
        return web.json_response(self.calls)

    async def control(self, request: web.Request) -> web.Response:
        self.switches = replace_switches(self.switches, await request.json())
        return web.json_response({})


def _decode(text: str) -> str:
    return base64.b64decode(text).decode()


def _key_value_pair(name: str, entry: _Entry) -> dict[str, str]:
    return {
        "key": base64.b64encode(name.encode()).decode(),
        "value": entry.value,
        "create_revision": str(entry.create_revision),
        "mod_revision": str(entry.mod_revision),
        "version": str(entry.version),
        "lease": entry.lease,
    }


def _event(name: str, entry: _Entry | None) -> dict[str, Any]:
    if entry is None:
        return {"type": "DELETE", "kv": {"key": base64.b64encode(name.encode()).decode()}}
    return {"type": "PUT", "kv": _key_value_pair(name, entry)}


async def _write_line(response: web.StreamResponse, result: dict[str, Any]) -> None:
    await response.write(json.dumps({"result": result}).encode() + b"\n")


@register_standin("key_value")
def make_key_value(arguments: argparse.Namespace) -> web.Application:
    """Return the application of the key-value service."""
    service = KeyValue(replace(Switches(), **json.loads(arguments.switches)))
    application = web.Application(client_max_size=1 << 22, middlewares=[service.apply_switches])
    application.add_routes(
        [
            web.post("/v3/kv/range", service.range),
            web.post("/v3/kv/txn", service.txn),
            web.post("/v3/watch", service.watch),
            web.post("/v3/lease/grant", service.grant),
            web.post("/v3/lease/keepalive", service.keep_alive),
            web.post("/v3/lease/revoke", service.revoke),
            web.get("/calls", service.counts),
            web.post("/control", service.control),
        ]
    )
    return application
