/*!
Tables on their way to entries.

A table of a few hundred routes takes 70 KB and mostly differs from the one before in a line. An entry's
link of a few Mbit/s carries callers' requests besides: whole tables in quick succession fill it. So a
table is compressed against the one that the entry has, and by itself when that isn't known.
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

/// The compression level: the library's usual one, some milliseconds for 70 KB.
const LEVEL: i32 = 3;
/// Earlier tables that are kept to compress against: entries are a change or two behind, or far.
const KEPT_MAX: usize = 8;
/// The bytes of them that are kept besides the newest: a sixteenth of the memory that a replica may use.
const KEPT_BYTES_MAX: usize = 4 << 20;
/// The bytes of the largest table that operators may publish and entries unpack.
pub const TABLE_BYTES_MAX: usize = 64 << 20;

/// Why a table can't be unpacked.
#[derive(Debug, Error)]
pub enum DecompressError {
    /// It is larger than any that operators may publish.
    #[error("a table of {size} bytes")]
    TooLarge {
        /// The bytes of its text.
        size: usize,
    },
    /// The bytes aren't a text against that base.
    #[error(transparent)]
    Corrupt(#[from] io::Error),
    /// The text isn't a table.
    #[error(transparent)]
    InvalidTable(#[from] TableError),
}

/// A table, compressed against the one of an earlier change.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CompressedTable {
    /// That change; 0 when it is compressed by itself.
    pub base: u64,
    /// The bytes of the table's text.
    size: u32,
    /// The compressed text.
    bytes: Vec<u8>,
}

impl CompressedTable {
    /// Compresses a text against another, which is empty when there is none.
    ///
    /// # Errors
    ///
    /// What the compression reports.
    pub fn compress(base: u64, base_text: &str, text: &str) -> io::Result<Self> {
        let mut compressor = Compressor::with_dictionary(LEVEL, base_text.as_bytes())?;
        let bytes = compressor.compress(text.as_bytes())?;
        Ok(Self { base, size: text.len() as u32, bytes })
    }

    /// Returns the text.
    ///
    /// # Errors
    ///
    /// Bytes that aren't a text against that base, or a table that is too large.
    pub fn decompress(&self, base_text: &str) -> Result<String, DecompressError> {
        let size = self.size as usize;
        if size > TABLE_BYTES_MAX {
            return Err(DecompressError::TooLarge { size });
        }
        let mut decompressor = Decompressor::with_dictionary(base_text.as_bytes())?;
        let bytes = decompressor.decompress(&self.bytes, size)?;
        Ok(String::from_utf8(bytes).map_err(io::Error::other)?)
    }

    /// Returns the text and the table.
    ///
    /// # Errors
    ///
    /// As for the text, or a text that isn't a table.
    pub fn decompress_table(
        &self,
        base_text: &str,
    ) -> Result<(String, RouteTable), DecompressError> {
        let text = self.decompress(base_text)?;
        let table = RouteTable::parse(&text)?;
        Ok((text, table))
    }

    /// Returns the bytes that it takes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Tells whether it takes none.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

/// The table that stands and some that stood before, as a replica sends them.
#[derive(Clone, Debug, Default)]
pub struct TableHistory {
    /// By change, the newest last. Changes that leave the table alone share its text.
    kept: VecDeque<(u64, Arc<str>)>,
    /// The newest, by the change that it is compressed against.
    packed: BTreeMap<u64, CompressedTable>,
}

impl TableHistory {
    /// Takes in the table as of a change.
    pub fn push(&mut self, change: u64, text: &str) {
        let last = self.kept.back();
        if last.is_some_and(|(kept, _)| *kept >= change) {
            return;
        }
        let same = last.filter(|(_, kept)| **kept == *text).map(|(_, kept)| Arc::clone(kept));
        self.kept.push_back((change, same.unwrap_or_else(|| Arc::from(text))));
        self.packed.clear();
        let bytes = |kept: &VecDeque<(u64, Arc<str>)>| -> usize {
            kept.iter().map(|(_, text)| text.len()).sum()
        };
        while self.kept.len() > KEPT_MAX
            || (self.kept.len() > 1 && bytes(&self.kept) > KEPT_BYTES_MAX)
        {
            self.kept.pop_front();
        }
    }

    /// Returns the newest table for an entry that has the one of a change; none when that is the same.
    ///
    /// # Errors
    ///
    /// What the compression reports.
    pub fn compressed_for(&mut self, change: u64) -> io::Result<Option<CompressedTable>> {
        let Some((_, newest)) = self.kept.back() else { return Ok(None) };
        let base = self.kept.iter().find(|(kept, _)| *kept == change);
        if base.is_some_and(|(_, text)| Arc::ptr_eq(text, newest)) {
            return Ok(None);
        }
        let (base, base_text) = base.map_or((0, ""), |(change, text)| (*change, text));
        if let Some(packed) = self.packed.get(&base) {
            return Ok(Some(packed.clone()));
        }
        let packed = CompressedTable::compress(base, base_text, newest)?;
        self.packed.insert(base, packed.clone());
        Ok(Some(packed))
    }
}
