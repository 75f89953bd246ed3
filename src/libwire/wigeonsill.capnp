@0xd5a2f1c84b7e9036;
# Messages between entries and agents. Each length-prefixed frame on the connection contains one
# EntryFrame or one AgentFrame.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("wigeonsill::schema");

struct Incarnation {
  high @0 :UInt64;
  low @1 :UInt64;
}

struct RequestId {
  entry @0 :Incarnation;
  sequence @1 :UInt64;
}

struct Location {
  instance @0 :Text;
  region @1 :Text;
  failureDomain @2 :Text;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct RequestProfile {
  id @0 :RequestId;
  tier @1 :UInt8;
  organisation @2 :Text;
  pool @3 :Text;
  weight @4 :UInt32;
  promptTokens @5 :UInt32;
  outputTokens @6 :UInt32;
  prefixHashes @7 :List(UInt64);
  timeLeftUs @8 :Int64;
  nonIdempotent @9 :Bool;
  preemption @10 :UInt8;
  service @11 :Text;
  weighting @12 :UInt8;
}

struct ForwardedRequest {
  method @0 :Text;
  path @1 :Text;
  headers @2 :List(Header);
  body @3 :Data;
}

struct PoolFloor {
  pool @0 :Text;
  lowestServed @1 :UInt8;
  remainingUs @2 :Int64;
}

struct EntryHello {
  incarnation @0 :Incarnation;
  location @1 :Location;
}

struct Bind {
  profile @0 :RequestProfile;
  request @1 :ForwardedRequest;
}

struct Resume {
  id @0 :RequestId;
  offset @1 :UInt64;
  needHead @2 :Bool;
}

struct Acknowledge {
  id @0 :RequestId;
  offset @1 :UInt64;
  final @2 :Bool;
}

struct EntryHeartbeat {
  configurationRevision @0 :UInt64;
  floors @1 :List(PoolFloor);
  floorSequence @2 :UInt64;
}

struct AgentHello {
  incarnation @0 :Incarnation;
  location @1 :Location;
  pools @2 :List(Text);
  draining @3 :Bool;
}

struct IdWithReason {
  id @0 :RequestId;
  reason @1 :UInt16;
}

struct ReservationEnded {
  id @0 :RequestId;
  reason @1 :UInt16;
  floors @2 :List(PoolFloor);
}

struct AnswerHead {
  id @0 :RequestId;
  status @1 :Int32;
  headers @2 :List(Header);
}

struct AnswerBytes {
  id @0 :RequestId;
  offset @1 :UInt64;
  bytes @2 :Data;
}

struct AnswerEnd {
  id @0 :RequestId;
  result @1 :UInt16;
  totalBytes @2 :UInt64;
  promptTokens @3 :UInt32;
  cachedTokens @4 :UInt32;
  outputTokens @5 :UInt32;
}

struct AgentHeartbeat {
  configurationRevision @0 :UInt64;
  draining @1 :Bool;
  tokensInFlight @2 :UInt64;
  tokenLimit @3 :UInt64;
  running @4 :UInt32;
  waiting @5 :UInt32;
  floors @6 :List(PoolFloor);
  floorSequence @7 :UInt64;
  tokensPerSecond @8 :Float64;
  expectedWaitUs @9 :List(Int64);
}

struct EntryFrame {
  union {
    hello @0 :EntryHello;
    reserve @1 :RequestProfile;
    withdraw @2 :RequestId;
    bind @3 :Bind;
    decline @4 :RequestId;
    cancelRun @5 :RequestId;
    resume @6 :Resume;
    acknowledge @7 :Acknowledge;
    heartbeat @8 :EntryHeartbeat;
  }
}

struct AgentFrame {
  union {
    hello @0 :AgentHello;
    pull @1 :RequestId;
    reservationEnded @2 :ReservationEnded;
    answerHead @3 :AnswerHead;
    answerBytes @4 :AnswerBytes;
    answerEnd @5 :AnswerEnd;
    notRun @6 :IdWithReason;
    stillRunning @7 :RequestId;
    heartbeat @8 :AgentHeartbeat;
  }
}
