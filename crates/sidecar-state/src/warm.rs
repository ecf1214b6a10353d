//! The warm start: what was measured of servers and classes, kept across a restart and weighed by its age.

use madderloom_store::{Batch, File, Result, Snapshot};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The most servers and classes of a service that are kept, and the most bytes of a name. What is beyond is not kept.
pub const MAX_SERVERS: usize = 16_384;
/// See [`MAX_SERVERS`].
pub const MAX_CLASSES: usize = 256;
/// See [`MAX_SERVERS`].
pub const MAX_NAME: usize = 255;

const PREFIX: &str = "warm/";
/// A snapshot from a little ahead of the clock is of now: clocks are set back by so much, in microseconds.
const SKEW: u64 = 1_000_000;

/// What was measured of a server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerMemory {
    /// Its name, the same across restarts.
    pub name: String,
    /// As it was listed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub listed: Option<ListedMemory>,
    /// When it had last started, as its list told: of another life nothing measured holds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started: Option<u64>,
    /// The work it answered, and the time that its attempts took: both in microseconds, faded by the module's rule. The
    /// first over the second is what the server's share goes by; their size is how much was seen.
    pub work: f64,
    /// See `work`.
    pub time: f64,
    /// Failures in a row.
    #[serde(default, skip_serializing_if = "is_none")]
    pub failures: u32,
    /// How much longer it is ejected, in microseconds; 0 where it is not.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub ejected: u64,
    /// How long that ejection is in all, in microseconds: the next doubles it.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub ejection: u64,
}

/// A server as it was listed: what stands in for a list until there is one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMemory {
    /// Where it was.
    pub address: SocketAddr,
    /// Its zone, by its name.
    pub zone: String,
    /// The kind of machine, by its name.
    pub kind: String,
    /// Its cell.
    pub group: u32,
    /// Its capacity beside the others'.
    pub weight: f64,
}

fn is_none(failures: &u32) -> bool {
    *failures == 0
}

fn is_zero(span: &u64) -> bool {
    *span == 0
}

/// What was learned of a class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassMemory {
    /// Its name.
    pub name: String,
    /// Its usual work, and its slow answers' time, in microseconds.
    pub cost: f64,
    /// See `cost`.
    pub slow: f64,
}

/// What a service's module knew at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Warm {
    /// When, in microseconds since 1970 by the machine's clock.
    pub taken: u64,
    /// A request's mean work, and the mean time of an answer, in microseconds.
    pub means: (f64, f64),
    /// Of each server.
    pub servers: Vec<ServerMemory>,
    /// Of each class.
    pub classes: Vec<ClassMemory>,
}

/// How what is remembered loses weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Aging {
    /// In so many microseconds it loses half its weight. At least 1.
    pub half: u64,
    /// Older than so many microseconds it has none.
    pub oldest: u64,
}

impl Aging {
    /// The weight of what was taken at one time, at another, both by the machine's clock in microseconds:
    /// `0.5 ^ (age / half)`, and 0 beyond `oldest`. What bears a time ahead of now by more than a second has none: the
    /// clock was set back, so its age is not known.
    pub fn weight(&self, taken: u64, now: u64) -> f64 {
        let Some(age) = self.age(taken, now) else {
            return 0.0;
        };
        0.5_f64.powf(age as f64 / self.half.max(1) as f64)
    }

    fn age(&self, taken: u64, now: u64) -> Option<u64> {
        if taken > now.saturating_add(SKEW) {
            return None;
        }
        Some(now.saturating_sub(taken)).filter(|age| *age <= self.oldest)
    }
}

/// What is left of a [`Warm`] at its age: what the module is to begin with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recalled {
    /// Its weight, from 0 (as if nothing were known) to 1.
    pub weight: f64,
    /// Servers with what is left of their measurements: work and time times the weight, so that a server's value is
    /// the same and counts the less against what the module presumes of an unknown one; failures likewise, rounded
    /// down; of an ejection the time that is left.
    pub servers: Vec<ServerMemory>,
    /// Classes and means as they were; [`blend`] weighs them.
    pub classes: Vec<ClassMemory>,
    /// See `classes`.
    pub means: (f64, f64),
}

impl Warm {
    /// What is left at this time by the machine's clock, in microseconds since 1970.
    pub fn recall(&self, now: u64, aging: Aging) -> Recalled {
        let weight = aging.weight(self.taken, now);
        if weight == 0.0 {
            return Recalled::default();
        }
        let age = now.saturating_sub(self.taken);
        let fade = |server: &ServerMemory| {
            let ejected = server.ejected.saturating_sub(age);
            ServerMemory {
                name: server.name.clone(),
                listed: server.listed.clone(),
                started: server.started,
                work: server.work * weight,
                time: server.time * weight,
                failures: (f64::from(server.failures) * weight) as u32,
                ejected,
                ejection: if ejected > 0 { server.ejection } else { 0 },
            }
        };
        Recalled {
            weight,
            servers: self
                .servers
                .iter()
                .filter(|s| s.is_sound())
                .map(fade)
                .collect(),
            classes: self
                .classes
                .iter()
                .filter(|c| c.is_sound())
                .cloned()
                .collect(),
            means: self.means,
        }
    }

    /// What a store holds of a service; none where it holds nothing of it, or nothing that makes sense. What makes no
    /// sense of a single server or class is left out.
    ///
    /// # Errors
    /// Where the store can't be read.
    pub fn load<F: File>(snapshot: &Snapshot<F>, service: &str) -> Result<Option<Warm>> {
        let keys = Keys::of(service);
        let Some(taken) = snapshot.get(&keys.taken, 0)? else {
            return Ok(None);
        };
        let Ok(Moment { taken, means }) = serde_json::from_slice(&taken) else {
            return Ok(None);
        };
        let mut warm = Warm {
            taken,
            means,
            ..Warm::default()
        };
        for entry in snapshot.scan(&keys.servers, 0).take(MAX_SERVERS) {
            warm.servers.extend(
                serde_json::from_slice::<ServerMemory>(&entry?.1)
                    .ok()
                    .filter(ServerMemory::is_sound),
            );
        }
        for entry in snapshot.scan(&keys.classes, 0).take(MAX_CLASSES) {
            warm.classes.extend(
                serde_json::from_slice::<ClassMemory>(&entry?.1)
                    .ok()
                    .filter(ClassMemory::is_sound),
            );
        }
        Ok(Some(warm))
    }
}

/// When a snapshot was taken, and the means of then.
#[derive(Serialize, Deserialize)]
struct Moment {
    taken: u64,
    means: (f64, f64),
}

impl ServerMemory {
    /// What the store holds may be of any program.
    fn is_sound(&self) -> bool {
        let sum = |x: f64| x.is_finite() && x >= 0.0;
        self.name.len() <= MAX_NAME && sum(self.work) && sum(self.time)
    }
}

impl ClassMemory {
    fn is_sound(&self) -> bool {
        let span = |x: f64| x.is_finite() && x > 0.0;
        self.name.len() <= MAX_NAME && span(self.cost) && span(self.slow)
    }
}

/// What lies between a guess and what is remembered, at a weight from 0 to 1: their geometric mean so weighed, since
/// what is followed by it moves by factors. The guess, where what is remembered makes no sense.
pub fn blend(guess: f64, remembered: f64, weight: f64) -> f64 {
    let blended = guess * (remembered / guess).powf(weight.clamp(0.0, 1.0));
    if blended.is_finite() && blended > 0.0 {
        blended
    } else {
        guess
    }
}

/// What a store holds of one service.
pub struct Recollection {
    /// What was known of it, if that can be read.
    pub warm: Option<Warm>,
    /// Goes on from what is written.
    pub writer: WarmWriter,
}

/// What a store holds of all services, by their names.
///
/// # Errors
/// Where the store can't be read.
pub fn recollect<F: File>(snapshot: &Snapshot<F>) -> Result<BTreeMap<String, Recollection>> {
    let mut names = Vec::new();
    for entry in snapshot.keys(PREFIX.as_bytes(), 0) {
        let name = entry
            .key
            .get(PREFIX.len()..)
            .and_then(|rest| rest.split(|b| *b == 0).next());
        let name = String::from_utf8_lossy(name.unwrap_or_default()).into_owned();
        if names.last() != Some(&name) {
            names.push(name);
        }
    }
    let read = names.into_iter().map(|name| {
        let (warm, writer) = (
            Warm::load(snapshot, &name)?,
            WarmWriter::new(snapshot, &name)?,
        );
        Ok((name, Recollection { warm, writer }))
    });
    read.collect()
}

struct Keys {
    taken: Vec<u8>,
    servers: Vec<u8>,
    classes: Vec<u8>,
}

impl Keys {
    /// A name has no byte 0, so with one behind it none is the beginning of another.
    fn of(service: &str) -> Self {
        let key = |part: &str| format!("{PREFIX}{service}\0{part}").into_bytes();
        Keys {
            taken: key("taken"),
            servers: key("server/"),
            classes: key("class/"),
        }
    }
}

/// Writes what has changed since the last time, so that a fleet at rest costs nothing.
pub struct WarmWriter {
    keys: Keys,
    written: BTreeMap<Vec<u8>, Vec<u8>>,
}

impl WarmWriter {
    /// For a service of which a store holds nothing.
    pub fn empty(service: &str) -> Self {
        WarmWriter {
            keys: Keys::of(service),
            written: BTreeMap::new(),
        }
    }

    /// What is to be written so that the store holds nothing of it any more.
    pub fn forget(&self) -> Batch {
        let mut batch = Batch::new();
        batch.delete(self.keys.taken.clone());
        for key in self.written.keys() {
            batch.delete(key.clone());
        }
        batch
    }

    /// For a service, going on from what a store holds of it.
    ///
    /// # Errors
    /// Where the store can't be read.
    pub fn new<F: File>(snapshot: &Snapshot<F>, service: &str) -> Result<Self> {
        let keys = Keys::of(service);
        let mut written = BTreeMap::new();
        for prefix in [&keys.servers, &keys.classes] {
            for entry in snapshot.scan(prefix, 0) {
                let (key, value) = entry?;
                written.insert(key.to_vec(), value);
            }
        }
        Ok(WarmWriter { keys, written })
    }

    /// What is to be written, relaxed: the next comes in a few seconds. One batch, so that no restart finds half of it.
    /// [`WarmWriter::written`] is to be told once the store has taken it.
    pub fn batch(&self, warm: &Warm) -> (Batch, BTreeMap<Vec<u8>, Vec<u8>>) {
        let mut entries = BTreeMap::new();
        let named = |prefix: &[u8], name: &str| [prefix, name.as_bytes()].concat();
        for server in warm
            .servers
            .iter()
            .filter(|s| s.is_sound())
            .take(MAX_SERVERS)
        {
            if let Ok(value) = serde_json::to_vec(server) {
                entries.insert(named(&self.keys.servers, &server.name), value);
            }
        }
        for class in warm
            .classes
            .iter()
            .filter(|c| c.is_sound())
            .take(MAX_CLASSES)
        {
            if let Ok(value) = serde_json::to_vec(class) {
                entries.insert(named(&self.keys.classes, &class.name), value);
            }
        }
        let mut batch = Batch::new();
        let moment = Moment {
            taken: warm.taken,
            means: warm.means,
        };
        // Numbers always have a JSON form.
        batch.put(
            self.keys.taken.clone(),
            serde_json::to_vec(&moment).unwrap_or_default(),
        );
        for (key, value) in entries
            .iter()
            .filter(|(key, value)| self.written.get(*key) != Some(*value))
        {
            batch.put(key.clone(), value.clone());
        }
        for key in self
            .written
            .keys()
            .filter(|key| !entries.contains_key(*key))
        {
            batch.delete(key.clone());
        }
        (batch, entries)
    }

    /// The store has taken a batch with these entries.
    pub fn written(&mut self, entries: BTreeMap<Vec<u8>, Vec<u8>>) {
        self.written = entries;
    }
}
