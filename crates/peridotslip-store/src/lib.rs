/*!
What the platform offers, as traits, with clients for it.

- [`Store`]: the key-value service with compare-and-swap and watches;
  [`HttpStore`] talks to it and [`MemoryStore`] is a fake with faults.
- [`TableStore`]: the operators' tables in a store: pages, manifest and history.
- [`VmList`]: the platform's lagging list of VMs.

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
