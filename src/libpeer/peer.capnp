@0xb7c04e9d52a1f386;
# How processes hand the configuration to each other.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("wigeonsill::schema");

struct ConfigurationPart {
  id @0 :Text;
  text @1 :Data;
}

struct RevisionReport {
  instance @0 :Text;
  revision @1 :UInt64;
  ageMs @2 :UInt64;
}

interface ConfigurationPeer {
  # Answers at once when the peer has a revision above the caller's, and otherwise when it gets one
  # or the wait is over. The root is empty unless it is newer.
  fetchRoot @0 (instance :Text, haveRevision :UInt64, waitMs :UInt32)
      -> (revision :UInt64, root :Data);
  # Parts by their ids; those that the peer lacks are left out, and so is what exceeds one answer.
  fetchParts @1 (ids :List(Text)) -> (parts :List(ConfigurationPart));
  # The revisions that are in force here and at the processes that called lately.
  reports @2 () -> (reports :List(RevisionReport));
}
