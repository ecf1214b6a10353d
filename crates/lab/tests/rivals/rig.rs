//! Settings, fleets and a driver of one policy.

use madderloom_balancer::*;
use madderloom_lab::policy::{Policy, ServerTruth, Truth};
use madderloom_lab::rivals::chassis::{Fleet, Member};
use madderloom_lab::rivals::make;
use std::collections::BTreeMap;
use std::rc::Rc;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

pub fn class(effect: RetrySafety) -> Class {
    Class {
        latency_objective: 400 * MS,
        latency_objective_stretch: 0.0,
        deadline: 1_200 * MS,
        retry_safety: effect,
        priority_weight: 1.0,
        late_weight_share: 0.0,
    }
}

pub fn settings(effects: &[RetrySafety]) -> Settings {
    Settings {
        group_size: 4,
        zone: 0,
        tick: 5 * MS,
        classes: effects.iter().map(|e| class(*e)).collect(),
        tenants: Vec::new(),
        discovery_on_request: true,
        limits: Limits {
            cancel: true,
            probes: true,
            retry_after: true,
            max_retry_after: 2 * S,
            max_attempts: 4,
        },
        rules: SafetyRules {
            slow_start_min_share: 0.2,
            slow_start_window: 10 * S,
            overload_window: S,
            max_poll_interval: 10 * S,
            drain_grace: 3 * S,
        },
        prices: Prices {
            cross_zone: 0.02,
            probe: 0.01,
        },
        weight_per_work: false,
    }
}

pub fn listed(server: u64) -> ServerEntry {
    let zone = (server % 2) as u32;
    let state = ServerState::Ready;
    ServerEntry {
        server: ServerId(server),
        zone,
        cell: zone,
        kind: 0,
        started_at: None,
        capacity: 1.0,
        state,
    }
}

/// A fleet with so many requests out at each of its servers.
pub fn loaded(out: &[u32]) -> Fleet {
    weighted(&out.iter().map(|out| (1.0, *out)).collect::<Vec<_>>())
}

/// The same with listed capacities.
pub fn weighted(servers: &[(f64, u32)]) -> Fleet {
    let member = |(at, (capacity, out)): (usize, &(f64, u32))| Member {
        listed: ServerEntry {
            capacity: *capacity,
            ..listed(at as u64)
        },
        out: *out,
    };
    servers.iter().enumerate().map(member).collect()
}

/// Servers that are all alike, but for those said otherwise.
#[derive(Default)]
pub struct Known(pub BTreeMap<ServerId, Option<ServerTruth>>);

pub const IDLE: ServerTruth = ServerTruth {
    backlog: 0.0,
    speed: 1.0,
    free_cores: 1,
    failing: 0.0,
    takes_work: true,
};

impl Truth for Known {
    fn server(&self, server: ServerId) -> Option<ServerTruth> {
        self.0.get(&server).copied().unwrap_or(Some(IDLE))
    }
}

pub fn request(id: RequestId, class: u32) -> NewRequest {
    NewRequest {
        id,
        class,
        tenant: 0,
        key: None,
        time_left: 1_200 * MS,
        cost_hint: None,
        client_retry: false,
    }
}

pub fn figures(with: &[(&str, f64)]) -> BTreeMap<String, f64> {
    with.iter()
        .map(|(name, value)| (name.to_string(), *value))
        .collect()
}

/// One policy and the time that it is told.
pub struct Rig {
    pub policy: Box<dyn Policy>,
    pub now: Micros,
    pub next: RequestId,
}

impl Rig {
    /// A policy that knows no list yet.
    pub fn bare(policy: &str, with: &[(&str, f64)], settings: Settings, seed: u64) -> Self {
        let truth: Rc<dyn Truth> = Rc::new(Known::default());
        let policy =
            make(policy, &figures(with), settings, seed, Some(truth)).expect("a sound arm");
        Rig {
            policy,
            now: 1_000 * S,
            next: 0,
        }
    }

    /// One that knows so many servers.
    pub fn new(policy: &str, with: &[(&str, f64)], settings: Settings, servers: u64) -> Self {
        let mut rig = Rig::bare(policy, with, settings, 7);
        rig.list(&(0..servers).map(listed).collect::<Vec<_>>());
        rig
    }

    pub fn list(&mut self, servers: &[ServerEntry]) -> Vec<Action> {
        self.event(Event::DiscoveryUpdated(DiscoveryUpdate::FullList(servers)))
    }

    pub fn event(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        actions
    }

    pub fn request(&mut self, class: u32) -> (RequestId, Vec<Action>) {
        self.next += 1;
        (
            self.next,
            self.event(Event::RequestReceived(request(self.next, class))),
        )
    }

    pub fn close(
        &mut self,
        id: RequestId,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
    ) -> Vec<Action> {
        let ended = outcome == Outcome::Ok;
        self.event(Event::AttemptEnded(AttemptResult {
            request: id,
            attempt,
            server,
            outcome,
            elapsed: MS,
            request_ended: ended,
        }))
    }

    /// The time goes on to the timer that was set for a request, and it comes due.
    pub fn wait(&mut self, id: RequestId, actions: &[Action]) -> Vec<Action> {
        let timers = actions.iter().filter_map(|a| match a {
            Action::SetTimer { at, timer } if *timer == Timer::Request(id) => Some(*at),
            _ => None,
        });
        self.now = self.now.max(timers.min().expect("a timer was set"));
        self.event(Event::TimerFired(Timer::Request(id)))
    }
}

pub fn sent(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| {
        if let Action::Send { server, .. } = a {
            Some(*server)
        } else {
            None
        }
    })
}

pub fn asked(actions: &[Action]) -> Vec<ServerId> {
    actions
        .iter()
        .filter_map(|a| {
            if let Action::Probe(server) = a {
                Some(*server)
            } else {
                None
            }
        })
        .collect()
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

/// Pearson's statistic of counts against expected ones.
pub fn chi_square(counts: &[f64], expected: &[f64]) -> f64 {
    counts
        .iter()
        .zip(expected)
        .map(|(c, e)| (c - e).powi(2) / e)
        .sum()
}
