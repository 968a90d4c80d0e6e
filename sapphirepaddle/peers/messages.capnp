@0xb3f1c2a97d5e4f60;
# Messages between daemons. Every field name is one word, so that it is the
# same in Python. Times are in seconds.

struct Item {
  topic @0 :Text;
  key @1 :Text;
  version @2 :UInt64;
  payload @3 :Data;
}

struct Sum {
  topic @0 :Text;
  count @1 :UInt32;
  digest @2 :UInt64;
}

struct Hello {
  vm @0 :Text;
  zone @1 :Text;
  incarnation @2 :UInt64;
  nonce @3 :Data;
}

struct Heartbeat {
  revision @0 :UInt64;
  age @1 :Float64;
  leaving @2 :Bool;
}

struct News {
  items @0 :List(Item);
}

struct Sums {
  sums @0 :List(Sum);
}

struct ChangesAsk {
  after @0 :UInt64;
}

struct Changes {
  entries @0 :List(Data);
}

struct SnapshotAsk {
  cursor @0 :UInt64;
}

struct Snapshot {
  revision @0 :UInt64;
  cursor @1 :UInt64;
  puts @2 :List(Data);
}

struct TokensAsk {
  account @0 :Text;
  partition @1 :UInt32;
  wanted @2 :Float64;
  spent @3 :Float64;
}

struct Tokens {
  amount @0 :Float64;
  wait @1 :Float64;
  owned @2 :Bool;
}

struct ClaimAsk {
  shard @0 :UInt32;
  record @1 :Data;
}

struct Claim {
  verdict @0 :Text;
  record @1 :Data;
}

struct Observation {
  target @0 :Text;
  good @1 :UInt32;
  bad @2 :UInt32;
  slow @3 :UInt32;
}

struct Report {
  observations @0 :List(Observation);
}

struct Failure {
  code @0 :UInt32;
}

struct Frame {
  number @0 :UInt64;
  reply @1 :UInt64;
  body :union {
    hello @2 :Hello;
    heartbeat @3 :Heartbeat;
    news @4 :News;
    sums @5 :Sums;
    changesask @6 :ChangesAsk;
    changes @7 :Changes;
    snapshotask @8 :SnapshotAsk;
    snapshot @9 :Snapshot;
    tokensask @10 :TokensAsk;
    tokens @11 :Tokens;
    claimask @12 :ClaimAsk;
    claim @13 :Claim;
    report @14 :Report;
    failure @15 :Failure;
  }
}
