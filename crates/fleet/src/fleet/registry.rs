//! Registration and reports of instances.

use super::note::Note;
use super::orders::Line;
use super::record::Record;
use super::{Fleet, Output, Time};
use crate::membership::{Presence, Registered, Renewed};
use crate::protocol::{Register, Report, ToInstance, Welcome, Who};

impl Fleet {
    pub(super) fn register(&mut self, time: Time, wish: &Register, jitter: u64, out: &mut Output) {
        let Who { name, start, .. } = &wish.who;
        if wish.who.check().and_then(|()| wish.traits.check()).is_err() {
            return;
        }
        self.hear(wish.term, out);
        let (start, term, every) = (*start, self.term, self.rules.every);
        if let Err(again) = self.spread.admit(time.now, name, jitter) {
            return out.sends.push((name.clone(), ToInstance::Later { start, again }));
        }
        let known = self.membership.len();
        let answer = match self.membership.register(time.now, wish) {
            Registered::Welcome { incarnation, new } => {
                if new {
                    // Stamps are never used twice within a term: a start may lose its name and win it back.
                    let former = self.lines.get(name).map_or(0, |line| line.number);
                    let number = former.max(self.numbers);
                    self.lines.insert(name.clone(), Line { number, ..Line::default() });
                }
                if self.membership.len() <= known && new {
                    self.drop_lines_without_member(out);
                }
                if let Some(member) = self.membership.get(name) {
                    out.saves.insert(format!("member/{name}"), Some(Record::Member(member.kept())));
                }
                out.notes.push(Note::Presence(name.clone(), Presence::Joining));
                let spread = self.spread.span(self.membership.len());
                ToInstance::Welcome(Welcome { start, incarnation, term, every, spread })
            }
            Registered::Superseded { by, again } => {
                out.notes.push(Note::Rival(name.clone(), wish.who.incarnation, by));
                ToInstance::Superseded { start, by, again }
            }
            Registered::Full => ToInstance::Later { start, again: self.rules.pace.horizon },
        };
        out.sends.push((name.clone(), answer));
    }

    /// A name that was forgotten to make room leaves its line and its record.
    fn drop_lines_without_member(&mut self, out: &mut Output) {
        let (membership, numbers) = (&self.membership, &mut self.numbers);
        self.lines.retain(|name, line| {
            let known = membership.get(name).is_some();
            if !known {
                *numbers = line.number.max(*numbers);
                out.saves.insert(format!("member/{name}"), None);
            }
            known
        });
    }

    /// An instance has heard of an agent of this term.
    fn hear(&mut self, term: u64, out: &mut Output) {
        if term > self.term && self.stood_down.is_none_or(|known| known < term) {
            self.stood_down = Some(term);
            self.desk = None;
            out.notes.push(Note::StoodDown(term));
        }
    }

    pub(super) fn report(&mut self, time: Time, report: &Report, out: &mut Output) {
        let Who { name, start, .. } = &report.who;
        let start = *start;
        if report.who.check().is_err() {
            return;
        }
        self.hear(report.term, out);
        let was = match self.membership.renew(time.now, &report.who) {
            Renewed::Renewed(was) => was,
            Renewed::Unknown => return out.sends.push((name.clone(), ToInstance::Unknown { start })),
            Renewed::Superseded { by, again } => {
                out.notes.push(Note::Rival(name.clone(), report.who.incarnation, by));
                return out.sends.push((name.clone(), ToInstance::Superseded { start, by, again }));
            }
        };
        if was != Presence::Alive {
            out.notes.push(Note::Presence(name.clone(), Presence::Alive));
        }
        out.sends.push((name.clone(), ToInstance::Renewed { start, term: self.term }));
        if let Some(desk) = &mut self.desk {
            let zone = self.membership.get(name).map_or("", |member| &member.traits.zone);
            let lent = desk.report(time.now, zone, report);
            out.sends.extend(lent.map(|lent| (name.clone(), ToInstance::Lent(lent))));
            self.note_lending(out);
        }
        let line = self.lines.entry(name.clone()).or_default();
        line.holding = report.holding.clone();
        line.counts = report.counts;
        if let Some(answer) = &report.answer {
            self.take_answer(name, answer, out);
        }
        self.advance(time, out);
        // What a rollout has just made due was sent already.
        if !out.sends.iter().any(|(to, message)| to == name && matches!(message, ToInstance::Order(_))) {
            self.bring(name, out);
        }
    }
}
