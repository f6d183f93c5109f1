//! A small fleet of real processes over loopback.
#![allow(dead_code)] // Each test file uses some of it.

pub mod fleet;
pub mod http;
pub mod tables;

use std::{
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

/// Longest wait for something that must come; never reached by a passing run.
const PATIENCE: Duration = Duration::from_secs(30);

static ONE_FLEET: Mutex<()> = Mutex::new(());

/// Lets one test's processes run at a time.
pub fn alone() -> MutexGuard<'static, ()> {
    ONE_FLEET
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Waits until `check` holds.
///
/// # Panics
///
/// If it doesn't for a long time.
pub fn eventually(what: &str, mut check: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !check() {
        assert!(Instant::now() < until, "never came about: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}
