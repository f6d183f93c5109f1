//! The bound on the memory of shared buffers.

use peridotslip::memory::{AppendError, MemoryPool, MemoryShare, OutOfMemory, PooledBuffer};
use proptest::prelude::*;

const CAPACITY: usize = 1_000;

/// Grows a share byte by byte until the pool refuses. Returns its size.
fn fill(share: &mut MemoryShare) -> usize {
    (1..=CAPACITY + 1)
        .find(|bytes| share.resize(*bytes).is_err())
        .map_or(0, |refused| refused - 1)
}

#[test]
fn single_buffer_may_use_half_of_the_pool() {
    let pool = MemoryPool::new(CAPACITY);
    let mut share = pool.share();

    assert_eq!(fill(&mut share), CAPACITY / 2);
}

/// Guards against large buffers that leave no room for a small one.
#[test]
fn small_buffer_fits_beside_any_number_of_large_ones() {
    let pool = MemoryPool::new(CAPACITY);
    let mut large: Vec<_> = (0..9).map(|_| pool.share()).collect();
    // Equal buffers that grow in turn.
    let mut growing = true;
    while growing {
        growing = false;
        for share in &mut large {
            let next = CAPACITY - pool.free();
            growing |= share.resize(next / 9 + 1).is_ok();
        }
    }

    assert!(pool.share().resize(CAPACITY / 20).is_ok());
}

#[test]
fn refused_buffer_keeps_its_size_and_may_shrink() {
    let pool = MemoryPool::new(CAPACITY);
    let mut share = pool.share();
    share.resize(400).unwrap();
    let _other = {
        let mut other = pool.share();
        other.resize(200).unwrap();
        other
    };

    assert_eq!(share.resize(500), Err(OutOfMemory));
    assert_eq!(pool.free(), 400);
    assert_eq!(share.resize(100), Ok(()));
    assert_eq!(pool.free(), 700);
}

#[test]
fn buffer_has_a_limit_and_returns_its_memory() {
    let pool = MemoryPool::new(CAPACITY);
    let mut buf = PooledBuffer::new(&pool, 300);

    for _ in 0..3 {
        buf.append(&[7; 100]).unwrap();
    }

    assert_eq!(buf.append(b"x"), Err(AppendError::TooLong(300)));
    let content = buf.finish();
    assert_eq!(content.as_ref(), [7; 300]);
    assert_eq!(pool.free(), CAPACITY - 300);
    assert_eq!(content.into_content(), [7; 300]);
    assert_eq!(pool.free(), CAPACITY);
}

#[test]
fn buffer_is_unchanged_if_the_pool_has_no_memory() {
    let pool = MemoryPool::new(CAPACITY);
    let mut buf = PooledBuffer::new(&pool, CAPACITY);
    buf.append(&[7; 400]).unwrap();

    assert_eq!(buf.append(&[7; 200]), Err(AppendError::OutOfMemory(600)));
    assert_eq!(buf.finish().as_ref(), [7; 400]);
}

/// What happens to a buffer.
#[derive(Clone, Copy, Debug)]
enum Action {
    Resize(usize),
    Split(usize),
    Drop,
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        (0..=CAPACITY).prop_map(Action::Resize),
        (0..=CAPACITY).prop_map(Action::Split),
        Just(Action::Drop),
    ]
}

proptest! {
    /// Guards against memory that is counted twice or not returned.
    #[test]
    fn memory_is_neither_lost_nor_exceeded(
        actions in prop::collection::vec((0_usize..8, action()), 0..100),
    ) {
        let pool = MemoryPool::new(CAPACITY);
        let mut shares: Vec<_> = (0..8).map(|_| pool.share()).collect();
        let mut parts = Vec::new();

        for (index, action) in actions {
            match action {
                Action::Resize(bytes) => {
                    let _may_fail = shares[index].resize(bytes);
                }
                Action::Split(bytes) => parts.push(shares[index].split(bytes)),
                Action::Drop => shares[index] = pool.share(),
            }
            prop_assert!(pool.free() <= CAPACITY);
        }

        drop((shares, parts));
        prop_assert_eq!(pool.free(), CAPACITY);
    }
}
