"""Definitions of all log events: their fields, and the rate limits of their lines."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType

#: Rate limits per event: lines in a burst, and lines per second after it.
DEFAULT_BURST_LINES = 2_000
DEFAULT_RATE_PER_S = 500.0
ERROR_BURST_LINES = 50
ERROR_RATE_PER_S = 5.0


class LogEvent(StrEnum):
    """Names of all log events."""

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
    ATTEMPT_STALLED = "attempt_stalled"
    ATTEMPT_ENDED = "attempt_ended"
    EXCHANGE_ENDED = "exchange_ended"
    UPSTREAM_CHANGED = "upstream_changed"
    UPSTREAM_REACHED = "upstream_reached"
    UPSTREAM_ENDED = "upstream_ended"
    UPSTREAM_AVAILABILITY = "upstream_availability"
    UPSTREAM_COLD = "upstream_cold"
    ZONE_EVACUATION = "zone_evacuation"
    UPSTREAMS_RETAINED = "upstreams_retained"
    UPSTREAMS_SILENT = "upstreams_silent"
    ROOM_RECLAIMED = "room_reclaimed"
    RELAY_OPENED = "relay_opened"
    RELAY_FAILED = "relay_failed"
    REACHABILITY_CHANGED = "reachability_changed"
    DOCUMENT_REFUSED = "document_refused"
    KEY_VALUE_REGAINED = "key_value_regained"
    STORE_HISTORY_LOST = "store_history_lost"
    STORE_RESTORED = "store_restored"
    STORE_ERA_INVALID = "store_era_invalid"
    STORE_ROLE_CHANGED = "store_role_changed"
    MOVE_STATUS_WRITTEN = "move_status_written"
    ALLOTMENT_RECORD_WRITTEN = "allotment_record_written"
    ALLOTMENTS_RECALLED = "allotments_recalled"
    PROCESSING_LIMIT_CHANGED = "processing_limit_changed"
    UPSTREAM_LIMIT_CHANGED = "upstream_limit_changed"
    QUARANTINE_CHANGED = "quarantine_changed"
    QUARANTINE_RECORD_WRITTEN = "quarantine_record_written"
    PEER_UNREACHABLE = "peer_unreachable"
    PEER_REPORT_REFUSED = "peer_report_refused"
    STRAIN_CHANGED = "strain_changed"
    SETTINGS_RELOADED = "settings_reloaded"
    INTERNAL_ERROR = "internal_error"
    LINES_LEFT_OUT = "lines_left_out"


@dataclass(frozen=True)
class LogEventDefinition:
    """Description, fields and rate limit of one event."""

    summary: str
    fields: tuple[str, ...]
    burst_lines: int = DEFAULT_BURST_LINES
    rate_per_s: float = DEFAULT_RATE_PER_S


def _error_definition(summary: str, *fields: str) -> LogEventDefinition:
    return LogEventDefinition(summary, fields, ERROR_BURST_LINES, ERROR_RATE_PER_S)


LOG_EVENTS: Mapping[LogEvent, LogEventDefinition] = MappingProxyType(
    {
        LogEvent.DAEMON_STARTED: LogEventDefinition(
            "The daemon has started and accepts requests.", ("host", "port", "peer_port")
        ),
        LogEvent.DAEMON_STOPPING: LogEventDefinition("A planned stop has begun.", ()),
        LogEvent.DAEMON_STOPPED: LogEventDefinition(
            "The daemon has stopped.", ("requests_cut", "claims_unsettled")
        ),
        LogEvent.REQUEST_ENDED: LogEventDefinition(
            "A request has received its final response, or its caller has disconnected.",
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
        LogEvent.REQUEST_REFUSED: LogEventDefinition(
            "A request was refused before it was assigned to a route.",
            ("request_id", "kind", "run_state"),
            ERROR_BURST_LINES,
            ERROR_RATE_PER_S,
        ),
        LogEvent.OUTCOME_ASKED: LogEventDefinition(
            "Another VM asked, for its own request, for the outcome of a call claimed by this VM.",
            ("request_id",),
        ),
        LogEvent.CONFIGURATION_IN_FORCE: LogEventDefinition(
            "A revision of the shared settings has taken effect.", ("revision", "source")
        ),
        LogEvent.CONFIGURATION_REFUSED: _error_definition(
            "A revision is invalid and was not applied; the previous one remains in force.", "error"
        ),
        LogEvent.CONFIGURATION_UNKNOWN_AT_START: _error_definition(
            "Neither the key-value service nor a peer supplied the revision in force in time; "
            "the daemon uses its settings files until one does."
        ),
        LogEvent.MOVE_SHOWN: LogEventDefinition(
            "The state of a version move, as this VM reports it, has changed.",
            ("model", "move", "state", "reason", "detail", "share"),
            ERROR_BURST_LINES,
            ERROR_RATE_PER_S,
        ),
        LogEvent.MOVE_RECORD_REFUSED: _error_definition(
            "A value in the key-value service is not a valid move record and was ignored.", "error"
        ),
        LogEvent.VM_LIST_UNAVAILABLE: _error_definition(
            "The platform's VM list did not respond.", "error"
        ),
        LogEvent.KEY_VALUE_UNAVAILABLE: _error_definition(
            "The platform's key-value service did not respond; a watch goes on from `revision`.",
            "failures",
            "silent_ms",
            "revision",
            "error",
        ),
        LogEvent.ATTEMPT_PLACED: LogEventDefinition(
            "The gateway is about to send a request to an upstream.",
            (
                "request_id",
                "organisation",
                "units",
                "upstream",
                "relay",
                "candidates",
                "expected_ms",
                "outstanding",
                "queued_ms",
                "report_age_ms",
            ),
        ),
        LogEvent.ATTEMPT_STALLED: LogEventDefinition(
            "An upstream is silent. Another has taken the request over (``taken_over``), or the "
            "attempt goes on, since none has room for it (``kept``; logged once).",
            ("request_id", "upstream", "silent_ms", "outcome"),
        ),
        LogEvent.ATTEMPT_ENDED: LogEventDefinition(
            "An attempt at one upstream has ended.",
            (
                "request_id",
                "upstream",
                "result",
                "request_digest",
                "prompt_parts",
                "limit_per_s",
                "rejection_limit_per_s",
                "leaving",
                "retry_after_ms",
                "answering_ms",
                "first_event_ms",
                "longest_pause_ms",
                "events",
                "framing",
                "partial_event_bytes",
                "took_ms",
                "error",
            ),
        ),
        LogEvent.EXCHANGE_ENDED: LogEventDefinition(
            "A request to the gateway has received its final response, or its caller has "
            "disconnected.",
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
                "unread_ms",
                "took_ms",
                "error",
            ),
        ),
        LogEvent.UPSTREAM_CHANGED: LogEventDefinition(
            "An upstream was added, is leaving, or was removed.",
            ("upstream", "state", "version", "revision", "source"),
        ),
        LogEvent.UPSTREAM_REACHED: LogEventDefinition(
            "An upstream that was unreachable accepts connections again.", ("upstream",)
        ),
        LogEvent.UPSTREAM_ENDED: LogEventDefinition(
            "An upstream refuses connections after it broke off an answer: its process has ended.",
            ("upstream",),
        ),
        LogEvent.UPSTREAMS_RETAINED: LogEventDefinition(
            "Upstreams are used although their registrations are missing since an outage of the "
            "key-value service; see `outcome`.",
            ("names", "outage_ms", "outcome"),
        ),
        LogEvent.UPSTREAMS_SILENT: LogEventDefinition(
            "Requests wait for upstreams, and none has responded over a direct connection for "
            "some time.",
            ("waiting", "upstreams", "silent_ms", "live_peers"),
        ),
        LogEvent.PROCESSING_LIMIT_CHANGED: LogEventDefinition(
            "This VM works on more or fewer requests at the same time, since tasks are delayed or "
            "are not any more.",
            ("limit", "in_progress", "queued", "delay_ms"),
        ),
        LogEvent.UPSTREAM_LIMIT_CHANGED: LogEventDefinition(
            "An engine gets at most `limit` requests at the same time, since with more it serves "
            "less, or as many as it has slots again.",
            ("upstream", "limit", "slots", "slowdown"),
        ),
        LogEvent.DOCUMENT_REFUSED: _error_definition(
            "A document in the store cannot be read and was ignored.", "key", "error"
        ),
        LogEvent.KEY_VALUE_REGAINED: LogEventDefinition(
            "The key-value service responds again.", ("revision", "outage_ms")
        ),
        LogEvent.STORE_HISTORY_LOST: _error_definition(
            "The key-value service has discarded its history; all documents are read again.",
            "error",
        ),
        LogEvent.STORE_RESTORED: LogEventDefinition(
            "The key-value service has come back from a copy; all documents were read again.",
            ("era", "old_era", "documents", "missing", "source"),
        ),
        LogEvent.STORE_ERA_INVALID: _error_definition(
            "A response of the key-value service names no valid era, or an earlier one.",
            "era",
            "error",
        ),
        LogEvent.STORE_ROLE_CHANGED: LogEventDefinition(
            "This VM watches the key-value service for its zone (`watches`), or learns of changes "
            "from the VMs that do (`follows`).",
            ("outcome", "live_peers"),
        ),
        LogEvent.MOVE_STATUS_WRITTEN: LogEventDefinition(
            "The status of a move was written, or another VM wrote first; see `outcome`.",
            ("service", "version", "state", "reason", "revision", "outcome"),
        ),
        LogEvent.ALLOTMENT_RECORD_WRITTEN: LogEventDefinition(
            "The record of allotment use was written, or another VM wrote first; see `outcome`.",
            ("processes", "revision", "outcome"),
        ),
        LogEvent.ALLOTMENTS_RECALLED: LogEventDefinition(
            "The use of allotments before this process started was read, or has to be estimated.",
            ("processes", "age_ms", "outcome"),
        ),
        LogEvent.UPSTREAM_AVAILABILITY: LogEventDefinition(
            "An upstream has said in a response that it leaves, or wants no requests for a while.",
            ("upstream", "source", "pause_ms", "outcome"),
        ),
        LogEvent.UPSTREAM_COLD: LogEventDefinition(
            "An upstream is taken for cold, so that all VMs together send it few requests a "
            "second, or is no longer.",
            ("upstream", "source", "cold_left_ms", "outcome"),
        ),
        LogEvent.ZONE_EVACUATION: LogEventDefinition(
            "Operators have taken the upstreams of an availability zone out of service, or "
            "returned them to service; `kept` if only a restored store lacks the order.",
            ("zone", "outcome", "revision", "source"),
        ),
        LogEvent.ROOM_RECLAIMED: _error_definition(
            "A connection has lost the memory that it held for a body, since it made less progress "
            "than the least pace, or a more urgent request needed it; `phase` says what for.",
            "request_id",
            "phase",
            "rank",
            "held_bytes",
        ),
        LogEvent.RELAY_OPENED: LogEventDefinition(
            "A peer asked for a connection to an upstream that it cannot reach itself.",
            ("upstream", "peer", "outcome", "relays"),
        ),
        LogEvent.RELAY_FAILED: _error_definition(
            "A peer's request for a relayed connection could not be read or answered.", "error"
        ),
        LogEvent.REACHABILITY_CHANGED: LogEventDefinition(
            "This VM can connect to no upstream of a service any more, or to some again.",
            ("service", "reachable", "upstreams", "live_peers"),
        ),
        LogEvent.QUARANTINE_CHANGED: LogEventDefinition(
            "Requests with these traits are now refused, or accepted again.",
            ("traits", "source", "crashes", "outcome"),
        ),
        LogEvent.QUARANTINE_RECORD_WRITTEN: LogEventDefinition(
            "The record of quarantined traits was written, or another VM wrote first; see "
            "`outcome`.",
            ("quarantines", "revision", "outcome"),
        ),
        LogEvent.PEER_UNREACHABLE: _error_definition(
            "A call to another VM failed.", "vm_host", "error"
        ),
        LogEvent.PEER_REPORT_REFUSED: _error_definition(
            "A datagram was not a valid report of a peer.", "error"
        ),
        LogEvent.STRAIN_CHANGED: LogEventDefinition(
            "This VM lacks processor time and reports that it is not ready, or has recovered.",
            ("state", "lateness_ms"),
        ),
        LogEvent.SETTINGS_RELOADED: LogEventDefinition(
            "The settings were reloaded; if they are invalid, the previous ones remain in force.",
            ("outcome", "error"),
        ),
        LogEvent.INTERNAL_ERROR: _error_definition(
            "azureturn failed internally; `error` has the type and the place of the failure.",
            "request_id",
            "error",
        ),
        LogEvent.LINES_LEFT_OUT: LogEventDefinition(
            "Lines of an event were suppressed because they exceeded a limit.",
            ("of_event", "line_count"),
        ),
    }
)

#: Descriptions of all fields; units are part of the names.
LOG_FIELDS: Mapping[str, str] = MappingProxyType(
    {
        "time": "Time in UTC, in ISO 8601 format.",
        "level": "`info` or `error`.",
        "event": "Name of the event.",
        "vm": "The VM that wrote the line.",
        "request_id": "Id of the request; the same on every VM that handles it.",
        "organisation": "Name of the calling organisation.",
        "route": "Name of the route.",
        "tier": "Name of the request's tier.",
        "upstream": "Name of the upstream; empty if the request was not dispatched to one.",
        "forwarded_to_vm": "The VM that the request was forwarded to; empty if none.",
        "ended": "`answered`, or the error kind.",
        "kind": "The error kind; see ERRORS.md.",
        "run_state": "`not_run`, `ran` or `unknown`.",
        "took_ms": "Time from the request's arrival, or an attempt's start, to the end.",
        "revision": "Revision number in the key-value service.",
        "source": "How the revision was obtained: `file`, `watch`, `poll` or `peer`.",
        "model": "Name of a model.",
        "move": "Id of a version move.",
        "state": "State of the move; see OPERATIONS.md.",
        "reason": "Why the move is in this state.",
        "detail": "The reason as a sentence, with counts.",
        "share": "Share of the requests that this VM sends to the new version, 0 to 1.",
        "error": "Type and place of a failure, or a message of azureturn; never a caller's text.",
        "host": "IP address on which the daemon listens.",
        "port": "Port for callers.",
        "peer_port": "Port for VMs and operators.",
        "claims_unsettled": "Calls that ended here, but whose outcome could not be stored.",
        "requests_cut": "Requests in flight that the stop interrupted; 0 for a graceful stop.",
        "candidates": "Number of upstreams that were eligible.",
        "expected_ms": "Expected time to the first event, or to a response that is not streamed.",
        "outstanding": "Estimated number of requests at the upstream from all VMs.",
        "queued_ms": "Time since the request's arrival.",
        "unread_ms": "Time from the request's arrival, as early as it may have been, to its "
        "reading.",
        "limit": "Number of requests that this VM, or the engine, works on at the same time.",
        "slots": "Number of requests that the engine could run at the same time.",
        "slowdown": "Time for a token with all slots in use, as a multiple of the configured one.",
        "in_progress": "Requests that have been sent to an upstream and have not ended.",
        "queued": "Requests that wait to be sent.",
        "delay_ms": "By how much the tasks of all requests were delayed.",
        "failures": "Calls that have failed since the last one that did not.",
        "processes": "Number of processes whose use the record contains.",
        "age_ms": "Age of the record that was read; -1 if there was none.",
        "report_age_ms": "Age of the oldest peer report used for the estimate; -1 without peers.",
        "result": "Result of the attempt.",
        "longest_pause_ms": "Longest time between two events of a stream.",
        "prompt_parts": "Ids of parts of prompts, separated by commas.",
        "crashes": "Number of runs that ended under the traits, as far as this VM knows.",
        "relay": "Name of the VM through which the upstream is connected; empty if directly.",
        "peer": "Name of another VM.",
        "relays": "Number of connections that this VM relays.",
        "reachable": "Number of the service's upstreams that this VM can connect to.",
        "upstreams": "Number of upstreams: those of the service, or those that requests wait for.",
        "names": "Names of upstreams, separated by commas.",
        "outage_ms": "Time from the last response of the key-value service before it was out of "
        "reach to the first one after that.",
        "waiting": "Number of attempts that have waited for long and are not relayed.",
        "pause_ms": "Time for which the upstream is sent no request; -1 if not limited.",
        "zone": "Name of an availability zone.",
        "cold_left_ms": "How much longer the upstream is taken for cold; -1 if not known.",
        "era": "Number of times that the key-value service came back from a copy.",
        "old_era": "The era known before.",
        "documents": "Number of documents that were read.",
        "missing": "Number of documents known before that the copy lacks.",
        "silent_ms": "Time for which requests have been without any response from upstreams.",
        "live_peers": "Number of peers that have reported recently.",
        "traits": "Ids of prompt parts, or `digest:` and the digest of one request.",
        "request_digest": "Digest of organisation, method, host, target and body; the same when "
        "the request is sent again.",
        "quarantines": "Number of quarantines.",
        "limit_per_s": "Requests per second that the upstream takes from all VMs together, as its "
        "response states; -1 if it states no limit.",
        "rejection_limit_per_s": "Rejections per second above which the upstream falls over, as "
        "its response states; -1 if it states none.",
        "leaving": "Whether the response states that the upstream leaves.",
        "retry_after_ms": "Time for which the upstream wants no request from this VM, as its "
        "response states; -1 if it states none.",
        "answering_ms": "Time from the head of the response to the end of the attempt; -1 if there "
        "was no head.",
        "first_event_ms": "Time from the request's arrival to the first event; -1 without one.",
        "events": "Number of events received.",
        "framing": "How the end of the body is marked; empty without a response.",
        "phase": "What the memory was held for: a body that is read, that waits to be sent or is "
        "kept for a further attempt, or a response: `reading`, `waiting`, `kept` or `responding`.",
        "held_bytes": "Bytes that counted for the limit.",
        "partial_event_bytes": "Size of the received part of an incomplete event.",
        "rank": "The tier's rank; 0 is the most urgent.",
        "lateness_ms": "Mean delay of this process's ticks.",
        "patience_ms": "How long the caller stated that it will wait; -1 if it did not.",
        "units": "Units charged to the organisation's allotment, a limit of units per second.",
        "attempts": "Number of times that the request was sent.",
        "configuration": "Version of the configuration that applied to the request.",
        "version": "Version of an upstream or of a move.",
        "key": "Key in the key-value service.",
        "service": "Name of a service.",
        "outcome": "Outcome of the write, read or reload.",
        "vm_host": "IP address of another VM.",
        "of_event": "Event whose lines were suppressed; `every` if the queue of lines was full.",
        "line_count": "Number of lines suppressed since the last such report.",
    }
)
