//! Leases of fleet-wide limits.

use super::note::Note;
use super::record::Record;
use super::{Fleet, Output, Time};
use crate::lending::{Desk, Lending};

impl Fleet {
    /// Lends the limits of the agent's file from now on. To be called once, right after [`Fleet::restore`]; `id` is drawn
    /// at random. What the output saves must last before anything is lent.
    pub fn lend(&mut self, time: Time, file: Lending, id: u64) -> Output {
        let mut out = Output::default();
        if file.limits.is_empty() && self.lent_for == 0 {
            return out;
        }
        let who = madderloom_quota::Who { term: self.term, id };
        let lasts = file.lasts;
        let mut desk = Desk::new(time.now, who, file, self.lent_for, self.rules.every);
        desk.follow(time.now, &self.layers);
        self.desk = Some(Box::new(desk));
        // Those that a start after this one finds out are of this one or of those before it.
        self.lent_for = self.lent_for.max(lasts);
        out.saves.insert("lending".into(), Some(Record::Lending(self.lent_for)));
        out
    }

    /// Lends fleet-wide limits, where it has any and no later agent has taken over.
    pub fn lender(&self) -> Option<&madderloom_quota::Lender> {
        self.desk.as_ref().map(|desk| &desk.lender)
    }

    pub(super) fn note_lending(&mut self, out: &mut Output) {
        let Some(desk) = &mut self.desk else { return };
        let (notes, learned) = desk.notes();
        if learned && self.lent_for != desk.lasts() {
            // What was lent for longer is over.
            self.lent_for = desk.lasts();
            out.saves.insert("lending".into(), Some(Record::Lending(self.lent_for)));
        }
        out.notes.extend(notes.into_iter().map(Note::Lending));
    }
}
