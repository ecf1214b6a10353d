//! Discovery: the list of servers, known late; calls that wait their turn; watches that end when it goes down.

use crate::experiment;
use madderloom_balancer::{Micros, ServerEntry};

/// One way between an instance and discovery.
pub const HOP: Micros = 500;

/// News for an instance: what [`Discovery::news`] is to be asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    /// What changed since the version that the instance holds.
    Changes,
    /// The whole list.
    Full,
    /// The call or the watch has failed.
    Failed,
}

/// What a call comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reply {
    /// When discovery speaks, or when the instance gives up.
    pub at: Micros,
    /// What it says.
    pub news: News,
}

/// Changes that a watcher may lag behind before it is told the whole list instead.
const BACKLOG: usize = 1_000;

/// The discovery service of a run.
pub struct Discovery {
    spec: experiment::Discovery,
    base: Vec<ServerEntry>,
    log: Vec<ServerEntry>,
    /// When the call that was last taken in will have been worked off.
    busy_until: Micros,
    down: bool,
    /// Versions began anew so many times.
    epoch: u32,
    watchers: Vec<bool>,
    /// Epoch and version that each instance holds.
    held: Vec<(u32, usize)>,
}

impl Discovery {
    /// One that lists these servers, for so many instances, all of which hold this list.
    pub fn new(spec: &experiment::Discovery, servers: Vec<ServerEntry>, instances: usize) -> Self {
        Discovery {
            spec: spec.clone(),
            base: servers,
            log: Vec::new(),
            busy_until: 0,
            down: false,
            epoch: 0,
            watchers: vec![!spec.on_request; instances],
            held: vec![(0, 0); instances],
        }
    }

    /// How late a change is known here: planned ones, and those that nobody tells of.
    pub fn notice(&self, silent: bool) -> Micros {
        if silent {
            self.spec.silent_notice.micros()
        } else {
            self.spec.notice.micros()
        }
    }

    /// A change is known now. Whoever watches is to be told.
    pub fn change(&mut self, listed: ServerEntry) {
        self.log.push(listed);
    }

    /// The list entry of a server as it stands.
    pub fn listed(&self, at: usize) -> ServerEntry {
        let first = self.base[at];
        self.log
            .iter()
            .rev()
            .find(|l| l.server == first.server)
            .copied()
            .unwrap_or(first)
    }

    /// The instances that are to be told of changes: all that watch, while it is not down.
    pub fn watchers(&self) -> impl Iterator<Item = u32> + '_ {
        let all = if self.down {
            &[][..]
        } else {
            &self.watchers[..]
        };
        (0..)
            .zip(all)
            .filter(|(_, watches)| **watches)
            .map(|(at, _)| at)
    }

    /// Whether this instance watches.
    pub fn watches(&self, instance: u32) -> bool {
        self.watchers[instance as usize]
    }

    /// An instance asks to watch: its call waits its turn, and fails if that takes too long or discovery is down.
    pub fn call(&mut self, now: Micros, instance: u32) -> Reply {
        if self.down {
            return Reply {
                at: now,
                news: News::Failed,
            };
        }
        let gap = if self.spec.calls_per_second > 0.0 {
            1e6 / self.spec.calls_per_second
        } else {
            0.0
        };
        let done = self.busy_until.max(now) + gap as Micros;
        let limit = now + self.spec.timeout.micros();
        if done > limit {
            return Reply {
                at: limit,
                news: News::Failed,
            };
        }
        self.busy_until = done;
        let (epoch, version) = self.held[instance as usize];
        let lags = epoch != self.epoch || self.log.len() - version > BACKLOG;
        Reply {
            at: done,
            news: if lags { News::Full } else { News::Changes },
        }
    }

    /// The answer of a call leaves for an instance, which watches from now on; it fails if discovery went down
    /// while it waited.
    pub fn begin_watch(&mut self, instance: u32) -> bool {
        if !self.down {
            self.watchers[instance as usize] = true;
        }
        !self.down
    }

    /// What an instance is to be told, and that it now holds it. For `Full` the whole list, for `Changes` the entries
    /// that changed.
    pub fn news(&mut self, instance: u32, news: News) -> std::borrow::Cow<'_, [ServerEntry]> {
        let held = &mut self.held[instance as usize];
        let (epoch, version) = std::mem::replace(held, (self.epoch, self.log.len()));
        match news {
            News::Failed => {
                *held = (epoch, version);
                (&[]).into()
            }
            News::Changes if epoch == self.epoch => (&self.log[version..]).into(),
            News::Changes | News::Full => self.list(self.log.len()).into(),
        }
    }

    /// What an instance holds from its last life, for its start.
    pub fn saved(&self, instance: u32) -> Vec<ServerEntry> {
        let (epoch, version) = self.held[instance as usize];
        self.list(if epoch == self.epoch {
            version
        } else {
            self.log.len()
        })
    }

    /// An instance has ended; its watch with it.
    pub fn leave(&mut self, instance: u32) {
        self.watchers[instance as usize] = !self.spec.on_request;
    }

    /// It goes down: every watch ends. Gives back who must be told so.
    pub fn go_down(&mut self) -> Vec<u32> {
        self.down = true;
        self.end_watches()
    }

    /// It is up again. Gives back who is to be told at once what it missed: those who need not ask.
    pub fn come_up(&mut self) -> Vec<u32> {
        self.down = false;
        self.watchers().collect()
    }

    /// It is found elsewhere, where versions begin anew: every watch ends.
    pub fn move_on(&mut self) -> Vec<u32> {
        self.epoch += 1;
        self.end_watches()
    }

    fn end_watches(&mut self) -> Vec<u32> {
        if !self.spec.on_request {
            return Vec::new();
        }
        let ended = (0..)
            .zip(&self.watchers)
            .filter(|(_, w)| **w)
            .map(|(at, _)| at)
            .collect();
        self.watchers.fill(false);
        ended
    }

    fn list(&self, version: usize) -> Vec<ServerEntry> {
        let mut list = self.base.clone();
        let at: std::collections::BTreeMap<_, _> =
            list.iter().zip(0..).map(|(l, at)| (l.server, at)).collect();
        for change in &self.log[..version] {
            if let Some(at) = at.get(&change.server) {
                let at: usize = *at;
                list[at] = *change;
            }
        }
        // Who is gone is not on a whole list.
        list.retain(|l| l.state != madderloom_balancer::ServerState::Gone);
        list
    }
}
