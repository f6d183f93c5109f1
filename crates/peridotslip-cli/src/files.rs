//! The tables as files: `routes.yaml` and `pools.yaml` in one directory.
//!
//! Each file may state the `revision` that it was written from. If one does, the
//! changes that the files make to that revision are rebased onto the active tables.
//! Files without a revision replace the active tables.

use std::{
    fs,
    io::Read,
    path::{Path, PathBuf},
};

use peridotslip::{
    ids::Revision,
    tables::{Budget, Pool, PoolTable, Route, RouteTable, Tables},
};
use quick_error::quick_error;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// The file of the routes table.
pub(crate) const ROUTES_FILE: &str = "routes.yaml";
/// The file of the pools table.
pub(crate) const POOLS_FILE: &str = "pools.yaml";
/// The largest file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 16 * 1024 * 1024;

quick_error! {
    /// An error of reading or writing table files.
    #[derive(Debug)]
    pub enum Error {
        /// A file could not be read or written.
        Io(file: PathBuf, err: std::io::Error) {
            display("{}: {err}; pass a directory with {ROUTES_FILE} and {POOLS_FILE}", file.display())
        }
        /// A file does not contain a valid table, or a table could not be
        /// serialised.
        Parse(file: PathBuf, err: String) {
            display("{}: {err}; see docs/OPERATORS.md for the fields", file.display())
        }
        /// A file is too large.
        TooLarge(file: PathBuf) {
            display("{}: larger than {MAX_FILE_BYTES} bytes; pass a table file, or remove rows that are not used", file.display())
        }
        /// The two files have different revisions.
        RevisionMismatch(routes: Revision, pools: Revision) {
            display("{ROUTES_FILE} has revision {routes} but {POOLS_FILE} has revision {pools}; run `peridotslip get` to write both again")
        }
    }
}

/// The result of reading or writing files.
pub(crate) type Result<T> = std::result::Result<T, Error>;

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RoutesFile {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    revision: Option<Revision>,
    routes: Vec<Route>,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct PoolsFile {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    revision: Option<Revision>,
    #[serde(default)]
    budgets: Vec<Budget>,
    #[serde(default)]
    pools: Vec<Pool>,
}

/// Tables read from files.
pub(crate) struct LoadedTables {
    pub(crate) tables: Tables,
    /// The revision that the files state, if any.
    pub(crate) base_revision: Option<Revision>,
}

/// Reads both files in a directory.
pub(crate) fn load(dir: &Path) -> Result<LoadedTables> {
    let routes: RoutesFile = read(&dir.join(ROUTES_FILE))?;
    let pools: PoolsFile = read(&dir.join(POOLS_FILE))?;
    if let (Some(routes_revision), Some(pools_revision)) = (routes.revision, pools.revision)
        && routes_revision != pools_revision
    {
        return Err(Error::RevisionMismatch(routes_revision, pools_revision));
    }
    let base_revision = routes.revision.or(pools.revision);
    let tables = Tables {
        revision: base_revision.unwrap_or_default(),
        routes: RouteTable {
            routes: routes.routes,
        },
        pools: PoolTable {
            budgets: pools.budgets,
            pools: pools.pools,
        },
    };
    Ok(LoadedTables {
        tables,
        base_revision,
    })
}

/// Writes both files into a directory.
pub(crate) fn save(dir: &Path, tables: &Tables) -> Result<()> {
    let revision = Some(tables.revision);
    fs::create_dir_all(dir).map_err(|err| Error::Io(dir.to_owned(), err))?;
    let routes = RoutesFile {
        revision,
        routes: tables.routes.routes.clone(),
    };
    let pools = PoolsFile {
        revision,
        budgets: tables.pools.budgets.clone(),
        pools: tables.pools.pools.clone(),
    };
    write(&dir.join(ROUTES_FILE), &routes)?;
    write(&dir.join(POOLS_FILE), &pools)
}

fn read<T: DeserializeOwned>(file: &Path) -> Result<T> {
    let io_error = |err| Error::Io(file.to_owned(), err);
    let mut text = String::new();
    fs::File::open(file)
        .and_then(|file| file.take(MAX_FILE_BYTES + 1).read_to_string(&mut text))
        .map_err(io_error)?;
    if text.len() as u64 > MAX_FILE_BYTES {
        return Err(Error::TooLarge(file.to_owned()));
    }
    serde_saphyr::from_str(&text).map_err(|err| Error::Parse(file.to_owned(), err.to_string()))
}

fn write<T: Serialize>(file: &Path, value: &T) -> Result<()> {
    let text = serde_saphyr::to_string(value)
        .map_err(|err| Error::Parse(file.to_owned(), err.to_string()))?;
    fs::write(file, text).map_err(|err| Error::Io(file.to_owned(), err))
}
