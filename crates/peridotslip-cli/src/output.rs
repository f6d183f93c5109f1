//! Output of results as text or JSON. Colours are used only on a terminal.

use std::{io::IsTerminal, str::FromStr};

use peridotslip::tables::RowChange;
use serde::Serialize;

/// An output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    Text,
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            other => Err(format!("`{other}` is not a format; use `text` or `json`")),
        }
    }
}

impl Format {
    /// Prints `value` in the JSON format, or `text` in the text format.
    pub(crate) fn print<T: Serialize>(self, value: &T, text: impl FnOnce() -> String) {
        match self {
            Self::Text => print!("{}", text()),
            Self::Json => println!("{}", serde_json::to_string(value).unwrap_or_default()),
        }
    }
}

/// Formats changes as lines; on a terminal, removed rows are red and added rows
/// are green.
pub(crate) fn format_changes(changes: &[RowChange]) -> String {
    let colours = std::io::stdout().is_terminal();
    let text: String = changes.iter().map(ToString::to_string).collect();
    if !colours {
        return text;
    }
    text.lines().fold(String::new(), |mut out, line| {
        let colour = match line.as_bytes().first() {
            Some(b'-') => "\x1b[31m",
            Some(b'+') => "\x1b[32m",
            _ => "",
        };
        out.push_str(colour);
        out.push_str(line);
        out.push_str(if colour.is_empty() { "\n" } else { "\x1b[0m\n" });
        out
    })
}
