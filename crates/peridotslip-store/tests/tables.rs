//! Publishing tables while the store fails.

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

fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime can be made").block_on(future)
}

fn faults(write_faults: &[Option<WriteFault>]) -> InjectedFaults {
    InjectedFaults {
        write_faults: VecDeque::from(write_faults.to_vec()),
        ..InjectedFaults::default()
    }
}

#[test]
fn whatever_happens_to_any_write_the_tool_tells_the_truth() {
    let kinds = [
        WriteFault::Rejected,
        WriteFault::ReplyLost,
        WriteFault::RequestLost,
    ];
    // A page, the archived manifest and the manifest are written.
    for at in 0..3 {
        for fault in kinds {
            run(async {
                let store = MemoryStore::new();
                let config = TableStore::new(&store);
                config
                    .publish(&tables(0, 1), "ops", "")
                    .await
                    .expect("no fault yet");
                let mut writes = vec![None; at];
                writes.push(Some(fault));
                store.set_faults(faults(&writes));

                let published = config.publish(&tables(1, 2), "ops", "").await;

                store.set_faults(InjectedFaults::default());
                let (manifest, _) = config.manifest().await.expect("no fault any more");
                let in_force = config
                    .load_tables(&manifest)
                    .await
                    .expect("its pages are there");
                match published {
                    Ok(revision) => {
                        assert_eq!(manifest.revision, revision, "{fault:?} at {at}");
                        assert_eq!(
                            in_force.pools.budgets[0].paid_tokens, 2,
                            "{fault:?} at {at}"
                        );
                    }
                    Err(err) => {
                        assert!(
                            matches!(err, TableError::Store(_)),
                            "{fault:?} at {at}: {err}"
                        );
                        assert_eq!(
                            in_force.pools.budgets[0].paid_tokens, 1,
                            "{fault:?} at {at}"
                        );
                    }
                }
                let again = config.publish(&tables(1, 2), "ops", "").await;
                assert_eq!(
                    again.expect("no fault any more"),
                    Revision::from(2),
                    "{fault:?} at {at}"
                );
            });
        }
    }
}

#[test]
fn a_lowered_payment_is_refused_and_an_old_revision_is_kept() {
    run(async {
        let store = MemoryStore::new();
        let config = TableStore::new(&store);
        config
            .publish(&tables(0, 5), "ops", "first")
            .await
            .expect("no fault");
        config
            .publish(&tables(1, 7), "ops", "second")
            .await
            .expect("no fault");

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
            .expect("it is archived");
        assert_eq!(first.note, "first");
    });
}

#[test]
fn a_leased_key_goes_unless_it_is_renewed() {
    run(async {
        let store = MemoryStore::new();
        let (short, long) = (Duration::from_millis(1), Duration::from_secs(600));
        let version = store
            .compare_and_swap_with_ttl("kept", 0, b"a", long)
            .await
            .expect("it is free");
        store
            .compare_and_swap_with_ttl("kept", version, b"a", long)
            .await
            .expect("it is held");
        store
            .compare_and_swap_with_ttl("lost", 0, b"a", short)
            .await
            .expect("it is free");
        tokio::time::sleep(Duration::from_millis(20)).await;

        assert!(store.get("kept").await.expect("no fault").is_some());
        assert_eq!(store.get("lost").await, Ok(None));
        assert_eq!(
            store.compare_and_swap("kept", 0, b"b").await,
            Err(Error::Conflict(2))
        );
        assert!(store.compare_and_swap("lost", 0, b"b").await.is_ok());
    });
}
