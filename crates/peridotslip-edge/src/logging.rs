//! Logging: one JSON object per line on standard output.
//!
//! Lines pass through a bounded queue to a writer thread, so that a slow reader
//! of standard output never delays a request. Lines that exceed the queue are
//! dropped and counted.

use std::{
    io::Write,
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
};

use log4rs::{
    append::Append,
    config::{Appender, Config, Root},
    encode::{Encode, json::JsonEncoder, writer::simple::SimpleWriter},
};

use crate::settings::Log;

/// Number of lines dropped since the process started.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped since the process started.
pub(crate) fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

#[derive(Debug)]
struct Queue {
    encoder: JsonEncoder,
    tx: SyncSender<Vec<u8>>,
}

impl Append for Queue {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
        let mut writer = SimpleWriter(Vec::with_capacity(256));
        self.encoder.encode(&mut writer, record)?;
        if self.tx.try_send(writer.0).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

fn write_lines(rx: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout().lock();
    while let Ok(line) = rx.recv() {
        if out.write_all(&line).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Starts logging with `settings`.
///
/// # Errors
///
/// An I/O error if the writer thread can't be started or logging is set up
/// already.
pub(crate) fn start(settings: &Log) -> std::io::Result<()> {
    let (tx, rx) = sync_channel(settings.queue_lines);
    std::thread::Builder::new()
        .name("log".to_owned())
        .stack_size(64 * 1024)
        .spawn(move || write_lines(&rx))?;
    let queue = Queue {
        encoder: JsonEncoder::new(),
        tx,
    };
    let config = Config::builder()
        .appender(Appender::builder().build("out", Box::new(queue)))
        .build(Root::builder().appender("out").build(settings.level))
        .map_err(std::io::Error::other)?;
    log4rs::init_config(config).map_err(std::io::Error::other)?;
    Ok(())
}
