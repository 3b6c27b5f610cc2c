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

struct OutcomeQuery {
  1: string organisation,
  2: string idempotency_key,
  3: string boot_id,
  4: i32 wait_ms,
  5: string body_digest,
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
  Envelope exchange_heartbeat(1: Envelope heartbeat) throws (1: PeerRefused refused),
}
