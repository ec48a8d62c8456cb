@0xb7f0c0a5d1e2f394;
# Messages between daemons. Each frame is prefixed with its length in four bytes.

struct Frame {
  version @0 :UInt16;
  # Frames of another version are rejected.
  exchange @1 :UInt64;
  # Chosen by the requesting side; the answer repeats it.
  sender @2 :Text;
  # "host/incarnation"
  clock @3 :Int64;
  # The sender's monotonic clock in milliseconds.
  echo @4 :Int64;
  # The receiver's clock as last seen by the sender; bounds the age of this frame.
  union {
    heartbeat @5 :Heartbeat;
    heartbeatAnswer @6 :HeartbeatAnswer;
    forward @7 :HttpRequest;
    forwardAnswer @8 :HttpAnswer;
    place @9 :PlaceOrder;
    placeAnswer @10 :PlaceAnswer;
    report @11 :WorkerReport;
    action @12 :TaskAction;
    done @13 :Void;
    refused @14 :Text;
    contracts @15 :ContractState;
    contractsWanted @16 :Void;
    advice @17 :AdviceWanted;
    advised @18 :AdviceGiven;
    ownerFailing @19 :Text;
    # The term of an owner that cannot use the store and asks a peer to take over.
    ownerAsked @20 :Text;
    # The term of an owner whose heartbeats are missing in the store.
    obsoleteCompletionsTold @21 :ObsoleteCompletions;
    obsoleteCompletionsWanted @22 :UInt64;
    obsoleteCompletionsSeen @23 :List(Text);
    # Sent by daemons of earlier builds; refused.
    configurationWanted @24 :UInt64;
    # The version that the requesting host has.
    configuration @25 :Configuration;
    configurationDocumentWanted @26 :UInt64;
    # The version that the requesting host has.
    configurationDocument @27 :ConfigurationDocument;
  }
}

struct Configuration {
  version @0 :UInt64;
  document @1 :Data;
  # Empty if the requesting host already has this version, or if it is large.
  current @2 :Bool;
  # The answering host can read the store and would know of a newer version.
}

struct ConfigurationDocument {
  version @0 :UInt64;
  compressed @1 :Data;
  # Deflated with a zlib header; empty if the requesting host already has this version.
  nextOffset @2 :UInt64;
  # After the record of this version in the operators' topic, 0 if not known.
}

struct ObsoleteCompletions {
  epoch @0 :UInt64;
  jobs @1 :List(Text);
}

struct AdviceWanted {
  job @0 :Text;
  occurrence @1 :UInt32;
  step @2 :UInt32;
  runners @3 :List(Text);
  patienceMs @4 :UInt32;
}

struct Permit {
  runner @0 :Text;
  ticket @1 :Text;
}

struct AdviceGiven {
  answered @0 :Bool;
  # Whether the policy service has answered; if not, nothing is known.
  permits @1 :List(Permit);
}

struct Room {
  service @0 :Text;
  freeSlots @1 :UInt32;
}

struct Heartbeat {
  availabilityZone @0 :Text;
  view @1 :List(UInt64);
  # Members of the zone that the sender knows, as hashes of their keys.
  heard @2 :List(UInt64);
  # Members that the sender heard from recently, as hashes of their keys.
  rooms @3 :List(Room);
  leaving @4 :List(Text);
  # Hosts of leaving endpoints.
  contracts @5 :UInt64;
  # Digest of the contract versions in force.
  draining @6 :Bool;
}

struct HeartbeatAnswer {
  promise @0 :Bool;
  # The sender claims none of the receiver's shards, and will not act on a claim to one within
  # the authority timeout (setting ``timings.authority``) from now.
  view @1 :List(UInt64);
  heard @2 :List(UInt64);
  rooms @3 :List(Room);
  leaving @4 :List(Text);
  contracts @5 :UInt64;
  draining @6 :Bool;
}

struct Header {
  name @0 :Text;
  content @1 :Text;
}

struct HttpRequest {
  method @0 :Text;
  target @1 :Text;
  headers @2 :List(Header);
  body @3 :Data;
  remainingMs @4 :UInt32;
  hops @5 :UInt8;
  caller @6 :Caller;
  # Missing if the sender did not identify the client account.
  attemptedAt @7 :Float64;
  # Unix time by the sender's clock. A sender that sets it passes a refusal for overload on to the
  # client instead of trying another host.
}

struct Caller {
  account @0 :Text;
  keyDigest @1 :Data;
  version @2 :UInt64;
  # Version of the configuration by which the sender identified the account.
}

struct HttpAnswer {
  status @0 :UInt16;
  headers @1 :List(Header);
  body @2 :Data;
  noRoom @3 :Bool;
  # Nothing was sent to a runner, so the requesting daemon may try another one.
}

struct Resources {
  processors @0 :Float64;
  memoryMb @1 :Float64;
  accelerators @2 :Float64;
}

struct PlaceOrder {
  dispatchEpoch @0 :UInt64;
  worker @1 :Text;
  taskId @2 :Text;
  demand @3 :Resources;
  command @4 :Text;
  customer @5 :Text;
  job @6 :Text;
  attempt @7 :UInt32;
  taskClass @8 :Text;
}

struct PlaceAnswer {
  outcome @0 :Text;
  # started, refused or unknown
  cause @1 :Text;
}

struct TaskAction {
  dispatchEpoch @0 :UInt64;
  worker @1 :Text;
  taskId @2 :Text;
  action @3 :Text;
}

struct TaskReport {
  id @0 :Text;
  job @1 :Text;
  attempt @2 :UInt32;
  customer @3 :Text;
  taskClass @4 :Text;
  running @5 :Bool;
  outcome @6 :Text;
  demand @7 :Resources;
  used @8 :Resources;
}

struct WorkerReport {
  worker @0 :Text;
  epoch @1 :UInt64;
  reachable @2 :Bool;
  room @3 :Resources;
  # Capacity that the owner may currently fill; less than the whole without evidence.
  tasks @4 :List(TaskReport);
  silentMs @5 :UInt64;
  remembersMs @6 :UInt64;
  asOf @7 :Int64;
  # The dispatcher's clock as last seen by the owner before it made this report.
  dispatchEpoch @8 :UInt64;
  # The dispatch epoch known to the owner, which refuses orders of earlier epochs.
}

struct ContractState {
  offset @0 :UInt64;
  documents @1 :List(Data);
}
