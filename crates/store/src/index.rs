//! What is live, in memory, in the order of its keys: keys and places, no values.

use crate::disk::File;
use crate::error::{Error, Result};
use crate::format::{NEVER, OP_HEADER, Ops, segment_name};
use imbl::OrdMap;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

pub(crate) type Key = Arc<[u8]>;

/// Where a value lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Place {
    pub segment: u32,
    pub offset: u32,
    pub length: u32,
    /// Checksum of the value alone, so that a read need not read its whole frame.
    pub crc: u32,
    pub expires: u64,
}

impl Place {
    fn size(&self, key: &[u8]) -> u64 {
        (OP_HEADER + key.len()) as u64 + u64::from(self.length)
    }
}

/// A place in a frame's body, and what makes no sense there.
pub(crate) type Senseless = (usize, &'static str);

/// Tells of each operation of a body that lies at this place; of none, where one makes no sense.
fn read_ops(
    body: &[u8],
    segment: u32,
    offset: u64,
    mut tell: impl FnMut(&[u8], Option<Place>),
) -> std::result::Result<(), Senseless> {
    for op in Ops::of(body) {
        let op = op.map_err(|at| (at, "a record makes no sense"))?;
        if let Some((_, at, _)) = op.put {
            u32::try_from(offset + at as u64).map_err(|_| (at, "a segment of more than 4 GiB"))?;
        }
    }
    for op in Ops::of(body).flatten() {
        let place = op.put.map(|(value, at, expires)| Place {
            segment,
            offset: (offset + at as u64) as u32,
            length: value.len() as u32,
            crc: crc32c::crc32c(value),
            expires,
        });
        tell(op.key, place);
    }
    Ok(())
}

/// Expiries are counted in steps of this power of two, so that the count stays small.
const EXPIRY_STEP: u32 = 22;

/// The open files by segment.
pub(crate) type Files<F> = Arc<BTreeMap<u32, Arc<F>>>;

/// The index, and the files that its places point into.
pub(crate) struct Index<F> {
    map: OrdMap<Key, Place>,
    files: Files<F>,
    /// Bytes that the live entries take in the log, those that have expired since included.
    live: u64,
    /// Of these, the bytes that expire, by their time.
    expiring: BTreeMap<u64, u64>,
}

impl<F: File> Index<F> {
    pub fn new() -> Self {
        Index {
            map: OrdMap::new(),
            files: Arc::default(),
            live: 0,
            expiring: BTreeMap::new(),
        }
    }

    /// Applies a frame's body that lies at this place. An error is the place in the body that makes no sense;
    /// nothing is applied then.
    pub fn apply(
        &mut self,
        body: &[u8],
        segment: u32,
        offset: u64,
    ) -> std::result::Result<(), Senseless> {
        read_ops(body, segment, offset, |key, place| match place {
            Some(place) => self.put(key, place),
            None => self.remove(key),
        })
    }

    fn put(&mut self, key: &[u8], place: Place) {
        self.count(key, &place, true);
        // A key that is there keeps its bytes: they are shared with snapshots.
        if let Some(old) = self.map.get_mut(key) {
            let old = std::mem::replace(old, place);
            self.count(key, &old, false);
        } else {
            self.map.insert(key.into(), place);
        }
    }

    fn put_key(&mut self, key: Key, place: Place) {
        self.count(&key, &place, true);
        if let Some(old) = self.map.insert(Arc::clone(&key), place) {
            self.count(&key, &old, false);
        }
    }

    fn remove(&mut self, key: &[u8]) {
        if let Some(old) = self.map.remove(key) {
            self.count(key, &old, false);
        }
    }

    fn count(&mut self, key: &[u8], place: &Place, more: bool) {
        let size = place.size(key);
        self.live = if more {
            self.live + size
        } else {
            self.live.saturating_sub(size)
        };
        if place.expires == NEVER {
            return;
        }
        let step = place.expires >> EXPIRY_STEP;
        let bytes = self.expiring.entry(step).or_default();
        *bytes = if more {
            *bytes + size
        } else {
            bytes.saturating_sub(size)
        };
        if *bytes == 0 {
            self.expiring.remove(&step);
        }
    }

    /// Points a key to where compaction put it, or drops it, unless it has changed since.
    pub fn relocate(&mut self, key: &[u8], from: Place, to: Option<Place>) {
        if self.map.get(key) == Some(&from) {
            match to {
                Some(to) => self.put(key, to),
                None => self.remove(key),
            }
        }
    }

    /// Bytes in the log of what is live and has not expired by `now`, to within one step of expiries (4.2 s where
    /// times are in microseconds).
    pub fn live(&self, now: u64) -> u64 {
        let expired: u64 = self
            .expiring
            .range(..now >> EXPIRY_STEP)
            .map(|(_, bytes)| bytes)
            .sum();
        self.live.saturating_sub(expired)
    }

    pub fn len(&self) -> usize {
        self.map.len()
    }

    pub fn files(&mut self) -> &mut BTreeMap<u32, Arc<F>> {
        Arc::make_mut(&mut self.files)
    }

    pub fn snapshot(&self) -> Snapshot<F> {
        Snapshot {
            map: self.map.clone(),
            files: Arc::clone(&self.files),
        }
    }

    /// Where a value lies, if it is there, with its file: so that it can be read without the index.
    pub fn find(&self, key: &[u8], now: u64) -> Option<(Place, Option<Arc<F>>)> {
        let place = self.map.get(key).filter(|p| p.expires > now)?;
        Some((*place, self.files.get(&place.segment).cloned()))
    }
}

/// Operations that are sorted before they are applied, at an opening.
const SORTED: usize = 256 << 10;

/// Fills an index from a log. Keys come in any order, and each would be looked for in memory that is not in any cache:
/// so many are sorted first, and then meet the index in its own order.
pub(crate) struct Loader<F> {
    index: Index<F>,
    ops: Vec<(Key, Option<Place>)>,
}

impl<F: File> Loader<F> {
    pub fn new() -> Self {
        Loader {
            index: Index::new(),
            ops: Vec::new(),
        }
    }

    /// See [`Index::apply`].
    pub fn apply(
        &mut self,
        body: &[u8],
        segment: u32,
        offset: u64,
    ) -> std::result::Result<(), Senseless> {
        read_ops(body, segment, offset, |key, place| {
            self.ops.push((key.into(), place))
        })?;
        if self.ops.len() >= SORTED {
            self.settle();
        }
        Ok(())
    }

    fn settle(&mut self) {
        // Operations on one key keep their order: the last holds.
        self.ops.sort_by(|(a, _), (b, _)| a.cmp(b));
        let mut ops = self.ops.drain(..).peekable();
        while let Some((key, place)) = ops.next() {
            if ops.peek().is_some_and(|(next, _)| *next == key) {
                continue;
            }
            match place {
                Some(place) => self.index.put_key(key, place),
                None => self.index.remove(&key),
            }
        }
    }

    pub fn end(mut self) -> Index<F> {
        self.settle();
        self.index
    }
}

pub(crate) fn read<F: File>(place: Place, file: Option<&Arc<F>>) -> Result<Vec<u8>> {
    let name = segment_name(place.segment);
    let offset = u64::from(place.offset);
    let file = file.ok_or_else(|| Error::damage(&name, offset, "the segment is not open"))?;
    let mut value = vec![0; place.length as usize];
    let read = file
        .read_at(&mut value, offset)
        .map_err(|e| Error::io(&name, &e))?;
    if read < value.len() || crc32c::crc32c(&value) != place.crc {
        return Err(Error::damage(
            &name,
            offset,
            "a value is not what was written",
        ));
    }
    Ok(value)
}

/// All that was there at one moment. It stays as it is while writes and compactions go on, and can be read from any
/// thread. The files it needs stay open, and their space taken, until it is dropped.
pub struct Snapshot<F> {
    map: OrdMap<Key, Place>,
    files: Files<F>,
}

impl<F> Clone for Snapshot<F> {
    fn clone(&self) -> Self {
        Snapshot {
            map: self.map.clone(),
            files: Arc::clone(&self.files),
        }
    }
}

impl<F: File> Snapshot<F> {
    /// A key's value, if it was there and does not expire by `now`.
    ///
    /// # Errors
    /// Where the value can't be read, or is not what was written.
    pub fn get(&self, key: &[u8], now: u64) -> Result<Option<Vec<u8>>> {
        let Some(place) = self.map.get(key).filter(|p| p.expires > now) else {
            return Ok(None);
        };
        read(*place, self.files.get(&place.segment)).map(Some)
    }

    /// Keys that begin with a prefix, with their values, in the order of the keys' bytes, without those that expire
    /// by `now`. An empty prefix means all.
    ///
    /// # Errors
    /// Of each value on its own: see [`Snapshot::get`].
    pub fn scan<'a>(
        &'a self,
        prefix: &'a [u8],
        now: u64,
    ) -> impl Iterator<Item = Result<(&'a [u8], Vec<u8>)>> + 'a {
        self.places(prefix, now)
            .map(|(key, place)| Ok((key, read(place, self.files.get(&place.segment))?)))
    }

    /// The same keys without reading any value, each with its value's length in bytes and the time it expires.
    pub fn keys<'a>(
        &'a self,
        prefix: &'a [u8],
        now: u64,
    ) -> impl Iterator<Item = (&'a [u8], u32, Option<u64>)> + 'a {
        let told = |p: Place| (p.length, (p.expires != NEVER).then_some(p.expires));
        self.places(prefix, now).map(move |(key, place)| {
            let (length, expires) = told(place);
            (key, length, expires)
        })
    }

    fn places<'a>(
        &'a self,
        prefix: &'a [u8],
        now: u64,
    ) -> impl Iterator<Item = (&'a [u8], Place)> + 'a {
        let from: (Bound<&[u8]>, Bound<&[u8]>) = (Bound::Included(prefix), Bound::Unbounded);
        let all = self
            .map
            .range::<_, [u8]>(from)
            .map(|(key, place)| (&**key, *place));
        all.take_while(move |(key, _)| key.starts_with(prefix))
            .filter(move |(_, p)| p.expires > now)
    }

    /// The entries behind a key, or from the first, those that have expired included.
    pub(crate) fn entries_after<'a>(
        &'a self,
        key: Option<&'a [u8]>,
    ) -> impl Iterator<Item = (&'a Key, Place)> + 'a {
        let from: Bound<&[u8]> = key.map_or(Bound::Unbounded, Bound::Excluded);
        self.map
            .range::<_, [u8]>((from, Bound::Unbounded))
            .map(|(key, place)| (key, *place))
    }

    pub(crate) fn file(&self, segment: u32) -> Option<&Arc<F>> {
        self.files.get(&segment)
    }

    /// How many keys there are, those that have expired and not been dropped yet included.
    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }
}
