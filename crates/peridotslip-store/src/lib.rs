/*!
Traits for the services of the platform, and their clients.

- [`Store`]: the key-value service with compare-and-swap and watches.
  [`HttpStore`] is its HTTP client and [`MemoryStore`] an in-memory fake with
  fault injection.
- [`TableStore`]: the operators' tables in a store: pages, manifest and history.
- [`VmList`]: the platform's list of VMs, which lags behind their actual state.
  [`HttpVmList`] is its HTTP client.

# Example

```
use peridotslip::prelude::*;
use peridotslip_store::{MemoryStore, TableStore};

# tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
let store = MemoryStore::new();
let tables = TableStore::new(&store);
let accepted = tables.publish(&Tables::default(), "ops", "first tables").await.unwrap();
assert_eq!(accepted.value(), 1);
# });
```
*/

mod http_store;
mod memory;
mod store;
mod tables;
mod vms;

pub use self::{
    http_store::HttpStore,
    memory::{InjectedFaults, MemoryStore, WriteFault},
    store::{Error, Result, Store, VersionedValue},
    tables::{MANIFEST_KEY, TableError, TableStore},
    vms::{HttpVmList, Vm, VmList, VmState},
};
