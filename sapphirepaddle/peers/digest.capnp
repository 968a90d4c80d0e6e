@0xb6e1f0a94d3c7a51;

# Datagrams between daemons, and the snapshots that they fetch over TCP. Counts
# name targets, accounts, services and daemons by 32-bit hashes. A revision
# belongs to the era beside it; an era of 0 is unknown.

struct TargetCount {
  target @0 :UInt32;
  good @1 :UInt16;
  bad @2 :UInt16;
  running @3 :UInt16;
}

struct AccountCount {
  account @0 :UInt32;
  admitted @1 :UInt32;
}

struct ServiceCount {
  service @0 :UInt32;
  requests @1 :UInt32;
  repeats @2 :UInt32;
}

struct Digest {
  sender @0 :UInt32;
  start @1 :UInt32;
  isForwarded @2 :Bool;
  isLeaving @3 :Bool;
  version @4 :UInt32;
  targets @5 :List(TargetCount);
  accounts @6 :List(AccountCount);
  services @7 :List(ServiceCount);
  contactAge @8 :UInt16;
  targetsMark @9 :UInt32;
  answerAge @10 :UInt16;
  verifiedAge @11 :UInt16;
  zonesMark @12 :UInt8;
}

struct Hello {
  name @0 :Text;
  zone @1 :Text;
  host @2 :Text;
  incarnation @3 :UInt64;
  isAnswer @4 :Bool;
  isForwarded @5 :Bool;
}

struct LeavingTarget {
  target @0 :UInt32;
  incarnation @1 :UInt64;
}

struct LeavingNotice {
  targets @0 :List(LeavingTarget);
  isForwarded @1 :Bool;
}

struct EmptiedZone {
  name @0 :Text;
  ageMs @1 :UInt32;
}

struct ZoneState {
  revision @0 :UInt64;
  zones @1 :List(EmptiedZone);
  isForwarded @2 :Bool;
  era @3 :UInt32;
}

struct ColdTarget {
  target @0 :UInt32;
  warmupMs @1 :UInt32;
  incarnation @2 :UInt64;
}

struct ColdNotice {
  targets @0 :List(ColdTarget);
}

struct AccountLevel {
  account @0 :UInt32;
  tokens @1 :Float32;
}

struct QuotaLevels {
  levels @0 :List(AccountLevel);
}

struct RegistrationChange {
  name @0 :Text;
  content @1 :Data;
}

struct RegistrationChanges {
  baseFingerprint @0 :UInt32;
  revision @1 :UInt64;
  isLast @2 :Bool;
  changes @3 :List(RegistrationChange);
  era @4 :UInt32;
}

struct Datagram {
  union {
    digest @0 :Digest;
    hello @1 :Hello;
    bundle @2 :List(Digest);
    leaving @3 :LeavingNotice;
    changes @4 :RegistrationChanges;
    zones @5 :ZoneState;
    cold @6 :ColdNotice;
    quotas @7 :QuotaLevels;
  }
}

struct Snapshot {
  configuration @0 :Data;
  targets @1 :Data;
  members @2 :List(Hello);
  targetsRevision @3 :UInt64;
  zones @4 :List(EmptiedZone);
  zonesRevision @5 :UInt64;
  targetsEra @6 :UInt32;
  zonesEra @7 :UInt32;
}
