//! Rows of news in compressed form.
//!
//! Load: two VMs of a zone tell all others of a change, so that the bytes of a manifest times
//! the VMs of the zone go over one link. Its text takes about an eighth when compressed.

use std::io::{Read, Write};

use base64::{Engine, prelude::BASE64_STANDARD};
use flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder};

use crate::{
    control::peer_clients::MESSAGE_MAX_BYTES,
    decide::{
        revision::Revision,
        table_copy::{TablePage, TableRow},
    },
    prelude::*,
};

/// Size of the values from which on rows are compressed, in bytes: below it, a page fits
/// into one packet as it is.
const PACKED_MIN_BYTES: usize = 1_024;

/// Reason why rows can't be read.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum PackError {
    /// The text is not base64.
    #[display("not base64: {_0}")]
    Encoding(base64::DecodeError),
    /// The bytes are not compressed ones.
    #[display("not compressed rows: {_0}")]
    Compression(std::io::Error),
    /// The content is no list of rows, or is too long for one.
    #[display("no rows: {_0}")]
    Content(serde_json::Error),
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, PackError>;

/// Rows that were compressed last: many VMs ask for the same ones.
#[derive(Default)]
pub struct PackedCache {
    /// Their keys and revisions.
    revisions: Vec<(Name, Revision)>,
    packed: Name,
}

impl PackedCache {
    /// Takes the rows out of a page and returns them compressed; `None` if they are few.
    pub fn take_rows(&mut self, page: &mut TablePage) -> Option<Name> {
        let size_bytes: usize = page.rows.iter().map(|row| row.value.len()).sum();
        if size_bytes < PACKED_MIN_BYTES {
            return None;
        }
        let era = page.revision.era;
        let rows = page.rows.iter();
        let revisions: Vec<(Name, Revision)> = rows
            .map(|row| (row.key.clone(), Revision::new(era, row.version)))
            .collect();
        if revisions != self.revisions {
            self.packed = match pack(&page.rows) {
                Ok(packed) => packed,
                Err(error) => {
                    log::warn!(target: "news", "rows are sent as they are: {error}");
                    return None;
                }
            };
            self.revisions = revisions;
        }
        page.rows.clear();
        Some(self.packed.clone())
    }
}

/// Compresses rows into text.
///
/// # Errors
///
/// Returns an error when they can't be written, which does not happen in memory.
pub fn pack(rows: &[TableRow]) -> Result<Name> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(&serde_json::to_vec(rows)?)?;
    Ok(BASE64_STANDARD.encode(encoder.finish()?).into())
}

/// Reads rows from compressed text.
///
/// # Errors
///
/// Returns an error for any other text.
pub fn unpack(packed: &str) -> Result<Vec<TableRow>> {
    let compressed = BASE64_STANDARD.decode(packed)?;
    let mut text = Vec::new();
    ZlibDecoder::new(&*compressed)
        .take(MESSAGE_MAX_BYTES as u64)
        .read_to_end(&mut text)?;
    Ok(serde_json::from_slice(&text)?)
}
