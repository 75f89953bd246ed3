@0xb1f0c2d95a3e7741;
# UDP messages between entries, which hold requests, and agents, which grant room at their targets.
# Each datagram holds one GrantMessage and may be lost, duplicated or delayed.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("wigeonsill::schema");

enum GrantKind {
  reserve @0;     # entry: reserves room for a request
  release @1;     # entry: the request ended, was sent to another target or was abandoned
  began @2;       # entry: the first event of the answer arrived
  queued @3;      # agent: the request is queued
  granted @4;     # agent: the request may be sent now
  declined @5;    # agent: the request reached its maximum wait without a grant
  usage @6;       # entry: what it admitted for each organisation
  othersUsage @7; # agent: the sum of the other entries' reports
  crashReports @8; # both: what is known of ended targets; an agent answers when it knows something else
  targetQuery @9;   # entry: has the target ended?
  targetState @10;  # agent: what its next report from the target showed
  permitRequest @11; # entry: wants to send requests to a target without an agent that states a rate
  permits @12;      # agent: so many may be sent
  rolloutReport @13;    # entry to the owner of the rollouts: what it saw of one
  rolloutDirective @14; # the owner's answer
  streamBegan @15;  # entry: a stream began, or goes on, at a version
  streamQuery @16;  # entry: at which version did a stream begin?
  streamOrigin @17; # agent: the answer
}

struct OrganisationUse {
  organisation @0 :Text;
  amount @1 :Float64; # within the quota's window
  total @2 :Float64;  # in usage: since the entry's start
  demand @3 :Float64; # recent demand a second, admitted or not
}

struct CrashReport {
  target @0 :UInt64;       # hash of the incarnation that ended
  request @1 :UInt64;      # hash of the id of a request that it had not begun to answer
  organisation @2 :UInt64; # hash of the name
  ageUs @3 :UInt64;        # since the target's end
  evidence @4 :Bool;
  released @5 :Bool;
  parts @6 :List(UInt64);  # of the request's prompt; those that may have ended the target
  identity @7 :UInt64;     # of the request, if it may have ended the target; else 0
}

struct RateStatement {
  targetId @0 :Text;
  startedMs @1 :Int64;  # of the incarnation
  limited @2 :Bool;     # else the target has stopped stating a rate
  perSecond @3 :Float64;
  ageUs @4 :UInt64;     # since the answer was received
}

struct RolloutRoute {
  name @0 :Text;
  ofTarget @1 :Bool;         # answers of the version that is rolled out; else of the others
  answers @2 :UInt64;
  failures @3 :UInt64;
  byTarget @4 :List(UInt32); # counts of answers in classes of latency, see LatencyHistogram
  bySize @5 :List(UInt32);
}

struct RolloutTarget {
  id @0 :Text;
  answers @1 :UInt64;
  failures @2 :UInt64;
  slowAnswers @3 :UInt64;
}

struct Rollout {
  service @0 :Text;
  history @1 :UInt64;      # of the store, in which the order was read
  revision @2 :UInt64;     # of the order
  stage @3 :UInt8;         # as RolloutStage
  orderAgeUs @4 :UInt64;   # since the order was given, as far as the sender knows
  # In rolloutReport only. Counters are cumulative since the order.
  inProgressAtOld @5 :UInt64;
  sequence @6 :UInt32;
  part @7 :UInt16;         # a report that exceeds a datagram is sent in parts
  parts @8 :UInt16;
  sentToOld @9 :UInt64;
  sentToTarget @10 :UInt64;
  routes @11 :List(RolloutRoute);
  targets @12 :List(RolloutTarget);
}

struct GrantMessage {
  kind @0 :GrantKind;
  sender @1 :UInt64;        # random number drawn at each start of the process
  ticket @2 :UInt64;        # unique within the entry
  requestId @3 :Text;
  promptTokens @4 :UInt32;
  outputTokens @5 :UInt32;
  generated @6 :UInt32;     # in release: output tokens of a finished request
  latencyLeftUs @7 :Int64;
  waitLeftUs @8 :Int64;
  slots @9 :UInt32;
  freeSlots @10 :UInt32;
  waiting @11 :UInt32;
  startDelayUs @12 :Int64;
  prefillPerMs @13 :Float64;
  decodePerMs @14 :Float64;
  uses @15 :List(OrganisationUse);
  entries @16 :UInt32;      # in othersUsage: entries that reported recently, the receiver included
  memoryUs @17 :Int64;      # in othersUsage: how long the agent has been collecting reports
  worth @18 :Float64;
  lateShare @19 :Float64;
  timeLeftUs @20 :Int64;
  targetStartedMs @21 :Int64; # Unix time of the target's start; 0 when unknown
  crashReports @22 :List(CrashReport);
  crashDigest @23 :UInt64;    # in usage, othersUsage, crashReports: of all reports that the sender knows
  targetId @25 :Text;         # in targetQuery and targetState
  targetEnded @26 :Bool;      # in targetState: that incarnation has ended
  rates @27 :List(RateStatement); # in usage, othersUsage: what targets stated; else of the message's target
  permits @28 :UInt32;        # in permitRequest: number wanted
  asDeputy @29 :Bool;         # in permitRequest, permits: the first issuer didn't answer
  untilNextUs @30 :Int64;     # in permits: until one more can be issued
  untilPermitUs @32 :Int64;   # until the rate of the agent's target leaves one more permit
  unused @31 :Bool;           # in release: nothing was sent to the target
  moreFollow @24 :Bool;       # in crashReports: this is not the last of several datagrams
  rollout @33 :Rollout;       # in rolloutReport and rolloutDirective
  stream @34 :UInt64;         # in streamBegan, streamQuery, streamOrigin: hash of the id of the request that began it
  version @35 :Text;          # in streamBegan, streamOrigin: of the targets' software
  streamKnown @36 :Bool;      # in streamOrigin
  streamsShared @37 :Bool;    # in streamOrigin: an entry that knows several versions told the agent of streams lately
  onlyVersion @38 :Bool;      # in streamBegan: the entry knows no other version of the service
  askEntries @39 :Bool;       # in streamQuery: the agents that keep the stream don't know it; the entries may
}
