//! How a pair of tables is kept in the store.
//!
//! Rows are cut into immutable [`Page`]s, each named by a hash of its bytes.
//! A [`Manifest`] lists the pages of one revision. Swapping the manifest in the store
//! makes a whole change visible at once, so a reader never sees half of one,
//! and a change to one row costs one page.
//!
//! Where a page ends depends only on the names of its rows, so that a row
//! that is added or removed doesn't shift the pages after it (the idea is
//! content-defined chunking, from Muthitacharoen et al., "A low-bandwidth
//! network file system").

use std::collections::{BTreeMap, HashMap};

use quick_error::quick_error;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

use crate::{
    ids::Revision,
    tables::{PoolTable, RouteTable, TableRow, Tables},
};

/// A page ends after one row in this many, on average.
const ROWS_PER_PAGE: u64 = 64;
/// A page ends before it would pass this size, in bytes.
const MAX_PAGE_BYTES: usize = 512 * 1024;

quick_error! {
    /// Why a manifest can't be turned into tables.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// A page isn't there yet.
        MissingPage(id: String) {
            display("page {id} is missing; fetch it from the store or a peer")
        }
        /// A page's bytes are not its rows.
        CorruptPage(id: String) {
            display("page {id} can't be read; restore it from the store's history")
        }
        /// The manifest's bytes are not a manifest.
        CorruptManifest {
            display("the head can't be read; restore it from the store's history")
        }
    }
}

/// The result of an operation on pages.
pub type Result<T> = std::result::Result<T, Error>;

/// Some rows, named by their hash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Hexadecimal hash of `bytes`.
    pub id: String,
    /// The rows as JSON.
    pub bytes: Vec<u8>,
}

/// The page names of one revision, by kind of row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The revision, one more than the one it replaced.
    pub revision: Revision,
    /// Who applied it.
    #[serde(default)]
    pub author: String,
    /// Why.
    #[serde(default)]
    pub note: String,
    /// When, in milliseconds since the Unix epoch by the operator's clock.
    #[serde(default)]
    pub at_ms: u64,
    /// Pages of routes.
    pub routes: Vec<String>,
    /// Pages of pools.
    pub pools: Vec<String>,
    /// Pages of budgets.
    pub budgets: Vec<String>,
}

impl Manifest {
    /// Cuts `tables` into pages and a manifest at the tables' revision.
    #[must_use]
    pub fn build(tables: &Tables) -> (Self, Vec<Page>) {
        let mut pages = BTreeMap::new();
        let mut ids = |cut: Vec<Page>| -> Vec<String> {
            let ids = cut.iter().map(|page| page.id.clone()).collect();
            pages.extend(cut.into_iter().map(|page| (page.id.clone(), page)));
            ids
        };
        let manifest = Self {
            revision: tables.revision,
            routes: ids(cut(&tables.routes.routes)),
            pools: ids(cut(&tables.pools.pools)),
            budgets: ids(cut(&tables.pools.budgets)),
            ..Self::default()
        };
        (manifest, pages.into_values().collect())
    }

    /// Reads a manifest from the store's bytes.
    ///
    /// # Errors
    ///
    /// [`Error::CorruptManifest`] if they are not a manifest.
    pub fn decode(buf: &[u8]) -> Result<Self> {
        serde_json::from_slice(buf).map_err(|_| Error::CorruptManifest)
    }

    /// The manifest as bytes for the store.
    ///
    /// # Panics
    ///
    /// Never: a manifest has nothing that can't be JSON.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a head always serialises")
    }

    /// The names of all its pages.
    pub fn page_ids(&self) -> impl Iterator<Item = &String> {
        self.routes.iter().chain(&self.pools).chain(&self.budgets)
    }

    /// Whether `other` holds the same rows.
    #[must_use]
    pub fn same_rows(&self, other: &Self) -> bool {
        self.page_ids().eq(other.page_ids())
    }

    /// Puts the tables together from `pages`, by page name.
    ///
    /// # Errors
    ///
    /// [`Error::MissingPage`] or [`Error::CorruptPage`] for the first page
    /// that can't be used.
    pub fn assemble(&self, pages: &HashMap<String, Vec<u8>>) -> Result<Tables> {
        Ok(Tables {
            revision: self.revision,
            routes: RouteTable {
                routes: gather(&self.routes, pages)?,
            },
            pools: PoolTable {
                budgets: gather(&self.budgets, pages)?,
                pools: gather(&self.pools, pages)?,
            },
        })
    }
}

/// The name of a page with these bytes.
#[must_use]
pub fn page_id(bytes: &[u8]) -> String {
    format!("{:032x}", xxh3_128(bytes))
}

fn cut<R: TableRow>(rows: &[R]) -> Vec<Page> {
    let mut sorted: Vec<&R> = rows.iter().collect();
    sorted.sort_by(|a, b| a.name().cmp(b.name()));
    let mut pages = Vec::new();
    let mut buf: Vec<u8> = Vec::new();
    for row in sorted {
        let json = serde_json::to_vec(row).expect("rows always serialise");
        if buf.len() + json.len() > MAX_PAGE_BYTES {
            flush(&mut buf, &mut pages);
        }
        buf.push(if buf.is_empty() { b'[' } else { b',' });
        buf.extend_from_slice(&json);
        if xxh3_64(row.name().as_bytes()).is_multiple_of(ROWS_PER_PAGE) {
            flush(&mut buf, &mut pages);
        }
    }
    flush(&mut buf, &mut pages);
    pages
}

fn flush(buf: &mut Vec<u8>, pages: &mut Vec<Page>) {
    if buf.is_empty() {
        return;
    }
    buf.push(b']');
    let bytes = std::mem::take(buf);
    pages.push(Page {
        id: page_id(&bytes),
        bytes,
    });
}

fn gather<R: DeserializeOwned>(ids: &[String], pages: &HashMap<String, Vec<u8>>) -> Result<Vec<R>> {
    let mut rows = Vec::new();
    for id in ids {
        let bytes = pages
            .get(id)
            .ok_or_else(|| Error::MissingPage(id.clone()))?;
        let part: Vec<R> =
            serde_json::from_slice(bytes).map_err(|_| Error::CorruptPage(id.clone()))?;
        rows.extend(part);
    }
    Ok(rows)
}
