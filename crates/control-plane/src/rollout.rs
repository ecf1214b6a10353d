//! The rollout of one change. Every state of it can be persisted and resumed.
//!
//! ```text
//! Forward(wave) -> Watch(wave) -> Forward(wave + 1) ... -> Ended(Done)
//!       |               |
//!       +-------+-------+--> Stopping -> Ended(Stopped)
//!               +----------> Back     -> Ended(TakenBack)      (from Stopping too)
//! ```
//!
//! Each target goes from pending through sent to applied, refused or failed. Deadlines are not persisted: an agent
//! that resumes a rollout gives each instance that has not answered its full time again.

use crate::change::{Change, Share, Then, What};
use crate::gate::{Counts, Sample, Verdict, judge};
use crate::protocol::Outcome;
use crate::settings::Fingerprint;
use crate::{By, Micros, Problem};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Why a target failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// It did not answer in time. It may have the change or not, and receives the desired settings once it is back.
    Unreachable,
    /// The rollout ended before its turn; it was sent nothing.
    NotReached,
    /// The rollout was taken back before it had answered.
    Overtaken,
}

/// The progress of a target.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Its turn has not come.
    Pending,
    /// The order was sent and has not been answered.
    Sent,
    /// The change is in effect in full.
    Applied,
    /// The change was refused, and the former settings are still in effect.
    Refused(Problem),
    /// It is not known whether the change is in effect.
    Failed(Reason),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Pending => f.write_str("pending"),
            Step::Sent => f.write_str("sent"),
            Step::Applied => f.write_str("applied"),
            Step::Refused(problem) => write!(f, "refused: {problem}"),
            Step::Failed(Reason::Unreachable) => f.write_str("failed: unreachable"),
            Step::Failed(Reason::NotReached) => {
                f.write_str("failed: the rollout ended before its turn")
            }
            Step::Failed(Reason::Overtaken) => {
                f.write_str("failed: taken back before it had answered")
            }
        }
    }
}

/// An instance that the change is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Target {
    /// Its wave, from 0.
    pub wave: u32,
    /// The progress of the change.
    pub step: Step,
    /// The progress of taking it back, once that has begun and where the instance may have had the change.
    pub back: Option<Step>,
    /// Its requests of the last window before the rollout began.
    pub before: Counts,
    /// When it counts as unreachable.
    #[serde(skip)]
    pub until: Option<Micros>,
}

/// How a rollout ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// All waves are through.
    Done,
    /// Nothing more is sent; those that have the change keep it.
    Stopped,
    /// Instances that had the change have their former settings again.
    TakenBack,
}

/// The phase of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// A wave is being sent.
    Forward {
        /// From 0.
        wave: u32,
    },
    /// A wave is complete, and the request counts are observed before the next one.
    Watch {
        /// The wave that is complete.
        wave: u32,
    },
    /// The rollout is to stop, and waits for the instances that were sent an order.
    Stopping,
    /// The change is being taken back.
    Back,
    /// The rollout has ended.
    Ended(End),
}

/// The order of a rollout that an answer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Cause {
    /// The rollout, by the revision that it makes.
    pub revision: u64,
    /// Whether it is being taken back.
    pub back: bool,
}

/// The settings that an instance should have while a rollout is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Those without the change.
    Old,
    /// Those with the change.
    New,
}

/// The rollout of a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rollout {
    /// The change.
    pub change: Change,
    /// The revision that it makes.
    pub revision: u64,
    /// The revision that taking it back has made.
    pub back_revision: Option<u64>,
    /// Who pushed it.
    pub by: By,
    /// Where it is.
    pub phase: Phase,
    /// Why it stops or is taken back, and by whom.
    pub why: Option<String>,
    /// The requests of the instances that it is not for, in the last window before it began.
    pub others: BTreeMap<String, Counts>,
    /// The instances that the change is for. Each is persisted in a record of its own.
    #[serde(skip)]
    pub targets: BTreeMap<String, Target>,
    /// When the observation may end, and when it must.
    #[serde(skip)]
    pub(crate) watch: Option<(Micros, Micros)>,
    /// What has changed since it was last persisted.
    #[serde(skip)]
    pub(crate) unsaved: Unsaved,
}

/// The parts of a rollout that must be persisted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Unsaved {
    pub(crate) head: bool,
    pub(crate) targets: BTreeSet<String>,
}

impl Rollout {
    /// Starts the rollout of a change, with the request counts of the instances that it is for and of the others.
    pub fn new(
        change: Change,
        revision: u64,
        by: By,
        chosen: BTreeMap<String, Counts>,
        others: BTreeMap<String, Counts>,
    ) -> Self {
        // The order does not depend on names alone, so that it is not always the same instances that are first.
        let mut order: Vec<(&String, Counts)> = chosen
            .iter()
            .map(|(name, counts)| (name, *counts))
            .collect();
        order.sort_by_cached_key(|(name, _)| Fingerprint::of(&(&change.id, name)));
        let ends: Vec<usize> = change
            .rollout
            .waves
            .iter()
            .map(|share| Share::of(*share, order.len()))
            .collect();
        let target = |(at, (name, before)): (usize, (&String, Counts))| {
            let wave = ends.iter().filter(|end| **end <= at).count() as u32;
            (
                name.clone(),
                Target {
                    wave,
                    step: Step::Pending,
                    back: None,
                    before,
                    until: None,
                },
            )
        };
        let targets: BTreeMap<String, Target> = order.into_iter().enumerate().map(target).collect();
        let unsaved = Unsaved {
            head: true,
            targets: targets.keys().cloned().collect(),
        };
        let phase = Phase::Forward { wave: 0 };
        let (back_revision, why, watch) = (None, None, None);
        Rollout {
            change,
            revision,
            back_revision,
            by,
            phase,
            why,
            others,
            targets,
            watch,
            unsaved,
        }
    }

    /// The rollout without its targets.
    pub fn head(&self) -> Rollout {
        let (targets, watch, unsaved) = Default::default();
        Rollout {
            targets,
            watch,
            unsaved,
            ..self.clone()
        }
    }

    /// Resumes the rollout after a restart of the agent: every deadline starts anew.
    pub fn resume(&mut self, now: Micros) {
        let until = Some(now.saturating_add(self.change.rollout.silence));
        for target in self.targets.values_mut() {
            target.until = if target.is_awaited(self.phase) {
                until
            } else {
                None
            };
        }
        if let Phase::Watch { .. } = self.phase {
            self.begin_watch(now);
        }
    }

    fn begin_watch(&mut self, now: Micros) {
        let pause = now.saturating_add(self.change.rollout.pause);
        let patience = self.change.rollout.gate.map_or(0, |gate| gate.patience);
        self.watch = Some((pause, pause.saturating_add(patience)));
    }

    /// The settings that an instance should have.
    pub fn side(&self, name: &str) -> Side {
        let Some(target) = self.targets.get(name) else {
            return Side::Old;
        };
        match (&self.phase, &target.step) {
            (Phase::Back | Phase::Ended(End::TakenBack), _) => Side::Old,
            (
                _,
                Step::Pending
                | Step::Refused(_)
                | Step::Failed(Reason::NotReached | Reason::Overtaken),
            ) => Side::Old,
            (_, Step::Sent | Step::Applied | Step::Failed(Reason::Unreachable)) => Side::New,
        }
    }

    /// The order that an instance has to answer, if there is one.
    pub fn cause(&self, name: &str) -> Option<Cause> {
        let back = self.phase == Phase::Back;
        let target = self
            .targets
            .get(name)
            .filter(|target| target.is_awaited(self.phase))?;
        (target.until.is_some()).then_some(Cause {
            revision: self.revision,
            back,
        })
    }

    /// Records the answer to an order of this rollout.
    pub fn answered(&mut self, name: &str, cause: Cause, outcome: &Outcome) {
        if self.cause(name) != Some(cause) {
            return;
        }
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let step = match outcome {
            Outcome::Applied => Step::Applied,
            Outcome::Refused(problem) => Step::Refused(problem.clone()),
        };
        target.until = None;
        *target.step_mut(cause.back) = step;
        self.unsaved.targets.insert(name.to_string());
    }

    /// Records that an instance that had the change has restarted and now refuses it.
    pub fn refused_later(&mut self, name: &str, problem: &Problem) {
        if let Phase::Forward { .. } | Phase::Watch { .. } | Phase::Stopping = self.phase
            && let Some(target) = self.targets.get_mut(name)
            && target.step == Step::Applied
        {
            target.step = Step::Refused(problem.clone());
            self.unsaved.targets.insert(name.to_string());
        }
    }

    /// Stops the rollout: instances that have the change keep it. Returns false where it is too late.
    pub fn stop(&mut self, why: String) -> bool {
        let under_way = matches!(self.phase, Phase::Forward { .. } | Phase::Watch { .. });
        if under_way {
            self.change_phase(Phase::Stopping, why);
        }
        under_way
    }

    /// Takes the change back under a new revision. Returns false where it is too late.
    pub fn take_back(&mut self, now: Micros, revision: u64, why: String) -> bool {
        let under_way = matches!(
            self.phase,
            Phase::Forward { .. } | Phase::Watch { .. } | Phase::Stopping
        );
        if under_way {
            self.change_phase(Phase::Back, why);
            self.back_revision = Some(revision);
            let until = Some(now.saturating_add(self.change.rollout.silence));
            for (name, target) in &mut self.targets {
                match target.step {
                    Step::Pending | Step::Failed(Reason::NotReached) => {
                        target.step = Step::Failed(Reason::NotReached)
                    }
                    // Its former settings are in effect.
                    Step::Refused(_) => continue,
                    Step::Sent | Step::Applied | Step::Failed(_) => {
                        if target.step == Step::Sent {
                            target.step = Step::Failed(Reason::Overtaken);
                        }
                        target.back = Some(Step::Sent);
                        target.until = until;
                    }
                }
                self.unsaved.targets.insert(name.clone());
            }
        }
        under_way
    }

    fn change_phase(&mut self, phase: Phase, why: String) {
        self.phase = phase;
        self.why = Some(why);
        self.watch = None;
        self.unsaved.head = true;
    }

    /// Does what is due. `next` is the revision that taking the change back makes; `counts` returns the newest
    /// request counts of an instance that is alive. Returns whether taking it back has begun, so that the revision is
    /// used.
    pub fn advance(
        &mut self,
        now: Micros,
        next: u64,
        counts: &dyn Fn(&str) -> Option<Counts>,
    ) -> bool {
        self.expire(now);
        let mut took_back = false;
        while self.advance_once(now, next, counts, &mut took_back) {}
        took_back
    }

    fn advance_once(
        &mut self,
        now: Micros,
        next: u64,
        counts: &dyn Fn(&str) -> Option<Counts>,
        took_back: &mut bool,
    ) -> bool {
        let before = self.phase;
        match self.phase {
            Phase::Forward { .. } | Phase::Watch { .. } if self.too_many_failures() => {
                let why = format!("{} of the instances refused or failed", self.failures());
                *took_back |= self.end_early(now, next, why);
            }
            Phase::Forward { wave } => {
                self.send_wave(now, wave);
                if self
                    .targets
                    .values()
                    .all(|target| target.wave > wave || target.step.is_final())
                {
                    let last = self
                        .targets
                        .values()
                        .map(|target| target.wave)
                        .max()
                        .unwrap_or(0);
                    if wave >= last {
                        self.phase = Phase::Ended(End::Done);
                    } else {
                        self.phase = Phase::Watch { wave };
                        self.begin_watch(now);
                    }
                }
            }
            Phase::Watch { wave } => {
                let Some((until, patience)) = self.watch else {
                    return false;
                };
                if now < until {
                    return false;
                }
                match self.verdict(counts) {
                    Verdict::Sound => self.phase = Phase::Forward { wave: wave + 1 },
                    Verdict::TooLittle(_) if now < patience => return false,
                    Verdict::TooLittle(_)
                        if self.change.rollout.gate.is_none_or(|gate| gate.unproven) =>
                    {
                        self.phase = Phase::Forward { wave: wave + 1 };
                    }
                    Verdict::TooLittle(seen) => {
                        let why = format!(
                            "too little evidence after wave {}: {seen} requests",
                            wave + 1
                        );
                        *took_back |= self.end_early(now, next, why);
                    }
                    Verdict::Hurts { by, error } => {
                        let (by, error) = (by * 100.0, error * 100.0);
                        let why = format!(
                            "it hurts: {by:.1}% more of the requests end badly where it is in effect (give or take \
                             {error:.1})"
                        );
                        *took_back |= self.end_early(now, next, why);
                    }
                }
                if !matches!(self.phase, Phase::Watch { .. }) {
                    self.watch = None;
                }
            }
            Phase::Stopping => {
                if self
                    .targets
                    .values()
                    .all(|target| target.step != Step::Sent)
                {
                    for (name, target) in &mut self.targets {
                        if target.step == Step::Pending {
                            target.step = Step::Failed(Reason::NotReached);
                            self.unsaved.targets.insert(name.clone());
                        }
                    }
                    self.phase = Phase::Ended(End::Stopped);
                }
            }
            Phase::Back => {
                if self
                    .targets
                    .values()
                    .all(|target| target.back.as_ref().is_none_or(Step::is_final))
                {
                    self.phase = Phase::Ended(End::TakenBack);
                }
            }
            Phase::Ended(_) => {}
        }
        self.unsaved.head |= self.phase != before;
        self.phase != before
    }

    /// When the rollout has to be advanced next.
    pub fn next(&self, now: Micros) -> Option<Micros> {
        let silences = self.targets.values().filter_map(|target| target.until);
        let watch = self
            .watch
            .into_iter()
            .flat_map(|(until, patience)| [until, patience]);
        silences.chain(watch).filter(|at| *at > now).min()
    }

    /// The number of targets that refused the change or failed.
    pub fn failures(&self) -> usize {
        let failed =
            |t: &&Target| matches!(t.step, Step::Refused(_) | Step::Failed(Reason::Unreachable));
        self.targets.values().filter(failed).count()
    }

    fn too_many_failures(&self) -> bool {
        self.failures() > self.change.rollout.failures as usize
    }

    fn end_early(&mut self, now: Micros, next: u64, why: String) -> bool {
        match self.change.rollout.then {
            Then::Stop => {
                self.stop(why);
                false
            }
            Then::TakeBack => self.take_back(now, next, why),
        }
    }

    /// Fails the targets that have not answered in time.
    fn expire(&mut self, now: Micros) {
        let back = self.phase == Phase::Back;
        for (name, target) in &mut self.targets {
            if target.until.is_some_and(|until| until <= now) {
                target.until = None;
                *target.step_mut(back) = Step::Failed(Reason::Unreachable);
                self.unsaved.targets.insert(name.clone());
            }
        }
    }

    fn send_wave(&mut self, now: Micros, wave: u32) {
        let under_way = self
            .targets
            .values()
            .filter(|target| target.step == Step::Sent)
            .count();
        let room = (self.change.rollout.at_once as usize).saturating_sub(under_way);
        let until = Some(now.saturating_add(self.change.rollout.silence));
        let pending = self
            .targets
            .iter_mut()
            .filter(|(_, t)| t.wave <= wave && t.step == Step::Pending);
        for (name, target) in pending.take(room) {
            target.step = Step::Sent;
            target.until = until;
            self.unsaved.targets.insert(name.clone());
        }
    }

    fn verdict(&self, counts: &dyn Fn(&str) -> Option<Counts>) -> Verdict {
        let Some(rule) = &self.change.rollout.gate else {
            return Verdict::Sound;
        };
        let sample =
            |name: &String, before: Counts| counts(name).map(|after| Sample { before, after });
        let changed = self
            .targets
            .iter()
            .filter(|(_, target)| target.step == Step::Applied);
        let unchanged = self
            .targets
            .iter()
            .filter(|(_, target)| target.step == Step::Pending);
        let changed: Vec<Sample> = changed
            .filter_map(|(name, target)| sample(name, target.before))
            .collect();
        let mut others: Vec<Sample> = unchanged
            .filter_map(|(name, target)| sample(name, target.before))
            .collect();
        others.extend(
            self.others
                .iter()
                .filter_map(|(name, before)| sample(name, *before)),
        );
        judge(rule, &changed, &others)
    }

    /// Whether the change undoes another one.
    pub fn is_undo(&self) -> bool {
        matches!(self.change.what, What::Undo(_))
    }

    #[cfg(any(test, feature = "explore"))]
    pub(crate) fn rebase(&mut self, by: Micros) {
        let back = |at: &mut Micros| *at = at.saturating_sub(by);
        self.targets
            .values_mut()
            .filter_map(|target| target.until.as_mut())
            .for_each(back);
        if let Some((until, patience)) = &mut self.watch {
            back(until);
            back(patience);
        }
    }
}

impl Step {
    /// Whether the step will not change any more.
    pub fn is_final(&self) -> bool {
        !matches!(self, Step::Pending | Step::Sent)
    }
}

impl Target {
    /// Whether an order was sent and has not been answered.
    fn is_awaited(&self, phase: Phase) -> bool {
        match phase {
            Phase::Back => self.back == Some(Step::Sent),
            Phase::Ended(_) => false,
            _ => self.step == Step::Sent,
        }
    }

    fn step_mut(&mut self, back: bool) -> &mut Step {
        if back {
            self.back.get_or_insert(Step::Sent)
        } else {
            &mut self.step
        }
    }
}
