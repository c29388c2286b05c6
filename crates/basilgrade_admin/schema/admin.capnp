# Operators' interface of a daemon. Fields and methods are only ever added, so that older tools
# keep working. After a change, from the package directory:
#   capnp compile -orust:src --src-prefix=schema schema/admin.capnp
@0xd2c1b4f70a9e3865;

interface Admin {
  status @0 () -> (status :Status);
  # `known` is false if the daemon has no decision of the request.
  explain @1 (request :Text) -> (known :Bool, lines :List(Text));
  # Starts to drain and returns at once.
  drain @2 () -> ();
  setLevel @3 (level :Text) -> ();
  # Revision 0 means that there is none yet.
  configuration @4 () -> (revision :UInt64, text :Text);
}

struct Status {
  vm @0 :Text;
  domain @1 :Text;
  incarnation @2 :UInt64;
  revision @3 :UInt64;
  offset @4 :UInt64;
  phase @5 :Phase;
  members @6 :List(Member);
  leaving @7 :List(Text);
  ejected @8 :List(Text);
  slots @9 :List(Slot);
  counters @10 :List(Counter);

  enum Phase {
    starting @0;
    ready @1;
    draining @2;
  }
}

struct Member {
  vm @0 :Text;
  domain @1 :Text;
  incarnation @2 :UInt64;
  state @3 :State;

  enum State {
    alive @0;
    suspect @1;
    leaving @2;
    dead @3;
  }
}

struct Slot {
  number @0 :UInt8;
  role @1 :Role;
  epoch @2 :UInt64;

  enum Role {
    primary @0;
    backup @1;
  }
}

struct Counter {
  name @0 :Text;
  value @1 :UInt64;
}
