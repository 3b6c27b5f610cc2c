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

// One fact that its owner alone changes; the higher (incarnation, version) replaces the other.
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
  // Place in the sender's log up to which the receiver is told with this heartbeat.
  10: i64 place,
  // Place in the receiver's log up to which the sender has taken in, and the process meant.
  11: i64 taken,
  12: i64 taken_incarnation,
}

struct ConfigurationQuery {
  1: i64 newer_than_revision,
}

// Revision 0 says that the peer has none that is newer.
struct ConfigurationAnswer {
  1: i64 revision,
  2: binary document,
}

exception PeerRefused {
  1: string kind,
  2: string message,
}

service Peer {
  // Bodies are the structs above in thrift's compact form.
  Envelope find_outcome(1: Envelope query) throws (1: PeerRefused refused),
  Envelope exchange_heartbeat(1: Envelope heartbeat) throws (1: PeerRefused refused),
  Envelope fetch_configuration(1: Envelope query) throws (1: PeerRefused refused),
}
