//! `[state]`: what outlasts the process, and where. Without the section nothing does.

use madderloom_config_reader::{Document, Span};
use madderloom_sidecar_state::{IdempotencyLimits, IdempotencyMode, SnapshotDecay};
use serde::Deserialize;
use std::path::PathBuf;

/// The section as it is written.
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

/// What outlasts the process, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct State {
    /// The directory of the store. It must be there; a relative path counts from the operator file.
    pub dir: PathBuf,
    /// What the platform's pool keeps, and every pool that says nothing of it.
    pub defaults: PersistenceOptions,
    /// The headers that tell a request from another, in lower case: the first of them that a request has is its
    /// identity. Usually `Idempotency-Key`, then `X-Trace-Id`.
    pub id_headers: Vec<String>,
    /// How long entries of the ledger last, and how many there may be. Usually 5 minutes and 200,000.
    pub idempotency_limits: IdempotencyLimits,
    /// Between two snapshots for the warm start. Usually 5 s.
    pub snapshot_interval: Span,
    /// How what was measured loses weight. Usually half of it in 30 s, and all beyond 5 minutes.
    pub snapshot_decay: SnapshotDecay,
}

/// What is kept of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PersistenceOptions {
    /// Of submissions.
    pub ledger: IdempotencyMode,
    /// Whether what was measured of its servers is.
    pub warm_start: bool,
}

/// What a pool says of it.
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
        for (at, name) in ids.iter().enumerate() {
            let sound = http::HeaderName::try_from(name.as_str()).is_ok();
            document.require(sound, &format!("state.ids[{at}]"), "is no name of a header");
        }
        let mut span = |field: &str, given: Option<Span>, usual: Span, least: Span, most: Span| {
            let span = given.unwrap_or(usual);
            let sound = (least..=most).contains(&span);
            document.require(
                sound,
                &format!("state.{field}"),
                format_args!("must lie in {least} to {most}"),
            );
            span
        };
        let (s, ms) = (Span::s, Span::ms);
        let window = span("window", self.window, s(300), s(1), DAY);
        let warm_every = span("warm_every", self.warm_every, s(5), ms(200), s(3_600));
        let half = span("warm_half", self.warm_half, s(30), s(1), DAY);
        let oldest = span("warm_oldest", self.warm_oldest, s(300), s(1), DAY);
        let entries = self.entries.unwrap_or(200_000);
        document.require(
            (1..=10_000_000).contains(&entries),
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
                retention: window.micros(),
                max_records: entries as usize,
            },
            snapshot_interval: warm_every,
            snapshot_decay: SnapshotDecay {
                half_life: half.micros(),
                max_age: oldest.micros(),
            },
        }
    }
}

/// What an entry of the ledger takes of the memory, in bytes, those of its header and id left out.
const ENTRY: u64 = 150;

impl State {
    /// Whether what is held in memory of it fits into what the file grants.
    pub(crate) fn check_memory(&self, document: &mut Document<'_>, memory: Option<u64>) {
        let bytes = (self.idempotency_limits.max_records as u64).saturating_mul(ENTRY);
        document.require(
            memory.is_none_or(|memory| bytes <= memory / 2),
            "state.entries",
            format_args!(
                "may take {} MiB, over half of limits.memory; write less",
                bytes >> 20
            ),
        );
    }
}

impl PoolSection {
    /// What a pool keeps, where the file has the section `[state]` or not.
    pub(crate) fn check(
        self,
        document: &mut Document<'_>,
        at: &str,
        state: Option<&State>,
    ) -> PersistenceOptions {
        let usual = state.map(|state| state.defaults).unwrap_or_default();
        let kept = PersistenceOptions {
            ledger: self.ledger.unwrap_or(usual.ledger),
            warm_start: self.warm_start.unwrap_or(usual.warm_start),
        };
        let there = |on: bool| !on || state.is_some();
        let problem =
            "needs a directory; write one in [state], such as dir = \"/var/lib/madderloom\"";
        document.require(
            there(kept.ledger != IdempotencyMode::Off),
            &format!("{at}.ledger"),
            problem,
        );
        document.require(there(kept.warm_start), &format!("{at}.warm_start"), problem);
        kept
    }
}
