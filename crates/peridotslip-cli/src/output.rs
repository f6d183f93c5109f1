//! Output of results as text or JSON. Colours are used only on a terminal.

use std::{collections::BTreeSet, io::IsTerminal, str::FromStr};

use peridotslip::tables::RowChange;
use serde::Serialize;
use serde_json::{Map, Value};

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

/// Describes a change of a row by its fields.
pub(crate) fn describe_change(change: &RowChange) -> String {
    let fields = |row: &Option<String>| -> Option<Map<String, Value>> {
        serde_json::from_str(row.as_deref()?).ok()
    };
    let (Some(old), Some(new)) = (fields(&change.old), fields(&change.new)) else {
        let kind = if change.old.is_none() {
            "added"
        } else {
            "removed"
        };
        return kind.to_owned();
    };
    let value = |row: &Map<String, Value>, field: &str| {
        row.get(field).map_or("unset".to_owned(), Value::to_string)
    };
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let changed = names
        .into_iter()
        .filter(|name| old.get(*name) != new.get(*name));
    let changed = changed.map(|name| match name.as_str() {
        "keys" => "keys changed".to_owned(),
        name => format!("{name}: {}, was {}", value(&new, name), value(&old, name)),
    });
    changed.collect::<Vec<String>>().join("; ")
}
