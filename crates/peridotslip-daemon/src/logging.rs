//! Logging, as one JSON object per line.

use log4rs::{
    append::{Append, console::ConsoleAppender, console::Target, file::FileAppender},
    config::{Appender, Config, Root},
    encode::json::JsonEncoder,
};

use crate::settings::LogSettings;

/// Installs the logger that the settings configure.
///
/// # Errors
///
/// An I/O error if the file can't be opened for appending.
pub(crate) fn start(settings: &LogSettings) -> std::io::Result<()> {
    let encoder = Box::new(JsonEncoder::new());
    let output: Box<dyn Append> = match &settings.file {
        Some(file) => Box::new(FileAppender::builder().encoder(encoder).build(file)?),
        None => Box::new(
            ConsoleAppender::builder()
                .target(Target::Stderr)
                .encoder(encoder)
                .build(),
        ),
    };
    let config = Config::builder()
        .appender(Appender::builder().build("out", output))
        .build(Root::builder().appender("out").build(settings.level))
        .map_err(std::io::Error::other)?;
    log4rs::init_config(config).map_err(std::io::Error::other)?;
    Ok(())
}
