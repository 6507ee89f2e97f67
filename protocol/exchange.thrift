// Datagrams between entries and agents on the users' platform.
// Each holds one Datagram in thrift's compact encoding.
// Run `make protocol` after a change; the generated code is committed.
namespace py exchange_protocol

// Sent by an entry to subscribe to an agent's state; the agent answers with it.
struct Hello { 1: string instance_id }

// An entry's load at one upstream.
struct UpstreamUse {
  1: i32 upstream_key
  2: i32 writing
  3: i32 waiting
  4: i32 waiting_tokens
}

// An entry's load at each upstream where it has requests in flight; at others it has
// none. started_ms is the entry's start in Unix milliseconds. With sequence it orders
// the loads of one entry.
struct EntryLoad {
  1: string instance_id
  2: i64 started_ms
  3: i64 sequence
  4: list<UpstreamUse> uses
  // Whether the entry may serve requests that carry an API key.
  5: bool is_ready
}

// A version of a model and how long ago its rollout started.
struct Naming {
  1: string model
  2: i64 version
  3: i32 age_ms
}

// An agent's report on its upstream, with the entries and rollouts that it knows.
// pace is the factor by which the upstream is slower than its profile.
struct AgentState {
  1: string upstream_address
  2: bool is_switching
  3: i64 version
  4: double pace
  5: list<string> entries
  6: list<Naming> namings
  // The model that the upstream serves in that version, with all layers. Version 0
  // means that it serves none.
  7: string model
}

// The pieces of a version that an agent has verified. Bit N of bitmap, read as a
// big-endian number, stands for piece N.
struct PieceMap {
  1: string model
  2: i64 version
  3: binary bitmap
  4: bool is_reply_wanted
  5: i32 uploads
}

// Digests of the requests that an entry suspects of crashing an upstream.
struct Blame { 1: list<i64> digests }

// A request that an entry rejected and how long ago it first arrived.
struct Rejected {
  1: i64 digest
  2: i32 age_ms
}

struct Rejections { 1: list<Rejected> rejected }

// Exactly one field is set.
struct Datagram {
  1: optional Hello hello
  2: optional EntryLoad entry_load
  3: optional AgentState agent_state
  4: optional PieceMap piece_map
  5: optional Blame blame
  6: optional Rejections rejections
}
