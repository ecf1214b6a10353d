//! Faults, arms, expectations.

use super::{Checker, LONGEST, unknown, world::is_of_kind};
use crate::experiment::{Experiment, Fault, FaultKind};
use crate::leveled;
use crate::play;
use madderloom_config_reader::Span;

impl Checker<'_> {
    pub(super) fn events(&mut self, e: &Experiment) {
        self.list("faults", e.faults.len());
        for (i, fault) in e.faults.iter().enumerate() {
            self.fault(&format!("faults[{i}]"), fault, e);
        }
        self.arms(e);
        self.expectations(e);
    }

    fn fault(&mut self, at: &str, fault: &Fault, e: &Experiment) {
        let field = |name: &str| format!("{at}.{name}");
        if !self.is_told(&field("kind")) {
            return self
                .document
                .problem(&field("kind"), "is missing; say what breaks");
        }
        self.document.require(
            fault.at < e.duration,
            &field("at"),
            format!("is {}, but the experiment ends at {}", fault.at, e.duration),
        );
        self.span(&field("lasts"), fault.lasts, Span(0)..=LONGEST);
        self.span(&field("every"), fault.every, Span(0)..=LONGEST);
        self.size(&field("size"), fault);
        self.whom(at, fault, e);
        if fault.kind == FaultKind::RollingRestart {
            self.document.require(
                fault.every > Span(0),
                &field("every"),
                "must be above 0: the gap from one server's restart to the next one's",
            );
        }
        if fault.kind == FaultKind::Drain {
            self.document.require(
                fault.lasts > Span(0),
                &field("lasts"),
                "must be above 0: how long it is drained",
            );
        }
        let is_replay = fault.kind == FaultKind::Replay;
        self.document.require(
            is_replay == fault.file.is_some(),
            &field("file"),
            if is_replay {
                "is missing; name the file of a recorded time line, beside this one"
            } else {
                "is for faults of the kind replay alone"
            },
        );
        if let Some(class) = &fault.class
            && !e.classes.iter().any(|known| known.name == *class)
        {
            let known = e.classes.iter().map(|class| class.name.as_str());
            self.document
                .problem(&field("class"), unknown("class", class, known));
        }
        if let Some(zone) = &fault.seen_from
            && !e.network.zones.contains(zone)
        {
            let known = e.network.zones.iter().map(String::as_str);
            self.document
                .problem(&field("seen_from"), unknown("zone", zone, known));
        }
    }

    /// How bad it is.
    fn size(&mut self, field: &str, fault: &Fault) {
        match fault.kind {
            FaultKind::FastErrors
            | FaultKind::LostAnswers
            | FaultKind::SpoiltAnswers
            | FaultKind::Resets
            | FaultKind::Neighbour => {
                let sound = fault.size > 0.0 && fault.size <= 1.0;
                let problem = format!(
                    "is {}, but must be a share above 0 and at most 1",
                    fault.size
                );
                self.document.require(sound, field, problem);
            }
            FaultKind::Slow => {
                let sound = fault.size > 1.0 && fault.size <= 1_000.0;
                let problem = format!(
                    "is {}, but must be above 1 and at most 1000: how many times slower",
                    fault.size
                );
                self.document.require(sound, field, problem);
            }
            _ => self.document.require(
                fault.size == 0.0,
                field,
                format!("is {}, but this kind of fault has no size", fault.size),
            ),
        }
    }

    /// Whom it befalls.
    fn whom(&mut self, at: &str, fault: &Fault, e: &Experiment) {
        let field = |name: &str| format!("{at}.{name}");
        self.figure(&field("share"), fault.share, 0.0..=1.0);
        self.list(&field("servers"), fault.servers.len());
        let named = !fault.servers.is_empty();
        match fault.kind {
            FaultKind::DiscoveryDown | FaultKind::DiscoveryMoves => {
                self.document.require(
                    !named,
                    &field("servers"),
                    "befalls discovery, and no server",
                );
                return self.document.require(
                    fault.share == 0.0,
                    &field("share"),
                    "befalls discovery, and no server",
                );
            }
            FaultKind::InstanceRestart => {
                self.document.require(
                    !named,
                    &field("servers"),
                    "befalls instances, and no server; give a share of them",
                );
                return;
            }
            _ => {}
        }
        self.document.require(
            named || fault.share != 0.0,
            &field("servers"),
            "is missing: name servers, a kind or zone:NAME, or give a share of all",
        );
        let cut = matches!(fault.kind, FaultKind::CutZone | FaultKind::CutAnswers);
        if cut {
            self.document.require(
                e.network.zones.len() > 1,
                &field("kind"),
                "cuts one zone off, but there is no other",
            );
            let alone = matches!(&fault.servers[..], [one] if one.starts_with("zone:"));
            self.document.require(
                alone,
                &field("servers"),
                "must be one zone, as [\"zone:NAME\"]",
            );
        }
        for (i, name) in fault.servers.iter().enumerate() {
            let place = format!("{at}.servers[{i}]");
            if let Some(zone) = name.strip_prefix("zone:") {
                let known = e.network.zones.iter().map(String::as_str);
                let there = e.network.zones.iter().any(|known| known == zone);
                self.document
                    .require(there, &place, unknown("zone", zone, known));
            } else if !e
                .servers
                .iter()
                .any(|kind| kind.name == *name || is_of_kind(name, kind))
            {
                let names: Vec<String> = e
                    .servers
                    .iter()
                    .flat_map(|kind| {
                        (0..kind.count.min(16))
                            .map(|n| format!("{}-{n}", kind.name))
                            .chain([kind.name.clone()])
                    })
                    .collect();
                self.document.problem(
                    &place,
                    unknown("server or kind", name, names.iter().map(String::as_str)),
                );
            }
        }
    }

    fn arms(&mut self, e: &Experiment) {
        self.list("arms", e.arms.len());
        self.document.require(
            !e.arms.is_empty(),
            "arms",
            "is missing; name at least one policy to play",
        );
        self.names("arms", e.arms.iter().map(|arm| arm.name.as_str()));
        for (i, arm) in e.arms.iter().enumerate() {
            let field = |name: &str| format!("arms[{i}].{name}");
            if arm.policy.is_empty() {
                self.document
                    .problem(&field("policy"), "is missing; say what decides");
            } else if !play::policies().any(|(name, _)| name == arm.policy) {
                let known = play::policies().map(|(name, _)| name);
                self.document
                    .problem(&field("policy"), unknown("policy", &arm.policy, known));
            }
            if arm.binary.is_some() {
                self.document.require(
                    arm.policy == "madderloom",
                    &field("binary"),
                    "is another build of madderloom, so the policy must be madderloom",
                );
            }
            self.list(&field("with"), arm.with.len());
            for (name, value) in &arm.with {
                self.document.require(
                    value.is_finite(),
                    &field(&format!("with.{name}")),
                    "must be a finite number",
                );
            }
            let known = play::policies().any(|(name, _)| name == arm.policy);
            let sound = known && arm.with.values().all(|value| value.is_finite());
            if sound && let Err(problem) = play::check_figures(arm) {
                self.document.problem(&field("with"), problem);
            }
            if let Some(levels) = &arm.levels {
                let module = arm.policy == "madderloom" && arm.binary.is_none();
                let problem = "are levels of the decision module, so the policy must be madderloom, and of this build";
                self.document.require(module, &field("levels"), problem);
                levels.check(
                    &mut self.document,
                    &field("levels"),
                    &leveled::facts(&e.classes),
                );
            }
        }
    }

    fn expectations(&mut self, e: &Experiment) {
        self.list("expect", e.expect.len());
        for (i, expect) in e.expect.iter().enumerate() {
            let field = |name: &str| format!("expect[{i}].{name}");
            if let Some(arm) = &expect.arm
                && !e.arms.iter().any(|known| known.name == *arm)
            {
                let known = e.arms.iter().map(|arm| arm.name.as_str());
                self.document
                    .problem(&field("arm"), unknown("arm", arm, known));
            }
            if let Some(class) = &expect.class
                && !e.classes.iter().any(|known| known.name == *class)
            {
                let known = e.classes.iter().map(|class| class.name.as_str());
                self.document
                    .problem(&field("class"), unknown("class", class, known));
            }
            if let Some(goodput) = expect.goodput {
                self.figure(&field("goodput"), goodput, 0.0..=1.0);
            }
            if let Some(within) = expect.recovers_within {
                self.span(&field("recovers_within"), within, Span(0)..=LONGEST);
                let ends = e.faults.iter().any(|fault| {
                    fault.lasts > Span(0)
                        || matches!(fault.kind, FaultKind::RollingRestart | FaultKind::Replay)
                });
                self.document.require(
                    ends,
                    &field("recovers_within"),
                    "waits for the end of a fault, but none ends",
                );
                let whole = expect.class.is_none();
                self.document.require(
                    whole,
                    &field("recovers_within"),
                    "is of all classes together: leave class out",
                );
            }
            if let Some(p99) = expect.p99 {
                self.span(&field("p99"), p99, Span(1)..=LONGEST);
            }
            if let Some(attempts) = expect.attempts {
                self.figure(&field("attempts"), attempts, 0.0..=1_000.0);
            }
        }
    }
}
