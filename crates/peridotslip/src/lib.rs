/*!
Components for a fleet of routers that forward requests to backend servers and
charge them to shared, prepaid token budgets.

The crate contains decision logic without I/O: each type takes inputs and
returns actions or values. No component opens a socket, reads a clock or starts
a task, so each one can be tested step by step and embedded in another program.
Times are arguments, in milliseconds.

# Example: spending from an escrowed grant

A [`LocalLedger`](ledger::LocalLedger) belongs to one router process. A
[`ShardRecord`](ledger::ShardRecord) is the durable record of some budgets, in a
store with compare-and-swap. The record grants tokens to the ledger before the
router may spend them, so the sum of the settled and the granted tokens never
exceeds the paid tokens.

```
use peridotslip::prelude::*;

let budget = BudgetName::from("studio-muscat");
let mut record = ShardRecord::default();
let mut ledger = LocalLedger::new(Incarnation::from(1));
ledger.set_paid(&budget, 1_000);

// Nothing has been granted yet: the next report requests 300 tokens.
assert!(matches!(ledger.reserve(&budget, 300, 0), ReserveResult::Insufficient));

// The report is applied to the record, the record is written to the store with
// compare-and-swap, and only then does the ledger accept the reply.
let report = ledger.report(0);
let reply = record.apply(&report, 0);
ledger.accept(&reply);

// Now the reservation succeeds and is settled with the actual usage.
let ReserveResult::Reserved(reservation) = ledger.reserve(&budget, 300, 1) else {
    panic!("granted tokens are spendable");
};
ledger.settle(reservation, Bill::new(None, 120), 2);
let reply = record.apply(&ledger.report(2), 2);
ledger.accept(&reply);
assert_eq!(record.account(&budget).unwrap().settled, 120);
```

# Layers

- [`ids`]: identifiers of organisations, budgets, requests and routers.
- [`tables`]: validation, merging and matching of the operators' tables of
  routes and pools.
- [`config`]: the storage format of the tables, as pages and a manifest.
- [`ledger`]: accounts, grants, settlements and claims.
- [`reclaim`]: reclaiming the grants of routers that have ended.
- [`replication`]: replicas of settlements, which survive a crash of the
  settling router.
- [`members`]: membership of the routers and ownership of keys.
- [`dedupe`]: deduplication of requests in one process.
- [`admission`]: concurrency limiting, queueing and early refusal of requests.
- [`scarcity`]: who may use the last tokens of a budget.
- [`balance`]: selection of a backend server.
- [`body_memory`]: which bodies of requests may use the memory that they share.
- [`forwarding`]: routing, placement and retry budgets for forwarded requests.
- [`events`]: framing of server-sent events.
- [`fair_share`]: fair shares of a short resource between organisations.
- [`held_connections`]: which callers' connections are closed when they are short.
- [`link_admission`]: admission of requests by the bytes that they move over a link.
- [`local_slowness`]: whether a router is too slow itself to tell which servers are.
- [`memory`]: a bound on the memory of buffers that requests share.
- [`slow_readers`]: which caller gives way when that memory is short.
- [`refusal`]: the reasons for which a request is refused or retried.
- [`rotation`]: whether an overloaded router should get new connections.
- [`relay`]: passing the store's changes on from few routers to all others.
- [`vm_shares`]: the shares of a VM's memory and descriptors that clients can use.
*/

pub mod admission;
pub mod balance;
pub mod body_memory;
pub mod config;
pub mod dedupe;
pub mod events;
pub mod fair_share;
pub mod forwarding;
pub mod held_connections;
pub mod ids;
pub mod ledger;
pub mod link_admission;
pub mod local_slowness;
pub mod members;
pub mod memory;
pub mod prelude;
pub mod reclaim;
pub mod refusal;
pub mod relay;
pub mod replication;
pub mod rotation;
pub mod scarcity;
pub mod slow_readers;
pub mod tables;
mod util;
pub mod vm_shares;
