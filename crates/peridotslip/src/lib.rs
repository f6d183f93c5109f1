/*!
Coordination parts for spending prepaid token budgets from many machines.

The crate holds decision logic only: every type here takes inputs and returns
actions or values. Nothing opens a socket, reads a clock or starts a task, so
each part can be tested step by step and embedded in another program. Times
are milliseconds passed in by the caller.

# Example: spending from an escrowed grant

A [`LocalLedger`](ledger::LocalLedger) lives in one router process. A
[`ShardRecord`](ledger::ShardRecord) is the durable record of some budgets; it
lives in a store with compare-and-swap. Tokens move from the record to the
ledger before they may be spent, so the sum of what was settled and what was
granted never passes what was paid.

```
use peridotslip::prelude::*;

let budget = BudgetName::from("studio-muscat");
let mut record = ShardRecord::default();
let mut ledger = LocalLedger::new(Incarnation::from(1));
ledger.set_paid(&budget, 1_000);

// Nothing has been granted yet: the ledger asks for 300 tokens.
assert!(matches!(ledger.reserve(&budget, 300, 0), ReserveResult::Insufficient));

// The report is applied to the record, the record is swapped in the store,
// and only then is the reply given to the ledger.
let report = ledger.report(0);
let reply = record.apply(&report, 0);
ledger.accept(&reply);

// Now the reservation succeeds and is settled on real usage.
let ReserveResult::Reserved(reservation) = ledger.reserve(&budget, 300, 1) else {
    panic!("granted tokens are spendable");
};
ledger.settle(reservation, Bill::new(None, 120), 2);
let reply = record.apply(&ledger.report(2), 2);
ledger.accept(&reply);
assert_eq!(record.account(&budget).unwrap().settled, 120);
```

# Layers

- [`ids`]: names and numbers that identify things.
- [`tables`]: the operators' two tables, their checks, merging and matching.
- [`config`]: how tables become pages and a manifest in the store.
- [`ledger`]: accounts, grants, settlements and claims.
- [`reclaim`]: when the grants of a router that has gone are free again.
- [`replication`]: copies of bills that outlive the router that made them.
- [`members`]: which routers there are, and who has which duty.
- [`dedupe`]: joining and replaying duplicate requests in one process.
- [`admission`]: how many requests run, which go first, which are refused.
- [`balance`]: choosing a backend server.
- [`refusal`]: every reason for which a request is refused or retried.
*/

pub mod admission;
pub mod balance;
pub mod config;
pub mod dedupe;
pub mod events;
pub mod forwarding;
pub mod ids;
pub mod ledger;
pub mod members;
pub mod prelude;
pub mod reclaim;
pub mod refusal;
pub mod replication;
pub mod tables;
mod util;
