//! Request classes, clients, phases.

use super::{Checker, HIGHEST_RATE, LONGEST};
use crate::experiment::{Class, Effect, Experiment, Phase};
use madderloom_config_reader::Span;

const HOUR: Span = Span::s(3_600);

impl Checker<'_> {
    pub(super) fn load(&mut self, e: &Experiment) {
        self.list("classes", e.classes.len());
        self.document.require(
            !e.classes.is_empty(),
            "classes",
            "is missing; describe at least one class of requests",
        );
        self.names("classes", e.classes.iter().map(|class| class.name.as_str()));
        for (i, class) in e.classes.iter().enumerate() {
            self.class(&format!("classes[{i}]"), class, e.clients.keys);
        }
        self.clients(e);
        self.phases(e);
    }

    fn class(&mut self, at: &str, class: &Class, keys: u32) {
        let field = |name: &str| format!("{at}.{name}");
        self.figure(&field("share"), class.share, 1e-6..=1e6);
        self.span(&field("work"), class.work, Span(1)..=HOUR);
        self.figure(&field("cv"), class.cv, 0.0..=10.0);
        self.span(&field("aim"), class.aim, Span(1)..=HOUR);
        self.span(&field("deadline"), class.deadline, Span(1)..=HOUR);
        self.document.require(
            class.aim <= class.deadline,
            &field("aim"),
            format!(
                "is {}, but the client leaves after {} (deadline)",
                class.aim, class.deadline
            ),
        );
        self.figure(&field("worth"), class.worth, 0.0..=1e9);
        self.figure(&field("late_worth"), class.late_worth, 0.0..=1.0);
        if class.effect == Effect::Keyed {
            self.span(&field("window"), class.window, Span(1)..=HOUR);
            self.document.require(
                keys > 0,
                &field("effect"),
                "is keyed, but clients.keys says that there are no keys",
            );
        }
    }

    fn clients(&mut self, e: &Experiment) {
        let c = &e.clients;
        self.figure("clients.rate", c.rate, 0.0..=HIGHEST_RATE);
        self.count("clients.outstanding", c.outstanding, 0..=1_000_000);
        let closed = c.outstanding > 0;
        if closed && c.rate > 0.0 {
            let problem = "is set beside outstanding: a load is an open loop (rate) or a closed one (outstanding)";
            self.document.problem("clients.rate", problem);
        }
        if closed && !e.phases.is_empty() {
            let problem =
                "are set beside clients.outstanding: in a closed loop the servers set the pace";
            self.document.problem("phases", problem);
        }
        if c.arrivals.is_some() && (closed || c.rate > 0.0 || !e.phases.is_empty()) {
            let problem =
                "is set beside a rate, phases or outstanding: the recorded arrivals are the load";
            self.document.problem("clients.arrivals", problem);
        }
        if c.arrivals
            .as_ref()
            .is_some_and(|file| file.trim().is_empty())
        {
            self.document
                .problem("clients.arrivals", "must name a file");
        }
        let load = closed || c.rate > 0.0 || c.arrivals.is_some() || !e.phases.is_empty();
        self.document.require(
            load || !c.rate.is_finite() || c.rate < 0.0,
            "clients",
            "sends nothing: set rate, outstanding or arrivals, or describe phases",
        );
        self.count("clients.keys", c.keys, 0..=10_000_000);
        self.figure("clients.key_skew", c.key_skew, 0.0..=5.0);
        if let Some(noise) = c.hint_noise {
            self.figure("clients.hint_noise", noise, 0.0..=10.0);
        }
        self.count("clients.retries", c.retries, 0..=100);
        self.figure("clients.try_share", c.try_share, 0.01..=1.0);
        self.span("clients.backoff", c.backoff, Span(0)..=HOUR);
        self.figure(
            "clients.honour_retry_after",
            c.honour_retry_after,
            0.0..=1.0,
        );
        self.figure("clients.impatient", c.impatient, 0.0..=1.0);
    }

    fn phases(&mut self, e: &Experiment) {
        self.list("phases", e.phases.len());
        for (i, phase) in e.phases.iter().enumerate() {
            let field = |name: &str| format!("phases[{i}].{name}");
            self.figure(&field("rate"), phase.rate, 0.0..=HIGHEST_RATE);
            self.figure(&field("rate_to"), phase.rate_to, 0.0..=HIGHEST_RATE);
            self.figure(&field("wave"), phase.wave, 0.0..=1.0);
            if phase.wave > 0.0 {
                self.span(
                    &field("wave_every"),
                    phase.wave_every,
                    Span::ms(1)..=LONGEST,
                );
            }
            let begins = phase.from < e.duration;
            self.document.require(
                begins,
                &field("from"),
                format!(
                    "is {}, but the experiment ends at {}",
                    phase.from, e.duration
                ),
            );
            if phase.to > Span(0) {
                self.document.require(
                    phase.to > phase.from,
                    &field("to"),
                    format!("is {}, but the phase begins at {}", phase.to, phase.from),
                );
                self.document.require(
                    phase.to <= e.duration,
                    &field("to"),
                    format!("is {}, but the experiment ends at {}", phase.to, e.duration),
                );
            }
            let Some(before) = i.checked_sub(1).and_then(|before| e.phases.get(before)) else {
                continue;
            };
            self.document.require(
                phase.from > before.from,
                &field("from"),
                format!(
                    "is {}, but the phase before begins at {}: write phases in their order",
                    phase.from, before.from
                ),
            );
            self.document.require(
                before.to <= phase.from || phase.from <= before.from,
                &field("from"),
                format!(
                    "is {}, but the phase before ends at {}: they overlap",
                    phase.from, before.to
                ),
            );
        }
    }
}

/// How many requests arrive, on average and retries not counted; 0 where nothing here tells (closed loops, files).
pub(super) fn arrivals(e: &Experiment) -> f64 {
    let mut at = Span(0);
    let mut requests = 0.0;
    let between = |from: Span, to: Span| to.micros().saturating_sub(from.micros()) as f64 / 1e6;
    for (i, phase) in e.phases.iter().enumerate() {
        requests += e.clients.rate * between(at, phase.from);
        at = end_of(phase, e.phases.get(i + 1), e.duration);
        let last = if phase.rate_to > 0.0 {
            phase.rate_to
        } else {
            phase.rate
        };
        requests += (phase.rate + last) / 2.0 * between(phase.from, at);
    }
    requests + e.clients.rate * between(at, e.duration)
}

/// When a phase ends.
fn end_of(phase: &Phase, next: Option<&Phase>, duration: Span) -> Span {
    if phase.to > Span(0) {
        phase.to
    } else {
        next.map_or(duration, |next| next.from)
    }
}
