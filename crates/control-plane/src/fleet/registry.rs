//! Registration and reports of instances.

use super::note::Note;
use super::orders::InstanceState;
use super::record::Record;
use super::{Fleet, Output, Time};
use crate::membership::{Presence, Registered, Renewed};
use crate::protocol::{Register, Report, ToInstance, Welcome, Who};
use std::collections::BTreeSet;

/// The way on which a registration has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// From the instance itself, after a handshake of its own: admitted at the agent's pace.
    Paced,
    /// Through a relay, which keeps a pace of its own: admitted at once.
    Relayed,
}

impl Fleet {
    pub(super) fn register(
        &mut self,
        time: Time,
        registration: &Register,
        admission: Admission,
        jitter: u64,
        out: &mut Output,
    ) {
        let Who { name, start, .. } = &registration.who;
        if registration
            .who
            .check()
            .and_then(|()| registration.traits.check())
            .is_err()
        {
            return;
        }
        self.observe_term(registration.term, out);
        let (start, term, every) = (*start, self.term, self.rules.every);
        if admission == Admission::Paced
            && let Err(again) = self.spread.admit(time.now, name, jitter)
        {
            return out
                .sends
                .push((name.clone(), ToInstance::Later { start, again }));
        }
        let known = self.membership.len();
        let answer = match self.membership.register(time.now, registration) {
            Registered::Welcome { incarnation, new } => {
                if new {
                    // A stamp is never used twice within a term: a start may lose its name and win it back.
                    let former = self
                        .instances
                        .get(name)
                        .map_or(0, |instance| instance.number);
                    let number = former.max(self.highest_number);
                    self.instances.insert(
                        name.clone(),
                        InstanceState {
                            number,
                            ..InstanceState::default()
                        },
                    );
                }
                if self.membership.len() <= known && new {
                    self.forget_instances_without_member(out);
                }
                if let Some(member) = self.membership.get(name) {
                    out.saves.insert(
                        format!("member/{name}"),
                        Some(Record::Member(member.persisted())),
                    );
                }
                out.notes
                    .push(Note::Presence(name.clone(), Presence::Joining));
                let spread = self.spread.span(self.membership.len());
                ToInstance::Welcome(Welcome {
                    start,
                    incarnation,
                    term,
                    every,
                    spread,
                })
            }
            Registered::Superseded { by, again } => {
                out.notes
                    .push(Note::Rival(name.clone(), registration.who.incarnation, by));
                ToInstance::Superseded { start, by, again }
            }
            Registered::Full => ToInstance::Later {
                start,
                again: self.rules.pace.horizon,
            },
        };
        out.sends.push((name.clone(), answer));
    }

    /// Drops the state and the record of each name that was forgotten to make room.
    fn forget_instances_without_member(&mut self, out: &mut Output) {
        let (membership, highest_number) = (&self.membership, &mut self.highest_number);
        self.instances.retain(|name, instance| {
            let known = membership.get(name).is_some();
            if !known {
                *highest_number = instance.number.max(*highest_number);
                out.saves.insert(format!("member/{name}"), None);
            }
            known
        });
    }

    /// Records a term that an instance knows. The agent stands down where it is a later one.
    pub(super) fn observe_term(&mut self, term: u64, out: &mut Output) {
        if term > self.term && self.stood_down.is_none_or(|known| known < term) {
            self.stood_down = Some(term);
            self.fleet_limits = None;
            out.notes.push(Note::StoodDown(term));
        }
    }

    /// Handles reports that have come together, and advances the rollout once for all of them.
    pub(super) fn report_all<'a>(
        &mut self,
        time: Time,
        reports: impl IntoIterator<Item = &'a Report>,
        out: &mut Output,
    ) {
        let reporters: Vec<&str> = reports
            .into_iter()
            .filter(|report| self.accept_report(time, report, out))
            .map(|report| report.who.name.as_str())
            .collect();
        if reporters.is_empty() {
            return;
        }
        self.advance(time, out);
        // The rollout may have sent orders just now.
        let is_order = |message: &ToInstance| matches!(message, ToInstance::Order(_));
        let ordered = out.sends.iter().filter(|(_, message)| is_order(message));
        let ordered: BTreeSet<String> = ordered.map(|(name, _)| name.clone()).collect();
        for name in reporters
            .into_iter()
            .filter(|name| !ordered.contains(*name))
        {
            self.send_order(name, out);
        }
    }

    /// Records a report, and renews the lease of the instance. Returns whether the instance holds its name.
    fn accept_report(&mut self, time: Time, report: &Report, out: &mut Output) -> bool {
        let Who { name, start, .. } = &report.who;
        let start = *start;
        if report.who.check().is_err() {
            return false;
        }
        self.observe_term(report.term, out);
        let was = match self.membership.renew(time.now, &report.who) {
            Renewed::Renewed(was) => was,
            Renewed::Unknown => {
                out.sends
                    .push((name.clone(), ToInstance::Unknown { start }));
                return false;
            }
            Renewed::Superseded { by, again } => {
                out.notes
                    .push(Note::Rival(name.clone(), report.who.incarnation, by));
                out.sends
                    .push((name.clone(), ToInstance::Superseded { start, by, again }));
                return false;
            }
        };
        if was != Presence::Alive {
            out.notes
                .push(Note::Presence(name.clone(), Presence::Alive));
        }
        out.sends.push((
            name.clone(),
            ToInstance::Renewed {
                start,
                term: self.term,
            },
        ));
        if let Some(fleet_limits) = &mut self.fleet_limits {
            let zone = self
                .membership
                .get(name)
                .map_or("", |member| &member.traits.zone);
            let grant = fleet_limits.handle_report(time.now, zone, report);
            out.sends
                .extend(grant.map(|grant| (name.clone(), ToInstance::Lent(grant))));
            self.collect_lease_notes(out);
        }
        let instance = self.instances.entry(name.clone()).or_default();
        instance.holding = report.holding.clone();
        instance.counts = report.counts;
        if let Some(answer) = &report.answer {
            self.record_answer(name, answer, out);
        }
        true
    }
}
