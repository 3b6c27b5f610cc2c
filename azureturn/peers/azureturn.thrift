// What the system's own processes say to each other. Every call carries a signed envelope.

namespace py azureturn.peers.gen

// What is signed: the sender, a number used once, and a struct below in compact form.
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

// Asks the holder of a claim or a ticket what became of the call.
struct OutcomeQuery {
  1: string call_digest,
  2: string claim_nonce,
  3: string boot_id,
  4: i32 wait_ms,
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

// A call under a ticket, passed on to the process that minted the ticket.
struct TicketedCall {
  1: string ticket,
  2: string organisation,
  3: string route,
  4: string path,
  5: string content_type,
  6: binary body,
  7: i32 timeout_ms,
  8: string request_id,
}

struct Heartbeat {
  1: string vm,
  2: string availability_zone,
  3: string boot_id,
  4: i64 sequence,
  5: i64 configuration_revision,
  6: bool leaving,
  7: list<string> leaving_upstreams,
  // The configuration itself, where the receiver is known to have an older one.
  8: optional binary configuration,
}

exception PeerRefused {
  1: string kind,
  2: string message,
}

service Peer {
  // Bodies are the structs above in thrift's compact form.
  Envelope find_outcome(1: Envelope query) throws (1: PeerRefused refused),
  Envelope run_ticketed_call(1: Envelope call) throws (1: PeerRefused refused),
  Envelope exchange_heartbeat(1: Envelope heartbeat) throws (1: PeerRefused refused),
}
