//! Comparing and merging rows by name.

use std::{collections::HashMap, fmt};

use serde::Serialize;

use super::{Budget, Pool, Route};

/// A row that has a name.
pub trait TableRow: Clone + PartialEq + Serialize {
    /// What the row is called in messages.
    const KIND: &'static str;

    /// The row's name.
    fn name(&self) -> &str;
}

macro_rules! impl_row {
    ($($row:ident => $kind:literal),*) => {
        $(impl TableRow for $row {
            const KIND: &'static str = $kind;

            fn name(&self) -> &str {
                self.name.as_str()
            }
        })*
    };
}

impl_row!(Route => "route", Pool => "pool", Budget => "budget");

/// One row's difference between two tables.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RowChange {
    /// What kind of row.
    pub kind: &'static str,
    /// The row's name.
    pub name: String,
    /// The old row as JSON, if there was one.
    pub old: Option<String>,
    /// The new row as JSON, if there is one.
    pub new: Option<String>,
}

impl fmt::Display for RowChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} `{}`", self.kind, self.name)?;
        if let Some(old) = &self.old {
            writeln!(f, "- {old}")?;
        }
        if let Some(new) = &self.new {
            writeln!(f, "+ {new}")?;
        }
        Ok(())
    }
}

/// A row that two operators changed differently.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RowConflict {
    /// The other operator's change, which is in force.
    pub theirs: RowChange,
}

impl fmt::Display for RowConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} `{}` was changed by somebody else to {}; get the tables again and repeat the edit",
            self.theirs.kind,
            self.theirs.name,
            self.theirs
                .new
                .as_deref()
                .unwrap_or("nothing (it was removed)")
        )
    }
}

fn by_name<R: TableRow>(rows: &[R]) -> HashMap<&str, &R> {
    rows.iter().map(|row| (row.name(), row)).collect()
}

fn describe<R: TableRow>(old: Option<&R>, new: Option<&R>, name: &str) -> RowChange {
    let json = |row: &R| serde_json::to_string(row).unwrap_or_default();
    RowChange {
        kind: R::KIND,
        name: name.to_owned(),
        old: old.map(json),
        new: new.map(json),
    }
}

/// The rows that differ, in the order of `new`, removed rows last.
pub fn changes<R: TableRow>(old: &[R], new: &[R]) -> Vec<RowChange> {
    let (before, after) = (by_name(old), by_name(new));
    let added = new.iter().filter(|row| before.get(row.name()) != Some(row));
    let removed = old.iter().filter(|row| !after.contains_key(row.name()));
    added
        .chain(removed)
        .map(|row| {
            let name = row.name();
            describe(before.get(name).copied(), after.get(name).copied(), name)
        })
        .collect()
}

/// Applies the step from `base` to `mine` to `theirs`, row by row, noting
/// rows that `theirs` changed differently.
pub fn merge_rows<R: TableRow>(
    base: &[R],
    mine: &[R],
    theirs: &[R],
    conflicts: &mut Vec<RowConflict>,
) -> Vec<R> {
    let (base, mine_by, theirs_by) = (by_name(base), by_name(mine), by_name(theirs));
    let mut merged = Vec::new();
    let mut resolve = |name: &str| {
        let (b, m, t) = (base.get(name), mine_by.get(name), theirs_by.get(name));
        if m == b || m == t {
            return t.copied().cloned();
        }
        if t != b {
            let theirs = describe(b.copied(), t.copied(), name);
            conflicts.push(RowConflict { theirs });
        }
        m.copied().cloned()
    };
    for row in theirs {
        merged.extend(resolve(row.name()));
    }
    for row in mine
        .iter()
        .filter(|row| !theirs_by.contains_key(row.name()))
    {
        merged.extend(resolve(row.name()));
    }
    merged
}
