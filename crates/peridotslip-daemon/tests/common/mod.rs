//! Fixture: a small fleet of real processes on the loopback interface.
#![allow(dead_code)] // Each test file uses a part of the fixture.

pub mod fleet;
pub mod http;
pub mod scripted;
pub mod tables;

use std::{
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

/// Time limit for an awaited condition; a passing run does not reach it.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// Locks out the other tests of the file while one test's processes run.
pub fn exclusive() -> MutexGuard<'static, ()> {
    FLEET_LOCK
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Waits until `check` returns true; `condition` describes it in the failure
/// message.
///
/// # Panics
///
/// If the condition does not hold within the time limit.
pub fn eventually(condition: &str, mut check: impl FnMut() -> bool) {
    let until = Instant::now() + WAIT_LIMIT;
    while !check() {
        assert!(Instant::now() < until, "timed out waiting for: {condition}");
        std::thread::sleep(Duration::from_millis(50));
    }
}
