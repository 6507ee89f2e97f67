// Datagrams between entries and agents on the users' platform.
// Each holds one Datagram in thrift's compact encoding.
// Run `make protocol` after a change; the generated code is committed.
namespace py exchange_protocol

// A version of a model and how long ago its rollout started; -1 means unknown.
struct RolloutAge {
  1: string model
  2: i64 version
  3: i32 age_ms
}

// Sent by an entry to subscribe to an agent's state; the agent answers with it.
// cell is the entry's own cell, agent_cell that of the agent.
struct Hello {
  1: string instance_id
  2: string cell
  3: string agent_cell
  4: list<RolloutAge> rollouts
  // Names this hello among those of its sender, and the last state that it has of the
  // receiver, with how long it has had it.
  30: i64 sequence
  31: i64 echo_sequence
  32: i32 echo_age_ms
}

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
  // The sender's own cell.
  6: string cell
  // Keys of upstreams that told the entry that they are shutting down.
  7: list<i32> leaving
  // Set by an entry of another cell, which wants the summary of this cell in return.
  8: string summary_cell
  // How often the store was restored, and its revision at the last change that the
  // entry knows of each kind that it watches, in the order of kinds that all use.
  9: i64 store_era
  10: list<i64> store_revisions
  11: bool has_lost_store
}

// The load of one upstream from all entries but the receiver, and what it serves.
struct UpstreamSummary {
  1: i32 upstream_key
  2: i32 writing
  3: i32 waiting
  4: i32 waiting_tokens
  5: string model
  6: i64 version
  7: double pace
  8: bool takes_requests
}

// The engines of one cell, as one of its entries knows them.
struct CellSummary {
  1: string cell
  2: list<UpstreamSummary> upstreams
}

// What a watch of the store returned to the sender. changes is the compressed body of
// the store's response; it is empty without changes, and with is_complete false.
// echo_started_ms and echo_sequence name the receiver's last load that the sender has,
// and echo_age_ms how long it has had it.
struct StoreUpdate {
  1: string kind
  2: i64 era
  3: i64 from_revision
  4: i64 revision
  5: binary changes
  6: bool is_complete
  7: i32 confirmed_age_ms
  8: i64 echo_started_ms
  9: i64 echo_sequence
  10: i32 echo_age_ms
}

// An agent's report on its upstream, with the entries and rollouts that it knows.
// pace is the factor by which the upstream is slower than its profile.
struct AgentState {
  1: string upstream_address
  2: bool is_switching
  3: i64 version
  4: double pace
  5: list<string> entries
  6: list<RolloutAge> rollouts
  // The model that the upstream serves in that version, with all layers. Version 0
  // means that it serves none, -1 that the sender cannot tell.
  7: string model
  // The cell whose entries are listed.
  8: string cell
  // Requests that the upstream is running or has queued.
  9: i32 active
  // Start of the upstream's process in Unix milliseconds; 0 means unknown. With
  // is_down it refuses connections.
  10: i64 upstream_started_ms
  11: bool is_down
  // Names this state among those of its sender, and the last hello that it has of the
  // receiver, with how long it has had it.
  30: i64 sequence
  31: i64 echo_sequence
  32: i32 echo_age_ms
}

// The pieces of a version that an agent has verified. Bit N of bitmap, read as a
// big-endian number, stands for piece N.
struct PieceMap {
  1: string model
  2: i64 version
  3: binary bitmap
  4: bool is_reply_wanted
  5: i32 uploads
  // The pieces are left from an earlier transfer: the agent fetches no more of them.
  6: bool is_retained
  // The agent has heard that the operator named the version.
  7: bool is_named
}

// A crash of an upstream by a request, or by a part of a prompt, and how long ago the
// request was sent to it. tried_parts is how many suspected parts it was a trial of.
struct Crash {
  1: i64 digest
  2: i32 upstream_key
  3: i32 age_ms
  4: i8 tried_parts
}

// A request or a part that an upstream answered, and how long ago.
struct Completion {
  1: i64 digest
  2: i32 age_ms
}

// Field 1 held digests without their upstreams. ended are the keys of upstreams that
// refused a connection. trials are the parts that the sender has on trial,
// ended_trials those that it had, without evidence.
struct CrashReport {
  2: list<Crash> crashes
  3: list<Completion> completions
  4: list<i32> ended
  5: list<Crash> part_crashes
  6: list<Completion> part_completions
  7: list<i64> trials
  8: list<i64> ended_trials
}

// A request that an entry rejected and how long ago it first arrived.
struct Rejected {
  1: i64 digest
  2: i32 age_ms
}

struct Rejections { 1: list<Rejected> rejected }

// What a response said of its upstream's limit, in requests per second; below 0 if it
// named none. It was stated between the two ages. statement_id is kept when it is told
// on.
struct NamedLimit {
  1: i32 upstream_key
  2: i64 statement_id
  3: double per_s
  4: i32 sent_age_ms
  5: i32 received_age_ms
}

struct NamedLimits { 1: list<NamedLimit> limits }

// Asks the keeper of an upstream's permits for some; number names the request.
struct PermitRequest {
  1: i32 upstream_key
  2: i64 number
  3: i32 wanted
}

struct PermitRequests { 1: list<PermitRequest> requests }

// What is granted for a request. The next permit is due in due_ms; step_ms is the time
// between two permits of the receiver.
struct PermitGrant {
  1: i32 upstream_key
  2: i64 number
  3: i32 granted
  4: i32 due_ms
  5: i32 step_ms
}

struct PermitGrants { 1: list<PermitGrant> grants }

// Exactly one field is set.
struct Datagram {
  1: optional Hello hello
  2: optional EntryLoad entry_load
  3: optional AgentState agent_state
  4: optional PieceMap piece_map
  5: optional CrashReport crash_report
  6: optional Rejections rejections
  7: optional CellSummary cell_summary
  8: optional StoreUpdate store_update
  9: optional NamedLimits named_limits
  10: optional PermitRequests permit_requests
  11: optional PermitGrants permit_grants
}
