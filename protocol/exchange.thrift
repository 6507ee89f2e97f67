// Datagrams between bamboolever's own processes on the users' platform.
// One datagram holds one Datagram in thrift's compact encoding.
// Regenerate with `make protocol`; the output is committed.
namespace py exchange_protocol

// An entry makes itself known to the agent beside an upstream.
struct Hello { 1: string instance_id }

// What an entry has at one upstream.
struct UpstreamUse {
  1: i32 upstream_key
  2: i32 writing
  3: i32 waiting
  4: i32 waiting_tokens
}

// An entry's requests at the upstreams where it has any; others have none.
struct EntryLoad {
  1: string instance_id
  2: i64 started_ms
  3: i64 sequence
  4: list<UpstreamUse> uses
  // Whether the entry may serve requests that carry a key.
  5: bool is_ready
}

// A named version of a model and how long ago it was named.
struct Naming {
  1: string model
  2: i64 version
  3: i32 age_ms
}

// What an agent says of its upstream, and which entries and namings it knows.
struct AgentState {
  1: string upstream_address
  2: bool is_switching
  3: i64 version
  4: double pace
  5: list<string> entries
  6: list<Naming> namings
  // Model that the upstream serves whole in that version; version 0 is none.
  7: string model
}

// Which pieces of a version an agent has verified.
struct PieceMap {
  1: string model
  2: i64 version
  3: binary bitmap
  4: bool is_reply_wanted
  5: i32 uploads
}

// Requests that an entry blames for the crash of an upstream, by digest.
struct Blame { 1: list<i64> digests }

// A request that an entry rejected and how long ago its caller first asked.
struct Rejected {
  1: i64 digest
  2: i32 age_ms
}

struct Rejections { 1: list<Rejected> rejected }

struct Datagram {
  1: optional Hello hello
  2: optional EntryLoad entry_load
  3: optional AgentState agent_state
  4: optional PieceMap piece_map
  5: optional Blame blame
  6: optional Rejections rejections
}
