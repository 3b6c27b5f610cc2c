"""Reports connections that lose the memory that they hold, and requests that find none."""

from azureturn.gateway.exchange._body_budget import BodyReservation
from azureturn.observability import EventLog, LogEvent, Metric, Metrics


class RoomReporter:
    """Logs and counts the connections that lose their room, and the requests that find none."""

    def __init__(self, log: EventLog, metrics: Metrics, request_id: str) -> None:
        self._log = log
        self._metrics = metrics
        self._request_id = request_id

    def report_reclaimed(self, phase: str, reservation: BodyReservation, held_bytes: int) -> None:
        """Log and count that room was taken from a connection; ``phase`` is what it was for."""
        self._log.error(
            LogEvent.ROOM_RECLAIMED,
            request_id=self._request_id,
            phase=phase,
            rank=reservation.rank,
            held_bytes=held_bytes,
        )
        self._metrics.count(Metric.ROOM_RECLAIMED, phase=phase)

    def report_refused(self) -> None:
        """Count that a request has waited for room in vain."""
        self._metrics.count(Metric.ROOM_REFUSED)
