// Protocol between azureturn's own processes. Every call and answer is a signed envelope.

namespace py azureturn.peers.gen

// The signed content: the sender, a nonce, and one of the structs below in the compact protocol.
struct Message {
  1: string sender_vm,
  2: string nonce,
  3: binary body,
}

struct Envelope {
  1: binary signed_message,
}

enum OutcomeState {
  PENDING = 1,
  ANSWERED = 2,
  UNKNOWN = 3,
  NEVER_RAN = 4,
}

// Asks the holder of a claim or ticket for the outcome of the call.
struct OutcomeQuery {
  1: string call_digest,
  2: string claim_nonce,
  3: string boot_id,
  4: i32 wait_ms,
  // Id of the request that asks, so that it can be found in the logs of both VMs.
  5: string request_id,
}

struct Header {
  1: string name,
  2: string value,
}

struct Outcome {
  1: OutcomeState state,
  2: i32 status,
  3: list<Header> headers,
  4: binary body,
  5: string upstream,
  6: string error_kind,
  7: string run_state,
}

// A call with a ticket, forwarded to the process that issued the ticket.
struct TicketedCall {
  1: string ticket,
  2: string path,
  3: string content_type,
  4: binary body,
  5: i32 timeout_ms,
  6: string request_id,
  // Whether the caller declares that it has not sent this call before.
  7: bool first_attempt,
}

// One value, changed only by its owner; the row with the higher (incarnation, version) wins.
struct GossipRow {
  1: string owner,
  2: i64 incarnation,
  3: i8 topic,
  4: string key,
  5: i64 version,
  6: list<i64> numbers,
}

struct Heartbeat {
  1: string vm,
  2: string availability_zone,
  3: string host,
  4: i32 peer_port,
  5: string boot_id,
  6: i64 incarnation,
  7: i64 configuration_revision,
  8: bool leaving,
  9: list<GossipRow> rows,
  // Position in the sender's log up to which this heartbeat brings the receiver up to date.
  10: i64 place,
  // Acknowledgement: position in the receiver's log up to which the sender has applied it, and
  // the incarnation of the receiver that the position refers to.
  11: i64 taken,
  12: i64 taken_incarnation,
}

// Asks whether the receiver accepts a request that the sender would otherwise shed.
struct Offer {
  1: string request_id,
  2: string organisation,
  3: string target,
  4: i32 tier_rank,
}

struct OfferAnswer {
  1: bool accepted,
  // Address of the receiver's port for callers, to which the request is sent.
  2: string host,
  3: i32 port,
}

struct ConfigurationQuery {
  1: i64 newer_than_revision,
  // Version of the caller's configuration, where views and configurations are counted separately.
  2: i64 newer_than_version,
  // Whether the caller wants only the changes since its revision, and nothing if there are none
  // or the receiver does not know all of them. Earlier builds answer with the whole document.
  70: optional bool only_changes,
}

// Revision 0 means that the peer has no newer configuration.
struct ConfigurationAnswer {
  1: i64 revision,
  2: binary document,
  // Present if the document contains only the changes after this revision.
  70: optional i64 changes_after,
  // Revision of the last change up to "revision".
  71: optional i64 changed_revision,
}

// An operator query. The name is that of a registered query; argument and answer are the structs
// of that query in the compact protocol.
struct OperatorQuery {
  1: string name,
  2: binary argument,
}

struct OperatorAnswer {
  1: binary answer,
}

struct NoArgument {
}

struct VmStatus {
  1: string vm,
  2: string availability_zone,
  3: string boot_id,
  4: string version,
  5: i64 started_at_unix_ms,
  6: i64 configuration_revision,
  7: string configuration_source,
  8: i32 requests_in_progress,
  9: bool leaving,
}

struct VmAddress {
  1: string vm,
  2: string availability_zone,
  3: string host,
  4: i32 port,
  5: i32 peer_port,
  6: bool leaving,
}

struct VmAddresses {
  1: list<VmAddress> vms,
}

struct UpstreamStatus {
  1: string upstream,
  2: string kind,
  3: string availability_zone,
  4: string version,
  5: bool draining,
  6: bool leaving,
  7: bool closed,
  8: i32 outstanding_requests,
  9: i64 outstanding_tokens,
}

struct UpstreamStatuses {
  1: list<UpstreamStatus> upstreams,
}

struct RefusalsArgument {
  1: i32 limit,
}

struct Refusal {
  1: i64 refused_at_unix_ms,
  2: string request_id,
  3: string organisation,
  4: string route,
  5: string tier,
  6: string upstream,
  7: string kind,
  8: string run_state,
  9: string cause,
  10: i64 retry_after_ms,
}

struct Refusals {
  1: list<Refusal> refusals,
  // Number of refusals that were evicted because of the limit on stored refusals.
  2: i64 forgotten_count,
}

struct ServiceLevelArgument {
  1: list<i64> window_ms,
  2: i64 series_step_ms,
  3: i64 series_window_ms,
}

struct ServiceLevelCell {
  1: string tier,
  2: string organisation,
  3: string route,
  4: string upstream,
  5: string version,
  6: string error_kind,
  7: i64 good_count,
  8: i64 bad_count,
}

struct LatencyHistogram {
  1: string tier,
  2: list<i32> bin_keys,
  3: list<i64> bin_counts,
}

struct ServiceLevelWindow {
  1: i64 window_ms,
  2: list<ServiceLevelCell> cells,
  3: list<LatencyHistogram> latencies,
}

struct ServiceLevelPoint {
  1: i64 began_at_unix_ms,
  2: string tier,
  3: i64 good_count,
  4: i64 bad_count,
}

struct ServiceLevels {
  1: i64 observed_since_unix_ms,
  2: list<ServiceLevelWindow> windows,
  3: list<ServiceLevelPoint> series,
}

// Outstanding work of one gateway VM at an upstream.
struct UpstreamWork {
  1: string upstream,
  2: i32 requests,
  // Prompt tokens of requests that have not received their first event.
  3: i32 pending_prompt_tokens,
}

// Units that one VM admitted for an organisation in the last window.
struct AllotmentSpent {
  1: string organisation,
  2: i64 units,
  // Those of them that were admitted in the last part of the window.
  3: i64 late_units,
}

// A prompt that was sent to an upstream.
struct PromptSent {
  1: string upstream,
  2: string model,
  3: list<string> part_ids,
  4: list<i32> part_tokens,
}

// Statistics of one VM on a version since the VM's boot.
struct VersionSeen {
  1: string service_name,
  2: string version,
  3: i32 answers,
  4: i32 failures,
  5: i64 time_ms,
  // Streams whose pace was measured, the intervals between their events, and the sum of these.
  6: i32 streams,
  7: i64 intervals,
  8: i64 streamed_ms,
}

struct MoveSeen {
  1: string service_name,
  2: string version,
  3: i32 elapsed_ms,
  4: bool condemned,
  // Revision of the order in the store. Earlier builds do not say.
  5: optional i64 order_revision,
}

struct VmAddressSeen {
  1: string vm,
  2: string host,
}

// The most urgent tier with requests waiting at the sender for upstreams of a service.
struct TierWaiting {
  1: string service_name,
  2: i32 tier_rank,
  3: i32 requests,
  // Time until the first of them misses its objective; negative if it already has.
  4: i32 deadline_in_ms,
}

// A request that an upstream may just have begun to run when its process ended.
struct SuspectSeen {
  1: list<string> traits,
  2: i32 sent_before_ms,
}

// The end of an upstream's process, with the requests that may be the cause.
struct CrashSeen {
  1: string upstream,
  2: i64 started_unix_ms,
  3: i32 age_ms,
  5: list<SuspectSeen> suspects,
}

// A trait (prompt part or digest) that is suspected of ending upstreams and with which a request
// was answered.
struct TraitCleared {
  1: string trait,
  2: i32 age_ms,
}

// Traits that end upstreams which run a request with all of them.
struct QuarantineSeen {
  1: list<string> traits,
  2: i64 since_unix_ms,
}

// The limits that an upstream's latest answer to the sender stated.
struct LimitSeen {
  1: string upstream,
  2: i64 started_unix_ms,
  // Absent if the answer stated no such limit any more.
  3: optional double requests_per_s,
  5: optional double rejections_per_s,
  4: i32 age_ms,
}

// What a run of an upstream has said of its availability in its answers.
struct AvailabilitySeen {
  1: string upstream,
  2: i64 started_unix_ms,
  3: bool leaving,
  // How much longer it wants no request from the sender; 0 if it does not say so.
  4: i32 pause_ms,
  // Name of the VM that relayed the answer; empty if none did.
  5: string relay_vm,
}

// How much longer a run of an upstream stays cold, as far as the sender knows from the upstream or
// the store, and not from a peer.
struct ColdSeen {
  1: string upstream,
  2: i64 started_unix_ms,
  3: i64 left_ms,
}

// Time that answers of an upstream took which ended since the sender's last report.
struct SpeedSeen {
  1: string upstream,
  2: i64 started_unix_ms,
  // Part of the upstream's slots that were in use; 0 is the lowest.
  3: i32 level,
  // Time at the configured speed.
  4: i32 assumed_ms,
  5: i32 took_ms,
}

// Answers of one version on one route within a window of time.
struct RouteCountSeen {
  1: i32 answers,
  2: i32 failures,
  // Answers whose time was compared with the usual one, and those of them that took much longer.
  3: i32 timed,
  4: i32 slow,
  // For the old version: failed and slow answers that the new one would have if it were equally
  // good, in thousandths.
  5: i32 expected_failures,
  6: i32 expected_slow,
}

// Answers of a version on a route since the move was ordered.
struct RouteSeen {
  1: string service_name,
  2: string version,
  3: string route,
  // The shortest window first; the last one has all answers.
  4: list<RouteCountSeen> windows,
  // Names of upstreams that answered, and of those with bad answers; two at the most.
  5: list<string> upstreams,
  6: list<string> bad_upstreams,
}

// One datagram, sent to every peer many times a second.
struct GatewayReport {
  1: string vm,
  2: string host,
  3: i64 boot,
  4: i64 sequence,
  5: bool leaving,
  // Revision of the store up to which the sender has applied all changes.
  6: i64 view_revision,
  7: list<UpstreamWork> work,
  8: list<AllotmentSpent> spent,
  9: list<PromptSent> prompts,
  10: list<VersionSeen> versions,
  11: list<MoveSeen> moves,
  12: list<VmAddressSeen> peers,
  14: bool strained,
  15: string availability_zone,
  16: list<TierWaiting> waiting,
  17: list<CrashSeen> crashes,
  18: list<TraitCleared> cleared_traits,
  19: list<QuarantineSeen> quarantined,
  20: list<LimitSeen> limits,
  // Names of the upstreams that the sender cannot connect to.
  21: list<string> unreachable,
  // For how long the store has answered the sender without a failure; absent while it does not.
  22: optional i64 store_contact_ms,
  23: list<AvailabilitySeen> availability,
  24: i64 configuration_version,
  40: optional list<ColdSeen> cold,
  50: optional list<SpeedSeen> speeds,
  // Routes on which the new version of a move may be worse.
  60: optional list<RouteSeen> routes,
  // Revision of the last change in the sender's view, and a digest of the view.
  70: optional i64 changed_revision,
  71: optional i64 view_digest,
  // How long before this report the sender's last answered call to the store began, and when the
  // report was made by the sender's clock.
  72: optional i64 store_answered_ago_ms,
  73: optional i64 sent_at_ms,
}

// The first message on a relayed connection: the upstream that the peer is to connect to.
struct RelayRequest {
  1: string sender_vm,
  2: string upstream,
  3: i64 started_unix_ms,
  4: binary signature,
  // Whether the sender can read frames. Earlier builds do not say so, and cannot.
  5: optional bool reads_frames,
}

enum RelayOutcome {
  // All further bytes are those of the upstream's connection, in frames if the answer says so.
  CONNECTED = 1,
  // No process accepts connections at the upstream's address.
  REFUSED = 2,
  UNREACHABLE = 3,
  // The signature is not valid, the peer does not know the upstream or knows that it leaves, or it
  // has too many relays.
  DENIED = 4,
}

struct RelayAnswer {
  1: RelayOutcome outcome,
  // Whether the upstream's bytes are sent in frames: a part behind its length, as four bytes in
  // network byte order. An empty part says that the upstream has ended its connection. Bytes to the
  // upstream are sent as they are.
  2: optional bool sends_frames,
}

exception PeerRefused {
  1: string kind,
  2: string message,
}

service Peer {
  // Envelope bodies are the structs above in thrift's compact protocol.
  Envelope find_outcome(1: Envelope query) throws (1: PeerRefused refused),
  Envelope run_ticketed_call(1: Envelope call) throws (1: PeerRefused refused),
  Envelope exchange_heartbeat(1: Envelope heartbeat) throws (1: PeerRefused refused),
  Envelope offer_request(1: Envelope offer) throws (1: PeerRefused refused),
  Envelope fetch_configuration(1: Envelope query) throws (1: PeerRefused refused),
  Envelope operate(1: Envelope query) throws (1: PeerRefused refused),
}
