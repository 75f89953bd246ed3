@0xb7c04e9d52a1f386;
# Distribution of the configuration between processes.

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
  # Returns immediately when the peer has a newer revision than the caller, and otherwise when it
  # receives one or after waitMs. The root is empty unless it is newer.
  fetchRoot @0 (instance :Text, haveRevision :UInt64, waitMs :UInt32)
      -> (revision :UInt64, root :Data);
  # Returns parts by id. Omits parts that the peer does not have and those that exceed the size of
  # one response.
  fetchParts @1 (ids :List(Text)) -> (parts :List(ConfigurationPart));
  # The revisions in force at this process and at the processes that called recently.
  reports @2 () -> (reports :List(RevisionReport));
}
