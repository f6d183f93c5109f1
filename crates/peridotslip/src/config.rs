//! The representation of a pair of tables in the store.
//!
//! Rows are split into immutable [`Page`]s, each identified by a hash of its
//! bytes.
//! A [`Manifest`] lists the pages of one revision. A compare-and-swap of the
//! manifest in the store makes a whole change visible at once, so a reader never
//! sees a partial change, and a change to one row writes only one page.
//!
//! The boundaries of pages depend only on the names of rows, unless a page
//! reaches its maximum size, so that adding or removing a row doesn't shift the
//! following pages (content-defined chunking, from Muthitacharoen et al., "A
//! low-bandwidth network file system").

use std::collections::{BTreeMap, HashMap};

use quick_error::quick_error;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

use crate::{
    ids::Revision,
    tables::{PoolTable, RouteTable, TableRow, Tables},
};

/// Average number of rows in a page.
const ROWS_PER_PAGE: u64 = 64;
/// Maximum size of a page, in bytes, unless a single row is larger.
const MAX_PAGE_BYTES: usize = 512 * 1024;

quick_error! {
    /// An error in assembling tables from a manifest and pages.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// A page is not available yet.
        MissingPage(id: String) {
            display("page {id} is missing; fetch it from the store or a peer")
        }
        /// The bytes of a page can't be decoded as rows.
        CorruptPage(id: String) {
            display("page {id} can't be decoded; restore it from the store's history")
        }
        /// The bytes of a manifest can't be decoded.
        CorruptManifest {
            display("the manifest of the tables can't be decoded; restore it from the store's history")
        }
    }
}

/// The result of an operation on pages.
pub type Result<T> = std::result::Result<T, Error>;

/// Rows of one kind, identified by a hash of their encoding.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Hexadecimal hash of `bytes`.
    pub id: String,
    /// The rows, as a JSON array.
    pub bytes: Vec<u8>,
}

/// The pages of one revision, by kind of row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The revision, one higher than the replaced one.
    pub revision: Revision,
    /// The author of the revision.
    #[serde(default)]
    pub author: String,
    /// The author's note on the revision.
    #[serde(default)]
    pub note: String,
    /// When the revision was applied, in milliseconds since the Unix epoch on the
    /// operator's clock.
    #[serde(default)]
    pub at_ms: u64,
    /// IDs of the pages of routes.
    pub routes: Vec<String>,
    /// IDs of the pages of pools.
    pub pools: Vec<String>,
    /// IDs of the pages of budgets.
    pub budgets: Vec<String>,
}

impl Manifest {
    /// Splits `tables` into pages and returns them with a manifest that has the
    /// revision of the tables.
    #[must_use]
    pub fn build(tables: &Tables) -> (Self, Vec<Page>) {
        let mut pages = BTreeMap::new();
        let mut ids = |new: Vec<Page>| -> Vec<String> {
            let ids = new.iter().map(|page| page.id.clone()).collect();
            pages.extend(new.into_iter().map(|page| (page.id.clone(), page)));
            ids
        };
        let manifest = Self {
            revision: tables.revision,
            routes: ids(split_into_pages(&tables.routes.routes)),
            pools: ids(split_into_pages(&tables.pools.pools)),
            budgets: ids(split_into_pages(&tables.pools.budgets)),
            ..Self::default()
        };
        (manifest, pages.into_values().collect())
    }

    /// Decodes a manifest from its bytes in the store.
    ///
    /// # Errors
    ///
    /// [`Error::CorruptManifest`] if the bytes are not a manifest.
    pub fn decode(buf: &[u8]) -> Result<Self> {
        serde_json::from_slice(buf).map_err(|_| Error::CorruptManifest)
    }

    /// Encodes the manifest for the store.
    ///
    /// # Panics
    ///
    /// Never, because every manifest can be encoded as JSON.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a manifest always serialises")
    }

    /// Returns the IDs of all pages.
    pub fn page_ids(&self) -> impl Iterator<Item = &String> {
        self.routes.iter().chain(&self.pools).chain(&self.budgets)
    }

    /// Returns whether `other` has the same rows.
    #[must_use]
    pub fn same_rows(&self, other: &Self) -> bool {
        self.page_ids().eq(other.page_ids())
    }

    /// Assembles the tables from `pages`, which holds the bytes of pages by ID.
    ///
    /// # Errors
    ///
    /// [`Error::MissingPage`] or [`Error::CorruptPage`] for the first page that is
    /// missing or can't be decoded.
    pub fn assemble(&self, pages: &HashMap<String, Vec<u8>>) -> Result<Tables> {
        Ok(Tables {
            revision: self.revision,
            routes: RouteTable {
                routes: read_rows(&self.routes, pages)?,
            },
            pools: PoolTable {
                budgets: read_rows(&self.budgets, pages)?,
                pools: read_rows(&self.pools, pages)?,
            },
        })
    }
}

/// Returns the ID of a page with these bytes.
#[must_use]
pub fn page_id(bytes: &[u8]) -> String {
    format!("{:032x}", xxh3_128(bytes))
}

fn split_into_pages<R: TableRow>(rows: &[R]) -> Vec<Page> {
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

fn read_rows<R: DeserializeOwned>(
    ids: &[String],
    pages: &HashMap<String, Vec<u8>>,
) -> Result<Vec<R>> {
    let mut rows = Vec::new();
    for id in ids {
        let bytes = pages
            .get(id)
            .ok_or_else(|| Error::MissingPage(id.clone()))?;
        let page_rows: Vec<R> =
            serde_json::from_slice(bytes).map_err(|_| Error::CorruptPage(id.clone()))?;
        rows.extend(page_rows);
    }
    Ok(rows)
}
