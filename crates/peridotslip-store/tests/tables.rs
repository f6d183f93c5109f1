//! Publishing tables while writes to the store fail or lose their replies, and the
//! leases of the in-memory store.

use std::{collections::VecDeque, time::Duration};

use peridotslip::{
    prelude::*,
    tables::{Budget, Error as RowError},
};
use peridotslip_store::{
    Error, InjectedFaults, MemoryStore, Store, TableError, TableStore, WriteFault,
};

fn tables(revision: u64, paid_tokens: u64) -> Tables {
    Tables {
        revision: Revision::from(revision),
        pools: PoolTable {
            budgets: vec![Budget {
                name: "b".into(),
                firm: "f".to_owned(),
                organisation: "o".into(),
                paid_tokens,
            }],
            pools: Vec::new(),
        },
        ..Tables::default()
    }
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("the runtime can be built").block_on(future)
}

fn faults(write_faults: &[Option<WriteFault>]) -> InjectedFaults {
    InjectedFaults {
        write_faults: VecDeque::from(write_faults.to_vec()),
        ..InjectedFaults::default()
    }
}

#[test]
fn publish_reports_the_actual_outcome_of_each_write_fault() {
    let kinds = [
        WriteFault::Rejected,
        WriteFault::ReplyLost,
        WriteFault::RequestLost,
    ];
    // A publication writes a page, the archived manifest and the new manifest.
    for at in 0..3 {
        for fault in kinds {
            block_on(async {
                let store = MemoryStore::new();
                let config = TableStore::new(&store);
                config
                    .publish(&tables(0, 1), "ops", "")
                    .await
                    .expect("no fault is injected yet");
                let mut writes = vec![None; at];
                writes.push(Some(fault));
                store.set_faults(faults(&writes));

                let published = config.publish(&tables(1, 2), "ops", "").await;

                store.set_faults(InjectedFaults::default());
                let (manifest, _) = config.manifest().await.expect("the faults are cleared");
                let active = config
                    .load_tables(&manifest)
                    .await
                    .expect("the pages are stored");
                match published {
                    Ok(revision) => {
                        assert_eq!(manifest.revision, revision, "{fault:?} at {at}");
                        assert_eq!(active.pools.budgets[0].paid_tokens, 2, "{fault:?} at {at}");
                    }
                    Err(err) => {
                        assert!(
                            matches!(err, TableError::Store(_)),
                            "{fault:?} at {at}: {err}"
                        );
                        assert_eq!(active.pools.budgets[0].paid_tokens, 1, "{fault:?} at {at}");
                    }
                }
                let again = config.publish(&tables(1, 2), "ops", "").await;
                assert_eq!(
                    again.expect("the faults are cleared"),
                    Revision::from(2),
                    "{fault:?} at {at}"
                );
            });
        }
    }
}

#[test]
fn publish_rejects_lowered_paid_tokens_and_archives_old_revisions() {
    block_on(async {
        let store = MemoryStore::new();
        let config = TableStore::new(&store);
        config
            .publish(&tables(0, 5), "ops", "first")
            .await
            .expect("no fault is injected");
        config
            .publish(&tables(1, 7), "ops", "second")
            .await
            .expect("no fault is injected");

        let lowered = config.publish(&tables(2, 6), "ops", "").await;
        let missing = config.manifest_at(Revision::from(9)).await;

        assert!(matches!(
            lowered,
            Err(TableError::Rejected(RowError::Invalid(_)))
        ));
        assert!(matches!(missing, Err(TableError::NoSuchRevision(_))));
        let first = config
            .manifest_at(Revision::from(1))
            .await
            .expect("revision 1 is archived");
        assert_eq!(first.note, "first");
    });
}

#[test]
fn leased_key_expires_unless_renewed() {
    block_on(async {
        let store = MemoryStore::new();
        let (short, long) = (Duration::from_millis(1), Duration::from_secs(600));
        let version = store
            .compare_and_swap_with_ttl("kept", 0, b"a", long)
            .await
            .expect("the key does not exist");
        store
            .compare_and_swap_with_ttl("kept", version, b"a", long)
            .await
            .expect("the key is at this version");
        store
            .compare_and_swap_with_ttl("lost", 0, b"a", short)
            .await
            .expect("the key does not exist");
        tokio::time::sleep(Duration::from_millis(20)).await;

        assert!(
            store
                .get("kept")
                .await
                .expect("no fault is injected")
                .is_some()
        );
        assert_eq!(store.get("lost").await, Ok(None));
        assert_eq!(
            store.compare_and_swap("kept", 0, b"b").await,
            Err(Error::Conflict(2))
        );
        assert!(store.compare_and_swap("lost", 0, b"b").await.is_ok());
    });
}
