//! The transitions of a rollout that time, answers and the health gate lead to.

use super::{FailureReason, ObservationWindow, Phase, Rollout, RolloutResult, TargetState};
use crate::Micros;
use crate::health_gate::{RequestCounts, Sample, Verdict};
use crate::policy::FailureAction;

/// Returns the newest request counts of an instance that is alive.
type CountsOf<'a> = &'a dyn Fn(&str) -> Option<RequestCounts>;

impl Rollout {
    /// Makes all transitions that are due. `next_revision` is the revision that a rollback makes; `counts` returns the
    /// newest request counts of an instance that is alive. Returns whether a rollback has begun, so that the revision
    /// is used.
    pub fn advance(&mut self, now: Micros, next_revision: u64, counts: CountsOf<'_>) -> bool {
        self.expire_orders(now);
        let mut rollback_begun = false;
        loop {
            let former = self.phase;
            rollback_begun |= self.advance_phase(now, next_revision, counts);
            if self.phase == former {
                return rollback_begun;
            }
            self.unsaved.head = true;
        }
    }

    /// Makes the next transition, if one is due. Returns whether a rollback has begun.
    fn advance_phase(&mut self, now: Micros, next_revision: u64, counts: CountsOf<'_>) -> bool {
        match self.phase {
            Phase::Deploying { .. } | Phase::Observing { .. } if self.has_too_many_failures() => {
                let reason = format!("{} of the instances refused or failed", self.failures());
                return self.fail(now, next_revision, reason);
            }
            Phase::Deploying { stage } => self.deploy(now, stage),
            Phase::Observing { stage } => return self.observe(now, next_revision, stage, counts),
            Phase::Stopping => self.finish_stop(),
            Phase::RollingBack => self.finish_rollback(),
            Phase::Ended(_) => {}
        }
        false
    }

    /// Sends the orders of a stage, and ends the stage once all of them are answered.
    fn deploy(&mut self, now: Micros, stage: u32) {
        self.send_orders(now, stage);
        let is_complete = self
            .targets
            .values()
            .all(|target| target.stage > stage || target.state.is_final());
        if !is_complete {
            return;
        }
        let last_stage = self.targets.values().map(|target| target.stage).max();
        if stage >= last_stage.unwrap_or(0) {
            self.phase = Phase::Ended(RolloutResult::Completed);
        } else {
            self.phase = Phase::Observing { stage };
            self.begin_observation(now);
        }
    }

    /// Starts the orders of a stage, and of those before it, as far as the bound on unanswered orders allows.
    fn send_orders(&mut self, now: Micros, stage: u32) {
        let in_flight = self
            .targets
            .values()
            .filter(|target| target.state == TargetState::Sent)
            .count();
        let max_in_flight = self.change.rollout.max_in_flight as usize;
        let deadline = self.answer_deadline(now);
        let pending = self
            .targets
            .iter_mut()
            .filter(|(_, target)| target.stage <= stage && target.state == TargetState::Pending);
        for (name, target) in pending.take(max_in_flight.saturating_sub(in_flight)) {
            target.order_sent(deadline);
            self.unsaved.targets.insert(name.clone());
        }
    }

    pub(super) fn begin_observation(&mut self, now: Micros) {
        let policy = &self.change.rollout;
        let earliest_end = now.saturating_add(policy.stage_pause);
        let evidence_timeout = policy.gate.map_or(0, |gate| gate.evidence_timeout);
        self.observation = Some(ObservationWindow {
            earliest_end,
            evidence_deadline: earliest_end.saturating_add(evidence_timeout),
        });
    }

    /// Ends the observation of a stage once the health gate has a verdict. Returns whether a rollback has begun.
    fn observe(
        &mut self,
        now: Micros,
        next_revision: u64,
        stage: u32,
        counts: CountsOf<'_>,
    ) -> bool {
        let Some(window) = self.observation.filter(|window| now >= window.earliest_end) else {
            return false;
        };
        let reason = match self.verdict(counts) {
            Verdict::Healthy => {
                self.begin_stage(stage + 1);
                return false;
            }
            Verdict::InsufficientEvidence { .. } if now < window.evidence_deadline => return false,
            Verdict::InsufficientEvidence { .. } if self.passes_without_evidence() => {
                self.begin_stage(stage + 1);
                return false;
            }
            Verdict::InsufficientEvidence { requests } => format!(
                "too little evidence after wave {}: {requests} requests",
                stage + 1
            ),
            Verdict::Degraded {
                increase,
                standard_error,
            } => format!(
                "it hurts: {:.1}% more of the requests end badly where it is in effect (give or take {:.1})",
                increase * 100.0,
                standard_error * 100.0
            ),
        };
        self.fail(now, next_revision, reason)
    }

    fn begin_stage(&mut self, stage: u32) {
        self.phase = Phase::Deploying { stage };
        self.observation = None;
    }

    fn passes_without_evidence(&self) -> bool {
        self.change
            .rollout
            .gate
            .is_none_or(|gate| gate.pass_without_evidence)
    }

    /// The verdict of the health gate on the instances that have the change, compared with all others.
    fn verdict(&self, counts: CountsOf<'_>) -> Verdict {
        let Some(gate) = &self.change.rollout.gate else {
            return Verdict::Healthy;
        };
        let sample = |name: &String, before: RequestCounts| {
            counts(name).map(|after| Sample { before, after })
        };
        let samples_of_targets = |state: TargetState| -> Vec<Sample> {
            self.targets
                .iter()
                .filter(|(_, target)| target.state == state)
                .filter_map(|(name, target)| sample(name, target.counts_before))
                .collect()
        };
        let changed = samples_of_targets(TargetState::Applied);
        let mut unchanged = samples_of_targets(TargetState::Pending);
        unchanged.extend(
            self.others
                .iter()
                .filter_map(|(name, before)| sample(name, *before)),
        );
        gate.judge(&changed, &unchanged)
    }

    /// Ends the rollout early, as its policy says. Returns whether a rollback has begun.
    fn fail(&mut self, now: Micros, next_revision: u64, reason: String) -> bool {
        match self.change.rollout.on_failure {
            FailureAction::Stop => {
                self.stop(reason);
                false
            }
            FailureAction::RollBack => self.roll_back(now, next_revision, reason),
        }
    }

    fn has_too_many_failures(&self) -> bool {
        self.failures() > self.change.rollout.max_failures as usize
    }

    /// Ends a stopped rollout once no order is unanswered.
    fn finish_stop(&mut self) {
        let mut targets = self.targets.values();
        if targets.any(|target| target.state == TargetState::Sent) {
            return;
        }
        for (name, target) in &mut self.targets {
            if target.state == TargetState::Pending {
                target.state = TargetState::Failed(FailureReason::NotReached);
                self.unsaved.targets.insert(name.clone());
            }
        }
        self.phase = Phase::Ended(RolloutResult::Stopped);
    }

    /// Ends a rollback once all of its orders are answered or have expired.
    fn finish_rollback(&mut self) {
        let mut rollbacks = self
            .targets
            .values()
            .filter_map(|target| target.rollback.as_ref());
        if rollbacks.all(TargetState::is_final) {
            self.phase = Phase::Ended(RolloutResult::RolledBack);
        }
    }

    /// Fails the targets that have not answered in time.
    fn expire_orders(&mut self, now: Micros) {
        let is_rollback = self.phase == Phase::RollingBack;
        for (name, target) in &mut self.targets {
            if target.deadline.is_some_and(|deadline| deadline <= now) {
                target.order_ended(is_rollback, TargetState::Failed(FailureReason::Unreachable));
                self.unsaved.targets.insert(name.clone());
            }
        }
    }
}
