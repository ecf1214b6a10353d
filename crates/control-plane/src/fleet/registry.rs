//! Registration and reports of instances.

use super::event::FleetEvent;
use super::orders::InstanceState;
use super::record::{Record, member_key};
use super::{Fleet, FleetOutput, Time};
use crate::membership::{MemberState, NameHeld, RegistrationOutcome, RenewalOutcome};
use crate::protocol::{InstanceId, Register, Report, ToInstance, Welcome};
use std::collections::BTreeSet;

/// How a registration is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// It comes from the instance itself, after a handshake of its own: the agent limits the rate.
    RateLimited,
    /// It comes through a relay, which limits the rate itself: the agent admits it at once.
    Relayed,
}

impl Fleet {
    /// Handles a registration. One with invalid fields is dropped.
    pub(super) fn register(
        &mut self,
        time: Time,
        registration: &Register,
        admission: Admission,
        jitter: u64,
        out: &mut FleetOutput,
    ) {
        let id = &registration.id;
        let checked = id.check().and_then(|()| registration.attributes.check());
        if checked.is_err() {
            return;
        }
        self.observe_term(registration.term, out);
        let start = id.start;
        if admission == Admission::RateLimited
            && let Err(retry_after) = self.registrations.admit(time.now, &id.name, jitter)
        {
            return out.send(&id.name, ToInstance::RetryLater { start, retry_after });
        }
        let members_before = self.membership.len();
        let answer = match self.membership.register(time.now, registration) {
            RegistrationOutcome::Accepted {
                incarnation,
                is_new,
            } => {
                if is_new {
                    self.reset_instance(&id.name);
                }
                if is_new && self.membership.len() <= members_before {
                    self.forget_instances_without_member(out);
                }
                self.welcome(id, incarnation, out)
            }
            RegistrationOutcome::Superseded(held) => reject_name(id, held, out),
            RegistrationOutcome::Full => ToInstance::RetryLater {
                start,
                retry_after: self.settings.registration_rate.max_delay,
            },
        };
        out.send(&id.name, answer);
    }

    /// Forgets what is known of an instance but the number of its last order: a fencing token is never used twice
    /// within a term, since a start may lose its name and win it back.
    fn reset_instance(&mut self, name: &str) {
        let former_number = self
            .instances
            .get(name)
            .map_or(0, |instance| instance.last_order_number);
        let state = InstanceState {
            last_order_number: former_number.max(self.highest_order_number),
            ..InstanceState::default()
        };
        self.instances.insert(name.to_string(), state);
    }

    /// Saves a member that was accepted. Returns the answer to its registration.
    fn welcome(&self, id: &InstanceId, incarnation: u64, out: &mut FleetOutput) -> ToInstance {
        if let Some(member) = self.membership.get(&id.name) {
            out.save(member_key(&id.name), Record::Member(member.persisted()));
        }
        out.events.push(FleetEvent::MemberState {
            name: id.name.clone(),
            state: MemberState::Joining,
        });
        ToInstance::Welcome(Welcome {
            start: id.start,
            incarnation,
            term: self.term,
            report_interval: self.settings.report_interval,
            reconnect_window: self.registrations.reconnect_window(self.membership.len()),
        })
    }

    /// Drops the state and the record of each member that was forgotten to make room.
    fn forget_instances_without_member(&mut self, out: &mut FleetOutput) {
        let membership = &self.membership;
        let highest_order_number = &mut self.highest_order_number;
        self.instances.retain(|name, instance| {
            let is_member = membership.get(name).is_some();
            if !is_member {
                *highest_order_number = instance.last_order_number.max(*highest_order_number);
                out.delete(member_key(name));
            }
            is_member
        });
    }

    /// Records a term that an instance or a relay knows. A later term than the agent's own supersedes the agent: it
    /// issues no more orders and no more leases.
    pub(super) fn observe_term(&mut self, term: u64, out: &mut FleetOutput) {
        if term > self.term && self.superseded_by.is_none_or(|known| known < term) {
            self.superseded_by = Some(term);
            self.fleet_limits = None;
            out.events.push(FleetEvent::Superseded { term });
        }
    }

    /// Handles reports that have come together, and advances the rollout once for all of them.
    pub(super) fn report_all<'a>(
        &mut self,
        time: Time,
        reports: impl IntoIterator<Item = &'a Report>,
        out: &mut FleetOutput,
    ) {
        let reporters: Vec<&str> = reports
            .into_iter()
            .filter(|report| self.accept_report(time, report, out))
            .map(|report| report.id.name.as_str())
            .collect();
        if reporters.is_empty() {
            return;
        }
        self.advance(time, out);
        // The rollout may have sent orders just now.
        let is_order = |message: &ToInstance| matches!(message, ToInstance::Order(_));
        let ordered: BTreeSet<String> = out
            .messages
            .iter()
            .filter(|(_, message)| is_order(message))
            .map(|(name, _)| name.clone())
            .collect();
        for name in reporters {
            if !ordered.contains(name) {
                self.send_order(name, out);
            }
        }
    }

    /// Records a report, and renews the lease of the instance. Returns whether the instance holds its name.
    fn accept_report(&mut self, time: Time, report: &Report, out: &mut FleetOutput) -> bool {
        let id = &report.id;
        if id.check().is_err() {
            return false;
        }
        self.observe_term(report.term, out);
        let former_state = match self.membership.renew(time.now, id) {
            RenewalOutcome::Renewed(former_state) => former_state,
            RenewalOutcome::NotRegistered => {
                out.send(&id.name, ToInstance::NotRegistered { start: id.start });
                return false;
            }
            RenewalOutcome::Superseded(held) => {
                let answer = reject_name(id, held, out);
                out.send(&id.name, answer);
                return false;
            }
        };
        if former_state != MemberState::Alive {
            out.events.push(FleetEvent::MemberState {
                name: id.name.clone(),
                state: MemberState::Alive,
            });
        }
        let renewed = ToInstance::Renewed {
            start: id.start,
            term: self.term,
        };
        out.send(&id.name, renewed);
        self.grant_leases(time, report, out);
        self.record_state(report, out);
        true
    }

    /// Grants the leases of fleet-wide limits that a report requests.
    fn grant_leases(&mut self, time: Time, report: &Report, out: &mut FleetOutput) {
        let Some(fleet_limits) = &mut self.fleet_limits else {
            return;
        };
        let name = &report.id.name;
        let zone = self
            .membership
            .get(name)
            .map_or("", |member| &member.attributes.zone);
        if let Some(grant) = fleet_limits.handle_report(time.now, zone, report) {
            out.send(name, ToInstance::LeaseGrant(grant));
        }
        self.collect_lease_events(out);
    }

    /// Records the state of an instance, and the answer to its last order.
    fn record_state(&mut self, report: &Report, out: &mut FleetOutput) {
        let name = &report.id.name;
        let instance = self.instances.entry(name.clone()).or_default();
        instance.applied = report.applied.clone();
        instance.counts = report.counts;
        if let Some(answer) = &report.answer {
            self.record_answer(name, answer, out);
        }
    }
}

/// Logs that a start was rejected because another one holds its name. Returns the answer to it.
fn reject_name(id: &InstanceId, held: NameHeld, out: &mut FleetOutput) -> ToInstance {
    out.events.push(FleetEvent::NameConflict {
        name: id.name.clone(),
        rejected_incarnation: id.incarnation,
        holder_incarnation: held.holder_incarnation,
    });
    ToInstance::Superseded {
        start: id.start,
        holder_incarnation: held.holder_incarnation,
        retry_after: held.retry_after,
    }
}
