"""Reads the body of one request, and keeps it until no further attempt can need it."""

from collections.abc import Callable
from contextlib import suppress

from azureturn.gateway.exchange._body_budget import FREE_BYTES
from azureturn.gateway.exchange._caller import CallerChannel
from azureturn.gateway.exchange._request_room import RequestRoom
from azureturn.gateway.exchange._room_reporter import RoomReporter
from azureturn.gateway.exchange._routing import LEAST_URGENT_RANK, urgency_of_head
from azureturn.gateway.exchange._services import ExchangeServices
from azureturn.gateway.site import SiteConfiguration

#: Maximum size of a body while no configuration is known.
_DEFAULT_LIMIT_BYTES = 4 << 20


class RequestBody:
    """The body of one request; a large one takes up room, which may be reclaimed.

    ``data`` is empty before :meth:`read` and after :meth:`release`.
    """

    def __init__(
        self, services: ExchangeServices, caller: CallerChannel, room_reporter: RoomReporter
    ) -> None:
        self._services = services
        self._caller = caller
        self._room_reporter = room_reporter
        #: None if the body is small enough to need no room.
        self._room: RequestRoom | None = None
        self.data = b""
        #: Whether the body is gone, so that no further attempt is possible.
        self.is_released = False

    @property
    def takes_room(self) -> bool:
        """Return whether the body is a large one."""
        return self._room is not None

    def read(self, configuration: SiteConfiguration | None) -> None:
        """Read the body; a large one as soon as there is room for it."""
        limit_bytes = configuration.limits.body_bytes if configuration else _DEFAULT_LIMIT_BYTES
        length = self._caller.has_body_up_to
        if length is not None and length <= FREE_BYTES:
            self.data = self._caller.read_body(limit_bytes)
            return
        rank, timeout_ms = LEAST_URGENT_RANK, None
        # Invalid headers are reported once the body has been read.
        with suppress(ValueError):
            facts = self._services.dialect.decode_request_headers(self._caller.header_values)
            timeout_ms = facts.caller_timeout_ms
            if configuration is not None:
                rank = urgency_of_head(facts, self._caller, configuration)
        self._room = RequestRoom(
            self._services.pool.body_budget,
            self._caller,
            self._room_reporter,
            rank=rank,
            caller_timeout_ms=timeout_ms,
        )
        self.data = self._caller.read_body(limit_bytes, self._room)
        self._room.end_reading(len(self.data))

    def yield_while_waiting(self, on_reclaimed: Callable[[], None]) -> None:
        """Let more urgent requests take the room until :meth:`keep` is called.

        ``on_reclaimed`` is called from another task, after the body has been released.
        """

        def release() -> None:
            self.release()
            on_reclaimed()

        if self._room is not None:
            self._room.yield_while_waiting(release)

    def yield_while_kept(self) -> None:
        """Let more urgent requests take the room of a body that only a further attempt needs."""
        if self._room is not None:
            self._room.yield_while_kept(self.release)

    def keep(self) -> None:
        """Do not let the room be taken."""
        if self._room is not None:
            self._room.keep()

    def release(self) -> None:
        """Drop the body, which no further attempt needs or can have, and return its room."""
        self.data, self.is_released = b"", True
        self.release_room()

    def release_room(self) -> None:
        """Return the room."""
        if self._room is not None:
            self._room.release()
