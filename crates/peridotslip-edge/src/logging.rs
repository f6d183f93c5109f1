//! Logs: one JSON object a line on standard output.
//!
//! Lines go through a bounded queue to a thread that writes them, so a slow
//! reader never holds up a request. Lines that don't fit are dropped and
//! counted.

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

/// Lines dropped since the process started.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines dropped since the process started.
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

/// Starts logging as the settings say.
///
/// # Errors
///
/// An I/O error if the thread that writes can't be started.
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
