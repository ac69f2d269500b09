/*!
Compression of route tables that replicas send to entries.

A table of a few hundred routes takes 70 KB and usually differs from its predecessor in one line. An
entry's link has a few Mbit/s and also carries callers' requests, so a quick series of whole tables
would saturate it. A table is therefore compressed with the entry's current table as the dictionary,
or without a dictionary if the replica doesn't have that table.
*/

use {
    hemlockspool_model::table::{RouteTable, TableError},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        io,
        sync::Arc,
    },
    thiserror::Error,
    zstd::bulk::{Compressor, Decompressor},
};

/// The Zstandard compression level: the library's default, which takes a few milliseconds for 70
/// KB.
const COMPRESSION_LEVEL: i32 = 3;
/// The number of recent tables retained as dictionaries. Entries are either one or two changes
/// behind or far behind.
const TABLES_RETAINED: usize = 8;
/// The total size of the retained tables, in bytes: a sixteenth of the memory limit of a replica.
/// The newest table is retained whatever its size. A text that several changes share counts once
/// for each of them.
const RETAINED_BYTES_MAX: usize = 4 << 20;
/// The size of the largest table that operators may publish and entries decompress, in bytes.
pub const TABLE_BYTES_MAX: usize = 64 << 20;

/// An error while decompressing a table.
#[derive(Debug, Error)]
pub enum DecompressError {
    /// The table exceeds [`TABLE_BYTES_MAX`].
    #[error("table of {size} bytes exceeds the limit of {TABLE_BYTES_MAX} bytes")]
    TooLarge {
        /// The size of the decompressed text, in bytes.
        size: usize,
    },
    /// The data can't be decompressed with this base, or the result isn't valid UTF-8.
    #[error(transparent)]
    Corrupt(#[from] io::Error),
    /// The text isn't a valid route table.
    #[error(transparent)]
    InvalidTable(#[from] TableError),
}

/// A route table, compressed with the table as of an earlier change as the dictionary.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CompressedTable {
    /// The change number of the table used as the dictionary; 0 for none.
    pub base: u64,
    /// The size of the table's text, in bytes.
    size: u32,
    /// The compressed text.
    bytes: Vec<u8>,
}

impl CompressedTable {
    /// Compresses the text of a table with a base text as the dictionary, empty for none.
    ///
    /// # Errors
    ///
    /// Returns the error of the compression library.
    pub fn compress(base: u64, base_text: &str, text: &str) -> io::Result<Self> {
        let mut compressor = Compressor::with_dictionary(COMPRESSION_LEVEL, base_text.as_bytes())?;
        let bytes = compressor.compress(text.as_bytes())?;
        Ok(Self { base, size: text.len() as u32, bytes })
    }

    /// Decompresses the text of the table.
    ///
    /// # Errors
    ///
    /// Returns an error if the data can't be decompressed with this base or the table is too large.
    pub fn decompress(&self, base_text: &str) -> Result<String, DecompressError> {
        let size = self.size as usize;
        if size > TABLE_BYTES_MAX {
            return Err(DecompressError::TooLarge { size });
        }
        let mut decompressor = Decompressor::with_dictionary(base_text.as_bytes())?;
        let bytes = decompressor.decompress(&self.bytes, size)?;
        Ok(String::from_utf8(bytes).map_err(io::Error::other)?)
    }

    /// Decompresses and parses the table. Returns its text and the parsed table.
    ///
    /// # Errors
    ///
    /// Returns an error if decompression fails, as in [`decompress`](Self::decompress), or the text
    /// isn't a valid table.
    pub fn decompress_table(
        &self,
        base_text: &str,
    ) -> Result<(String, RouteTable), DecompressError> {
        let text = self.decompress(base_text)?;
        let table = RouteTable::parse(&text)?;
        Ok((text, table))
    }

    /// Returns the size of the compressed text, in bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether the compressed text is empty.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

/// The current table and its most recent predecessors at a replica.
#[derive(Clone, Debug, Default)]
pub struct TableHistory {
    /// The texts by change number, the newest last. Changes that don't affect the table share its
    /// text.
    texts: VecDeque<(u64, Arc<str>)>,
    /// The compressed forms of the newest table, by the change number of the base.
    compressed: BTreeMap<u64, CompressedTable>,
}

impl TableHistory {
    /// Adds the table as of a change; ignores changes that aren't newer than the last one.
    pub fn push(&mut self, change: u64, text: &str) {
        let last = self.texts.back();
        if last.is_some_and(|(last_change, _)| *last_change >= change) {
            return;
        }
        let same =
            last.filter(|(_, last_text)| **last_text == *text).map(|(_, last)| Arc::clone(last));
        self.texts.push_back((change, same.unwrap_or_else(|| Arc::from(text))));
        self.compressed.clear();
        let total_bytes = |texts: &VecDeque<(u64, Arc<str>)>| -> usize {
            texts.iter().map(|(_, text)| text.len()).sum()
        };
        while self.texts.len() > TABLES_RETAINED
            || (self.texts.len() > 1 && total_bytes(&self.texts) > RETAINED_BYTES_MAX)
        {
            self.texts.pop_front();
        }
    }

    /// Returns the newest table, compressed for an entry that has the table as of a change. Returns
    /// none if that table is the same or no table was published yet.
    ///
    /// # Errors
    ///
    /// Returns the error of the compression library.
    pub fn compressed_for(&mut self, change: u64) -> io::Result<Option<CompressedTable>> {
        let Some((_, newest)) = self.texts.back() else { return Ok(None) };
        let base = self.texts.iter().find(|(base_change, _)| *base_change == change);
        if base.is_some_and(|(_, text)| Arc::ptr_eq(text, newest)) {
            return Ok(None);
        }
        let (base, base_text) = base.map_or((0, ""), |(change, text)| (*change, text));
        if let Some(compressed) = self.compressed.get(&base) {
            return Ok(Some(compressed.clone()));
        }
        let compressed = CompressedTable::compress(base, base_text, newest)?;
        self.compressed.insert(base, compressed.clone());
        Ok(Some(compressed))
    }
}
