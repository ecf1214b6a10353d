//! `[state]`: the state that is persisted across restarts, and its directory. Without the section nothing is persisted.

use madderloom_config_reader::{Document, Span};
use madderloom_sidecar_state::{IdempotencyLimits, IdempotencyMode, MAX_RETENTION, SnapshotDecay};
use serde::Deserialize;
use std::path::PathBuf;

/// The section as written in the file.
#[derive(Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Section {
    dir: Option<PathBuf>,
    ledger: Option<IdempotencyMode>,
    warm_start: bool,
    ids: Option<Vec<String>>,
    window: Option<Span>,
    entries: Option<u64>,
    warm_every: Option<Span>,
    warm_half: Option<Span>,
    warm_oldest: Option<Span>,
}

/// The state that is persisted across restarts, and its directory.
#[derive(Clone, Debug, PartialEq)]
pub struct State {
    /// The directory of the store, which must exist. A relative path is resolved against the directory of the operator file.
    pub dir: PathBuf,
    /// Persistence options of the platform's pool and default for every other pool.
    pub defaults: PersistenceOptions,
    /// The headers that identify a request, in lower case; the first of them that a request has is used. Default:
    /// `Idempotency-Key`, then `X-Trace-Id`.
    pub id_headers: Vec<String>,
    /// Retention and maximum number of the entries of the ledger. Default: 5 minutes and 200,000.
    pub idempotency_limits: IdempotencyLimits,
    /// Interval between two snapshots for the warm start. Default: 5 s.
    pub snapshot_interval: Span,
    /// How restored measurements lose weight with age. Default: half-life 30 s, discarded after 5 minutes.
    pub snapshot_decay: SnapshotDecay,
}

/// The state of a pool that is persisted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PersistenceOptions {
    /// Idempotency mode of the ledger of submissions.
    pub ledger: IdempotencyMode,
    /// Whether measurements of its servers are persisted.
    pub warm_start: bool,
}

/// The persistence fields of an entry of `[[pools]]`.
#[derive(Clone, Copy)]
pub(crate) struct PoolSection {
    pub(crate) ledger: Option<IdempotencyMode>,
    pub(crate) warm_start: Option<bool>,
}

const DAY: Span = Span::s(86_400);

impl Section {
    pub(crate) fn check(self, document: &mut Document<'_>) -> State {
        let Section {
            dir,
            ledger,
            warm_start,
            ids,
            ..
        } = self;
        if !document.has("state.dir") {
            document.problem(
                "state",
                "names no directory; write one such as dir = \"/var/lib/madderloom\"",
            );
        } else if let Some(dir) = &dir {
            document.require(
                !dir.as_os_str().is_empty(),
                "state.dir",
                "is empty; write a directory",
            );
        }
        let ids =
            ids.unwrap_or_else(|| ["Idempotency-Key", "X-Trace-Id"].map(String::from).to_vec());
        document.require(
            (1..=8).contains(&ids.len()),
            "state.ids",
            "names no header, or more than 8; write such as [\"Idempotency-Key\", \"X-Trace-Id\"]",
        );
        for (index, name) in ids.iter().enumerate() {
            let is_valid = http::HeaderName::try_from(name.as_str()).is_ok();
            document.require(
                is_valid,
                &format!("state.ids[{index}]"),
                "is no name of a header",
            );
        }
        let mut span = |field: &str, given: Option<Span>, default: Span, min: Span, max: Span| {
            let span = given.unwrap_or(default);
            let is_valid = (min..=max).contains(&span);
            document.require(
                is_valid,
                &format!("state.{field}"),
                format_args!("must lie in {min} to {max}"),
            );
            span
        };
        let (s, ms) = (Span::s, Span::ms);
        let retention = span("window", self.window, s(300), s(1), Span(MAX_RETENTION));
        let snapshot_interval = span("warm_every", self.warm_every, s(5), ms(200), s(3_600));
        let half_life = span("warm_half", self.warm_half, s(30), s(1), DAY);
        let max_age = span("warm_oldest", self.warm_oldest, s(300), s(1), DAY);
        let max_records = self.entries.unwrap_or(200_000);
        document.require(
            (1..=10_000_000).contains(&max_records),
            "state.entries",
            "must lie in 1 to 10000000; each takes about 150 bytes of memory",
        );
        State {
            dir: dir.unwrap_or_default(),
            defaults: PersistenceOptions {
                ledger: ledger.unwrap_or_default(),
                warm_start,
            },
            id_headers: ids.iter().map(|name| name.to_ascii_lowercase()).collect(),
            idempotency_limits: IdempotencyLimits {
                retention: retention.micros(),
                max_records: max_records as usize,
            },
            snapshot_interval,
            snapshot_decay: SnapshotDecay {
                half_life: half_life.micros(),
                max_age: max_age.micros(),
            },
        }
    }
}

/// Memory of one ledger entry, without its header name and id.
const LEDGER_ENTRY_BYTES: u64 = 150;

impl State {
    /// Checks that the ledger takes at most half of `limits.memory`, given in bytes.
    pub(crate) fn check_memory(&self, document: &mut Document<'_>, memory: Option<u64>) {
        let bytes = (self.idempotency_limits.max_records as u64).saturating_mul(LEDGER_ENTRY_BYTES);
        document.require(
            memory.is_none_or(|memory| bytes <= memory / 2),
            "state.entries",
            format_args!(
                "may take {} MiB, which is over half of limits.memory; write less",
                bytes >> 20
            ),
        );
    }
}

impl PoolSection {
    /// Returns the persistence options of a pool. `state` is the section `[state]` if the file has it.
    pub(crate) fn check(
        self,
        document: &mut Document<'_>,
        entry: &str,
        state: Option<&State>,
    ) -> PersistenceOptions {
        let defaults = state.map(|state| state.defaults).unwrap_or_default();
        let persistence = PersistenceOptions {
            ledger: self.ledger.unwrap_or(defaults.ledger),
            warm_start: self.warm_start.unwrap_or(defaults.warm_start),
        };
        let has_directory = |enabled: bool| !enabled || state.is_some();
        let problem =
            "needs a directory; write one in [state], such as dir = \"/var/lib/madderloom\"";
        document.require(
            has_directory(persistence.ledger != IdempotencyMode::Off),
            &format!("{entry}.ledger"),
            problem,
        );
        document.require(
            has_directory(persistence.warm_start),
            &format!("{entry}.warm_start"),
            problem,
        );
        persistence
    }
}
