// Messages between entries and agents, and between agents.
// A frame is sent as its length, four bytes in big-endian order, and one Frame in
// thrift's binary encoding.
// Run `make protocol` after a change; the generated code is committed.
namespace py protocol

enum Outcome {
  NOT_RUN = 1
  RAN = 2
  UNKNOWN = 3
}

// First message of the handshake, sent by the server.
struct Challenge { 1: binary nonce }

// The client's response to the challenge, with the proof that it knows the shared key.
struct Hello {
  1: string instance_id
  2: string role
  3: string region
  4: string availability_zone
  5: binary nonce
  6: binary proof
}

// The server's proof that it knows the shared key; ends the handshake.
struct Welcome {
  1: string instance_id
  2: binary proof
}

struct Heartbeat { 1: i64 sequence }

struct CallStart {
  1: i64 call_id
  2: string trace_id
  3: string method
  4: string path
  5: string content_type
  6: binary body
  7: bool stream
  8: i32 priority
  9: i32 deadline_ms
  10: string required_version
  11: i32 resume_from
  12: string dispatch_key
  13: string body_digest
  14: bool suspect
}

// The start of a call's response: status, content type and model version.
struct CallHead {
  1: i64 call_id
  2: i32 status
  3: string content_type
  4: string version
}

// A part of a call's response body. sequence counts the parts from 0.
struct CallPiece {
  1: i64 call_id
  2: i32 sequence
  3: binary data
}

// The end of a call. complete tells whether the whole response was sent.
struct CallEnd {
  1: i64 call_id
  2: Outcome outcome
  3: bool complete
  4: string reason
}

struct CallCancel { 1: i64 call_id }

// Sent by an agent when its upstream died: the digests of all calls that it ran, of
// every entry. exclusive tells whether it ran a single suspect and nothing else.
struct UpstreamDeath {
  1: list<string> body_digests
  2: bool exclusive
}

// The version that an agent is to serve, and how to distribute its weights.
struct Target {
  1: string service_name
  2: string model
  3: string version
  4: i64 fencing
  5: string manifest_digest
  6: string policy
  7: string aim
  8: i32 origin_copies
  9: double serving_share
}

// The state of an agent and its upstream, sent to entries.
struct Report {
  1: string instance_id
  2: string service_name
  3: string region
  4: string availability_zone
  5: string state
  6: string version
  7: string target_version
  8: i64 fencing
  9: i32 chunks_held
  10: i32 chunks_total
  11: i64 origin_bytes
  12: i64 peer_bytes
  13: i64 rss_bytes
  14: i32 in_flight
  15: i32 capacity
  16: bool leaving
  17: bool accepting
  18: string detail
  19: i64 import_bytes
}

struct ChunkRequest {
  1: i64 request_id
  2: string digest
}

struct ChunkReply {
  1: i64 request_id
  2: string digest
  3: bool found
  4: binary data
}

// The chunks of a manifest that an agent holds. Bit N of bitmap, read as a
// little-endian number, stands for chunk N. uploads is the number of chunks that the
// agent has sent to peers since it started.
struct HaveMap {
  1: string manifest_digest
  2: binary bitmap
  3: i32 uploads
}

struct ManifestRequest { 1: string manifest_digest }

struct ManifestReply {
  1: string manifest_digest
  2: bool found
  3: binary document
}

// Exactly one field is set.
struct Frame {
  1: optional Challenge challenge
  2: optional Hello hello
  3: optional Welcome welcome
  4: optional Heartbeat heartbeat
  5: optional CallStart call_start
  6: optional CallHead call_head
  7: optional CallPiece call_piece
  8: optional CallEnd call_end
  9: optional CallCancel call_cancel
  10: optional Target target
  11: optional Report report
  12: optional ChunkRequest chunk_request
  13: optional ChunkReply chunk_reply
  14: optional HaveMap have_map
  15: optional ManifestRequest manifest_request
  16: optional ManifestReply manifest_reply
  17: optional UpstreamDeath upstream_death
}
