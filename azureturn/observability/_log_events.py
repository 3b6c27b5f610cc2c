"""The one list of what is logged: every event, its fields, and how often it may be written."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType

#: Lines of one event that may come at once, and then per second.
ORDINARY_BURST = 2_000
ORDINARY_RATE_PER_S = 500.0
ERROR_BURST = 50
ERROR_RATE_PER_S = 5.0


class LogEvent(StrEnum):
    """Every event that is logged."""

    DAEMON_STARTED = "daemon_started"
    DAEMON_STOPPING = "daemon_stopping"
    DAEMON_STOPPED = "daemon_stopped"
    REQUEST_ENDED = "request_ended"
    REQUEST_REFUSED = "request_refused"
    OUTCOME_ASKED = "outcome_asked"
    CONFIGURATION_IN_FORCE = "configuration_in_force"
    CONFIGURATION_REFUSED = "configuration_refused"
    CONFIGURATION_UNKNOWN_AT_START = "configuration_unknown_at_start"
    MOVE_SHOWN = "move_shown"
    MOVE_RECORD_REFUSED = "move_record_refused"
    VM_LIST_UNAVAILABLE = "vm_list_unavailable"
    KEY_VALUE_UNAVAILABLE = "key_value_unavailable"
    ATTEMPT_PLACED = "attempt_placed"
    ATTEMPT_ENDED = "attempt_ended"
    EXCHANGE_ENDED = "exchange_ended"
    UPSTREAM_CHANGED = "upstream_changed"
    UPSTREAM_REACHED = "upstream_reached"
    DOCUMENT_REFUSED = "document_refused"
    KEY_VALUE_REGAINED = "key_value_regained"
    STORE_HISTORY_LOST = "store_history_lost"
    MOVE_STATUS_WRITTEN = "move_status_written"
    ALLOTMENT_RECORD_WRITTEN = "allotment_record_written"
    ALLOTMENTS_RECALLED = "allotments_recalled"
    PEER_UNREACHABLE = "peer_unreachable"
    PEER_REPORT_REFUSED = "peer_report_refused"
    STRAIN_CHANGED = "strain_changed"
    SETTINGS_RELOADED = "settings_reloaded"
    INTERNAL_ERROR = "internal_error"
    LINES_LEFT_OUT = "lines_left_out"


@dataclass(frozen=True)
class LogEventRow:
    """What one event tells."""

    summary: str
    fields: tuple[str, ...]
    burst_lines: int = ORDINARY_BURST
    rate_per_s: float = ORDINARY_RATE_PER_S


def _error_row(summary: str, *fields: str) -> LogEventRow:
    return LogEventRow(summary, fields, ERROR_BURST, ERROR_RATE_PER_S)


LOG_EVENTS: Mapping[LogEvent, LogEventRow] = MappingProxyType(
    {
        LogEvent.DAEMON_STARTED: LogEventRow("The daemon serves.", ("host", "port", "peer_port")),
        LogEvent.DAEMON_STOPPING: LogEventRow("A planned stop has begun.", ()),
        LogEvent.DAEMON_STOPPED: LogEventRow(
            "The daemon has stopped.", ("requests_cut", "claims_unsettled")
        ),
        LogEvent.REQUEST_ENDED: LogEventRow(
            "A request has its final answer, or its caller is gone.",
            (
                "request_id",
                "organisation",
                "route",
                "tier",
                "upstream",
                "forwarded_to_vm",
                "ended",
                "run_state",
                "took_ms",
            ),
        ),
        LogEvent.REQUEST_REFUSED: LogEventRow(
            "A request was refused before it was known what it asks for.",
            ("request_id", "kind", "run_state"),
            ERROR_BURST,
            ERROR_RATE_PER_S,
        ),
        LogEvent.OUTCOME_ASKED: LogEventRow(
            "Another VM asked this one, for its request, what became of a call claimed here.",
            ("request_id",),
        ),
        LogEvent.CONFIGURATION_IN_FORCE: LogEventRow(
            "A revision of the shared settings is in force.", ("revision", "source")
        ),
        LogEvent.CONFIGURATION_REFUSED: _error_row(
            "A revision has mistakes and was not put in force; the one before stays.", "error"
        ),
        LogEvent.CONFIGURATION_UNKNOWN_AT_START: _error_row(
            "Neither the key-value service nor a peer told the revision in force in time; "
            "the daemon serves by its settings files until one does."
        ),
        LogEvent.MOVE_SHOWN: LogEventRow(
            "What this VM shows of a version move has changed.",
            ("model", "move", "state", "reason", "detail", "share"),
            ERROR_BURST,
            ERROR_RATE_PER_S,
        ),
        LogEvent.MOVE_RECORD_REFUSED: _error_row(
            "A value in the key-value service is not a move's record and was left out.", "error"
        ),
        LogEvent.VM_LIST_UNAVAILABLE: _error_row(
            "The platform's list of VMs gave no answer.", "error"
        ),
        LogEvent.KEY_VALUE_UNAVAILABLE: _error_row(
            "The platform's key-value service gave no answer.", "error"
        ),
        LogEvent.ATTEMPT_PLACED: LogEventRow(
            "A request of the gateway is about to be sent to an upstream.",
            (
                "request_id",
                "organisation",
                "units",
                "upstream",
                "candidates",
                "expected_ms",
                "outstanding",
                "queued_ms",
                "report_age_ms",
            ),
        ),
        LogEvent.ATTEMPT_ENDED: LogEventRow(
            "An attempt at one upstream has ended.",
            (
                "request_id",
                "upstream",
                "result",
                "first_event_ms",
                "longest_pause_ms",
                "events",
                "took_ms",
                "error",
            ),
        ),
        LogEvent.EXCHANGE_ENDED: LogEventRow(
            "A request of the gateway has its final answer, or its caller is gone.",
            (
                "request_id",
                "organisation",
                "route",
                "rank",
                "units",
                "patience_ms",
                "upstream",
                "ended",
                "attempts",
                "configuration",
                "took_ms",
                "error",
            ),
        ),
        LogEvent.UPSTREAM_CHANGED: LogEventRow(
            "An upstream came, is leaving, or is gone.",
            ("upstream", "state", "version", "revision", "source"),
        ),
        LogEvent.UPSTREAM_REACHED: LogEventRow(
            "An upstream that could not be reached can be connected to again.", ("upstream",)
        ),
        LogEvent.DOCUMENT_REFUSED: _error_row(
            "A document of the store cannot be read and was left out.", "key", "error"
        ),
        LogEvent.KEY_VALUE_REGAINED: LogEventRow(
            "The key-value service answers again.", ("revision",)
        ),
        LogEvent.STORE_HISTORY_LOST: _error_row(
            "The key-value service dropped its history; everything is read anew.", "error"
        ),
        LogEvent.MOVE_STATUS_WRITTEN: LogEventRow(
            "What is to be said of a move was written, or another VM was first.",
            ("service", "version", "state", "revision", "outcome"),
        ),
        LogEvent.ALLOTMENT_RECORD_WRITTEN: LogEventRow(
            "What organisations have used was written, or another VM was first.",
            ("processes", "revision", "outcome"),
        ),
        LogEvent.ALLOTMENTS_RECALLED: LogEventRow(
            "What was used before this process began was read, or has to be guessed.",
            ("processes", "age_ms", "outcome"),
        ),
        LogEvent.PEER_UNREACHABLE: _error_row(
            "Another VM could not be told or asked.", "vm_host", "error"
        ),
        LogEvent.PEER_REPORT_REFUSED: _error_row("A datagram was no report of a peer.", "error"),
        LogEvent.STRAIN_CHANGED: LogEventRow(
            "This VM lacks processor time and steps back, or no longer does.",
            ("state", "lateness_ms"),
        ),
        LogEvent.SETTINGS_RELOADED: LogEventRow(
            "The settings were read again; those that are not valid leave the others in force.",
            ("outcome", "error"),
        ),
        LogEvent.INTERNAL_ERROR: _error_row(
            "azureturn itself failed; the type and the place of the failure are told.",
            "request_id",
            "error",
        ),
        LogEvent.LINES_LEFT_OUT: LogEventRow(
            "Lines of an event were too many and were left out.", ("of_event", "line_count")
        ),
    }
)

#: What each field holds; units are in the names.
LOG_FIELDS: Mapping[str, str] = MappingProxyType(
    {
        "time": "When, in UTC, by ISO 8601.",
        "level": "`info` or `error`.",
        "event": "The event's name.",
        "vm": "The VM that wrote the line.",
        "request_id": "The request's id; the same on every VM that has to do with it.",
        "organisation": "Name of the calling organisation.",
        "route": "Name of the route.",
        "tier": "Name of the tier that the request was served in.",
        "upstream": "Name of the upstream that it was dispatched to, empty if to none.",
        "forwarded_to_vm": "The VM that took the request over and answered it; empty if none.",
        "ended": "`answered`, or the error kind.",
        "kind": "The error kind; see ERRORS.md.",
        "run_state": "`not_run`, `ran` or `unknown`.",
        "took_ms": "Time from arrival to the end.",
        "revision": "The key-value service's own revision.",
        "source": "Where the revision was learned: `file`, `watch`, `poll` or `peer`.",
        "model": "Name of a model.",
        "move": "Id of a version move.",
        "state": "The move's state; see OPERATIONS.md.",
        "reason": "Why the move is in its state.",
        "detail": "The reason in a sentence, with counts.",
        "share": "Share of the requests that this VM gives to the new version, 0 to 1.",
        "error": "Type and place of a failure, or our own sentence; never a caller's text.",
        "host": "IP number that the daemon listens at.",
        "port": "Port for callers.",
        "peer_port": "Port for VMs and operators.",
        "claims_unsettled": "Calls that ended here and whose end the service does not hold.",
        "requests_cut": "Requests in flight that the stop cut; 0 in a graceful one.",
        "candidates": "Upstreams that could have been chosen.",
        "expected_ms": "Expected time to the first event, or to a plain answer.",
        "outstanding": "Requests at the upstream from all VMs, by estimate.",
        "queued_ms": "Time from the request's arrival.",
        "processes": "Processes whose use is told of.",
        "age_ms": "Age of what was read; -1 where there was nothing.",
        "report_age_ms": "Age of the oldest peer's report that counted; -1 without peers.",
        "result": "What became of an attempt.",
        "longest_pause_ms": "Longest time between two events of a stream.",
        "first_event_ms": "Time from the request's arrival to the first event; -1 without one.",
        "events": "Events that came.",
        "rank": "The tier's rank; 0 is the most urgent.",
        "lateness_ms": "By how much this process's own ticks come late on average.",
        "patience_ms": "How long the caller said that it waits; -1 where it did not.",
        "units": "What the request counts against its organisation's allotment.",
        "attempts": "How often the request was sent.",
        "configuration": "Version of the configuration by which the request was served.",
        "version": "Version of an upstream or of a move.",
        "key": "Key in the key-value service.",
        "service": "Name of a service.",
        "outcome": "What became of a write.",
        "vm_host": "IP number of another VM.",
        "of_event": "The event whose lines were left out.",
        "line_count": "How many lines were left out since the last such line.",
    }
)
