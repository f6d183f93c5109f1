//! Values of the store that another writer has left: none may end the process or take
//! memory for more than it has.

use peridotslip::{
    forwarding::{OriginKey, StoredOrigins},
    ledger::ShardRecord,
};

/// A length of 2^60 in the crate's binary format, for a string or a list.
const HUGE_LENGTH: [u8; 9] = [253, 0, 0, 0, 0, 0, 0, 0, 16];

/// Returns values that begin as sound ones and go on with a huge length.
fn values() -> Vec<Vec<u8>> {
    let mut values = vec![Vec::new(), vec![255; 64], b"{\"a\":".repeat(10_000)];
    for prefix_len in 0..6 {
        for byte in [0, 1, 2, 255] {
            let mut value = vec![byte; prefix_len];
            value.extend(HUGE_LENGTH);
            value.extend([0; 32]);
            values.push(value);
        }
    }
    values
}

/// Guards against processes that end: a record with a huge length made the router ask for
/// as much memory.
#[test]
fn records_with_huge_lengths_are_invalid() {
    for value in values() {
        // An empty value may decode as an empty record.
        let _decoded = ShardRecord::decode(&value);
    }
}

/// The same for records of streams' origins.
#[test]
fn batches_of_origins_with_huge_lengths_are_passed_over() {
    for value in values() {
        let found = StoredOrigins::read(std::iter::once(value.as_slice()), 0);

        assert_eq!(found.find(OriginKey::of("begun")), None);
    }
}

/// Guards against a router that stands still: a value may hold many short origins, which
/// were compared with each other.
#[test]
fn batch_with_more_origins_than_a_router_writes_is_passed_over() {
    // A batch of format 1 that was written at time 0, with origins of empty names.
    let count = 60_000_u16;
    let mut value = vec![1, 0, 251];
    value.extend(count.to_le_bytes());
    value.resize(value.len() + 2 * usize::from(count), 0);
    value.push(0);

    let found = StoredOrigins::read(std::iter::once(value.as_slice()), 0);

    assert!(found.is_empty());
}
