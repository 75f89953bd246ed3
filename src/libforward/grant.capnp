@0xb1f0c2d95a3e7741;
# Datagrams between entries, which hold requests, and agents, which admit them to their targets.
# Each datagram is one GrantMessage; each may be lost, repeated or late.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("wigeonsill::schema");

enum GrantKind {
  reserve @0;     # entry: this request wants room
  release @1;     # entry: it ended, went elsewhere or was given up
  began @2;       # entry: its first event arrived
  queued @3;      # agent: it waits
  granted @4;     # agent: send it now
  declined @5;    # agent: it waited to the end of its time
  usage @6;       # entry: what it admitted for each organisation lately
  othersUsage @7; # agent: the sum of the other entries' reports
}

struct OrganisationUse {
  organisation @0 :Text;
  amount @1 :Float64; # in the quota's window
  total @2 :Float64;  # in usage: since the entry's start
  demand @3 :Float64; # asked for each second of late
}

struct GrantMessage {
  kind @0 :GrantKind;
  sender @1 :UInt64;        # drawn at each start of the process
  ticket @2 :UInt64;        # unique within the entry
  requestId @3 :Text;
  promptTokens @4 :UInt32;
  outputTokens @5 :UInt32;
  generated @6 :UInt32;     # in release: output tokens of a request that ended
  latencyLeftUs @7 :Int64;
  waitLeftUs @8 :Int64;
  slots @9 :UInt32;
  freeSlots @10 :UInt32;
  waiting @11 :UInt32;
  startDelayUs @12 :Int64;
  prefillPerMs @13 :Float64;
  decodePerMs @14 :Float64;
  uses @15 :List(OrganisationUse);
  entries @16 :UInt32;      # in othersUsage: entries that reported lately
  memoryUs @17 :Int64;      # in othersUsage: how long the agent has been collecting
  worth @18 :Float64;
  lateShare @19 :Float64;
  timeLeftUs @20 :Int64;
  targetStartedMs @21 :Int64; # Unix time; 0 when not known
}
