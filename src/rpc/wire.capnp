@0xc7d2b8f0a4e61935;
# Messages between the processes of teaselward. Every connection starts with registerAgent or greet, whose first parameter is
# the protocol version. Times are counts of the unit in the name of the field.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("teaselward::wire");

struct TicketId {
  incarnation @0 :UInt64;
  sequence @1 :UInt64;
}

struct Ticket {
  home @0 :Text;
  id @1 :TicketId;
  issuedAtMs @2 :Int64;
}

struct TaskId {
  ticket @0 :TicketId;
  index @1 :UInt32;
  attempt @2 :UInt32;
}

struct TaskOutcome {
  verdict @0 :UInt8;
  why @1 :UInt8;
  body @2 :Data;
  runTimeUs @3 :Int64;
  crashed @4 :Bool; # The endpoint crashed while the task was running.
}

struct HeldTask {
  id @0 :TaskId;
  state @1 :UInt8;
  outcome @2 :TaskOutcome;
}

struct StartOrder {
  id @0 :TaskId;
  kind @1 :Text;
  team @2 :Text;
  payload @3 :Data;
  timeLimitMs @4 :Int64;
  demand @5 :UInt32;
  key @6 :Text;
  cpuMillis @7 :UInt32;
  memoryMb @8 :UInt32;
  gpus @9 :UInt32;
  restartable @10 :Bool;
  hasSlack @11 :Bool;
  slackMs @12 :Int64;
  comesFirst @13 :Bool;
  estimateMs @14 :Int64;
  hasCrashAge @15 :Bool;
  crashAgeMs @16 :Int64;
  expectedRunUs @17 :Int64; # Zero if unknown.
}

struct CrashSuspect {
  kind @0 :Text;
  repeated @1 :Bool;
}

struct KindPair {
  # Tasks of one kind run longer at the endpoint while tasks of the other kind run beside them.
  slowed @0 :Text;
  slowing @1 :Text;
  factor @2 :Float64;
  runs @3 :UInt32; # Runs that the factor is based on.
}

struct AgentInfo {
  id @0 :UInt64;
  address @1 :Text;
  failureDomain @2 :Text;
  slots @3 :UInt32;
  connections @4 :UInt32;
  kinds @5 :List(Text);
  leaving @6 :Bool;
  endpointStartMs @7 :Int64; # Since 1970.
  fencingToken @8 :UInt64;
  machineType @9 :Text;
  runTimeFactor @10 :Float64; # Zero if unknown.
}

struct EntryInfo {
  id @0 :UInt64;
  address @1 :Text;
  failureDomain @2 :Text;
}

struct JobRequest {
  source @0 :Ticket;
  team @1 :Text;
  kind @2 :Text;
  timeLimitMs @3 :Int64;
  payloads @4 :List(Data);
  key @5 :Text;
}

struct JobAnswer {
  state @0 :UInt8;
  why @1 :UInt8;
  notRun @2 :Bool;
  results @3 :List(Data);
  retryAfterMs @4 :Int64;
}

struct TeamUsage {
  team @0 :Text;
  inProgress @1 :UInt32;
  wanted @2 :UInt32;
}

struct Evacuations {
  # Failure domains whose endpoints must get no starts, as of an offset in the operators' records.
  offset @0 :UInt64;
  failureDomains @1 :List(Text);
}

struct Welcome {
  # Answer to the first message of a connection.
  accepted @0 :Bool; # False if the versions differ; the connection is then closed.
  version @1 :UInt32; # Of the answering side.
  self @2 :EntryInfo;
  leaseMs @3 :Int64;
  entries @4 :List(Text); # Addresses of the entries that the answering side is connected to.
  configOffset @5 :UInt64;
}

struct Snapshot {
  offset @0 :UInt64;
  text @1 :Data;
}

struct ForwardResult {
  otherIncarnation @0 :Bool;
  answer @1 :JobAnswer;
}

interface EntryGate {
  # Bootstrap capability of an entry.
  registerAgent @0 (version :UInt32, info :AgentInfo, agent :AgentPort) -> (welcome :Welcome, session :AgentSession);
  greet @1 (version :UInt32, info :EntryInfo, peer :EntryPort) -> (welcome :Welcome, session :EntryPort);
}

interface AgentPort {
  # What an entry calls at a registered agent.
  ping @0 (configOffset :UInt64);
  start @1 (order :StartOrder) -> (outcome :TaskOutcome, credits :Int32, runTimeFactor :Float64);
  revoke @2 (id :TaskId) -> (held :HeldTask);
  fence @3 (ticket :TicketId) -> (held :List(HeldTask));
  demand @4 (queued :UInt32);
  entries @5 (addresses :List(Text));
  stop @6 (id :TaskId);
  evacuate @7 (evacuations :Evacuations);
}

interface AgentSession {
  # What a registered agent calls at an entry.
  ping @0 ();
  credits @1 (delta :Int32);
  leaving @2 ();
  snapshot @3 () -> (snapshot :Snapshot);
  crashed @4 (suspects :List(CrashSuspect));
  notice @5 (remainingMs :Int64); # The endpoint stops after this time.
  evacuate @6 (evacuations :Evacuations);
  interference @7 (pairs :List(KindPair)); # Replaces the former report of the agent.
}

interface EntryPort {
  # What an entry calls at another entry.
  ping @0 ();
  submit @1 (job :JobRequest) -> (result :ForwardResult);
  query @2 (source :Ticket, waitMs :Int64) -> (result :ForwardResult);
  cancel @3 (source :Ticket) -> (result :ForwardResult);
  exchange @4 (configOffset :UInt64, usage :List(TeamUsage), entries :List(Text)) -> (configOffset :UInt64, entries :List(Text));
  snapshot @5 () -> (snapshot :Snapshot);
  evacuate @6 (evacuations :Evacuations);
}
