//! What was learned of documents, by the hash of their text; bounded, and the least used goes first.

use crate::document::Summary;
use lru::LruCache;
use std::rc::Rc;

/// The SHA-256 of a document's text.
pub(crate) type Digest = [u8; 32];

/// A table of documents. It holds neither more entries nor more bytes than it is allowed to; a document that is too
/// big for all of it is not kept.
pub(crate) struct Table {
    documents: LruCache<Digest, Rc<Summary>>,
    bytes: usize,
    most_entries: usize,
    most_bytes: usize,
}

/// Bytes that an entry takes besides its summary: the hash, the links of the list, its place in the hash table, what the
/// allocator adds.
const ENTRY: usize = 160;

impl Table {
    pub fn new(most_entries: usize, most_bytes: usize) -> Self {
        Table {
            documents: LruCache::unbounded(),
            bytes: 0,
            most_entries,
            most_bytes,
        }
    }

    /// What is known of a document, which is then the one last used.
    pub fn get(&mut self, digest: &Digest) -> Option<Rc<Summary>> {
        self.documents.get(digest).cloned()
    }

    /// Keeps what was learned of a document, whose text has this digest: the caller has computed it.
    pub fn put(&mut self, digest: Digest, summary: Rc<Summary>) {
        let size = ENTRY + summary.size();
        if size > self.most_bytes || self.most_entries == 0 {
            return;
        }
        self.bytes += size;
        if let Some((_, old)) = self.documents.push(digest, summary) {
            self.bytes -= ENTRY + old.size();
        }
        while self.bytes > self.most_bytes || self.documents.len() > self.most_entries {
            let Some((_, gone)) = self.documents.pop_lru() else {
                break;
            };
            self.bytes -= ENTRY + gone.size();
        }
    }

    /// Entries, and the bytes they are counted as.
    pub fn usage(&self) -> (usize, usize) {
        (self.documents.len(), self.bytes)
    }
}

/// A SHA-256 as it is written: 64 hex digits, lower case as servers compare them.
pub(crate) fn parse_digest(text: &str) -> Option<Digest> {
    let digits = text.as_bytes();
    let mut digest = [0; 32];
    if digits.len() != 64 {
        return None;
    }
    let nibble = |digit: u8| match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        _ => None,
    };
    for (byte, pair) in digest.iter_mut().zip(digits.chunks_exact(2)) {
        *byte = nibble(pair[0])? << 4 | nibble(pair[1])?;
    }
    Some(digest)
}
