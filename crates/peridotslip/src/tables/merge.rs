//! Comparing and merging rows by name.

use std::{collections::HashMap, fmt};

use serde::Serialize;

use super::{Budget, Pool, Route};

/// A row of a table, identified by its name.
pub trait TableRow: Clone + PartialEq + Serialize {
    /// What the kind of row is called in messages.
    const KIND: &'static str;

    /// Returns the row's name.
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

/// The difference of one row between two tables.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RowChange {
    /// The kind of row.
    pub kind: &'static str,
    /// The row's name.
    pub name: String,
    /// The old row as JSON; `None` if the row was added.
    pub old: Option<String>,
    /// The new row as JSON; `None` if the row was removed.
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
    /// The other operator's change, which is active.
    pub theirs: RowChange,
}

impl fmt::Display for RowConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} `{}` was changed by another operator to {}; get the tables again and repeat the edit",
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

fn row_change<R: TableRow>(old: Option<&R>, new: Option<&R>, name: &str) -> RowChange {
    let json = |row: &R| serde_json::to_string(row).unwrap_or_default();
    RowChange {
        kind: R::KIND,
        name: name.to_owned(),
        old: old.map(json),
        new: new.map(json),
    }
}

/// Returns the rows that differ, in the order of `new`, with removed rows last.
pub fn changes<R: TableRow>(old: &[R], new: &[R]) -> Vec<RowChange> {
    let (before, after) = (by_name(old), by_name(new));
    let added = new.iter().filter(|row| before.get(row.name()) != Some(row));
    let removed = old.iter().filter(|row| !after.contains_key(row.name()));
    added
        .chain(removed)
        .map(|row| {
            let name = row.name();
            row_change(before.get(name).copied(), after.get(name).copied(), name)
        })
        .collect()
}

/// Returns `theirs` with the changes between `base` and `mine` applied, row by
/// row. If `mine` and `theirs` changed a row differently, the row of `mine` is
/// returned and a conflict is added to `conflicts`.
pub fn merge_rows<R: TableRow>(
    base: &[R],
    mine: &[R],
    theirs: &[R],
    conflicts: &mut Vec<RowConflict>,
) -> Vec<R> {
    let (base, mine_by_name, theirs_by_name) = (by_name(base), by_name(mine), by_name(theirs));
    let mut merged = Vec::new();
    let mut resolve = |name: &str| {
        let (base_row, my_row, their_row) = (
            base.get(name),
            mine_by_name.get(name),
            theirs_by_name.get(name),
        );
        if my_row == base_row || my_row == their_row {
            return their_row.copied().cloned();
        }
        if their_row != base_row {
            let theirs = row_change(base_row.copied(), their_row.copied(), name);
            conflicts.push(RowConflict { theirs });
        }
        my_row.copied().cloned()
    };
    for row in theirs {
        merged.extend(resolve(row.name()));
    }
    for row in mine
        .iter()
        .filter(|row| !theirs_by_name.contains_key(row.name()))
    {
        merged.extend(resolve(row.name()));
    }
    merged
}
