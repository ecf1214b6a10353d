//! Random legal event sequences over varied settings: the rules hold and nothing panics.

mod common;
use common::*;
use madderloom_balancer::*;
use oorandom::Rand64;
use std::collections::BTreeMap;

const OUTCOMES: [Outcome; 7] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Full,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
];

struct Sent {
    server: ServerId,
    at: Micros,
    timeout_at: Micros,
    outcome: Option<Outcome>,
}

struct Open {
    effect: RetrySafety,
    deadline: Micros,
    sends: Vec<Sent>,
    over: bool,
}

impl Open {
    /// The first attempt that may have run, if there is one.
    fn run(&self) -> Option<&Sent> {
        self.sends
            .iter()
            .find(|s| !s.outcome.is_some_and(Outcome::proves_not_executed))
    }
}

struct World {
    rig: Rig,
    random: Rand64,
    probes: bool,
    probed: Vec<ServerId>,
    open: BTreeMap<RequestId, Open>,
    timers: Vec<(Micros, Timer)>,
    ready: BTreeMap<ServerId, bool>,
    served: u32,
    reduced: DegradationEffects,
    levels: u32,
}

impl World {
    fn carry_out(&mut self, actions: Vec<Action>) {
        let now = self.rig.now;
        for action in actions {
            match action {
                Action::Send {
                    request,
                    server,
                    timeout_at,
                    ..
                } => {
                    assert!(
                        self.ready[&server],
                        "sent to a server that drains or is gone"
                    );
                    let open = self.open.get_mut(&request).expect("known");
                    assert!(!open.over, "sent after the request's end");
                    assert!(
                        open.sends.iter().all(|s| s.outcome.is_some()),
                        "two attempts out"
                    );
                    if let Some(first) = open.run() {
                        assert!(
                            self.reduced.retry_budget_factor > 0.0,
                            "a retry where none is left"
                        );
                        match open.effect {
                            RetrySafety::Idempotent => {}
                            RetrySafety::NonIdempotent => {
                                panic!("an unsafe request went out twice")
                            }
                            RetrySafety::IdempotentWithKey { scope, window } => {
                                assert!(now < first.at + window, "the window was past");
                                let same = first.server.0 % 2 == server.0 % 2;
                                assert!(scope == DeduplicationScope::All || same, "left its group");
                            }
                        }
                    }
                    open.sends.push(Sent {
                        server,
                        at: now,
                        timeout_at,
                        outcome: None,
                    });
                    assert!(open.sends.len() <= 4);
                }
                Action::Reject { request, .. } => {
                    let open = self.open.get_mut(&request).expect("known");
                    assert!(
                        !std::mem::replace(&mut open.over, true),
                        "two final answers"
                    );
                    assert!(now <= open.deadline);
                    let safe = open.effect == RetrySafety::Idempotent;
                    assert!(safe || open.run().is_none(), "refused what may have run");
                }
                Action::Fail { request } => {
                    let open = self.open.get_mut(&request).expect("known");
                    assert!(
                        !std::mem::replace(&mut open.over, true),
                        "two final answers"
                    );
                    assert!(now <= open.deadline + 20 * MS);
                }
                Action::Cancel { request, attempt } => {
                    let sent =
                        &mut self.open.get_mut(&request).expect("known").sends[attempt as usize];
                    sent.timeout_at = sent.timeout_at.min(now);
                }
                Action::SetTimer { at, timer } => self.timers.push((at, timer)),
                Action::Probe(server) => {
                    assert!(
                        self.probes && self.reduced.allows_probes && self.ready[&server],
                        "probed where that is not allowed"
                    );
                    self.probed.push(server);
                }
                _ => {}
            }
        }
    }

    fn step(&mut self, effects: &[RetrySafety]) {
        self.rig.now += 5 * MS;
        let now = self.rig.now;
        let (due, later) = self.timers.drain(..).partition(|(at, _)| *at <= now);
        self.timers = later;
        for (_, timer) in due {
            let actions = self.rig.event(Event::TimerFired(timer));
            self.carry_out(actions);
        }
        // Some probes are answered at once, some late, some not at all.
        for server in std::mem::take(&mut self.probed) {
            match self.random.rand_range(0..4) {
                0 => self.probed.push(server),
                1 => drop(self.rig.event(Event::ProbeCompleted(server, None))),
                _ => {
                    let held = self.random.rand_range(0..20) as f64;
                    self.rig.event(Event::ProbeCompleted(
                        server,
                        Some(LoadReport {
                            in_flight: held,
                            errors_per_second: 0.0,
                        }),
                    ));
                }
            }
        }
        for _ in 0..self.random.rand_range(0..4) {
            let class = self.random.rand_range(0..effects.len() as u64) as u32;
            let deadline = now + 1_200 * MS;
            let open = Open {
                effect: effects[class as usize],
                deadline,
                sends: Vec::new(),
                over: false,
            };
            // The driver numbers requests in the order they come.
            self.open.insert(self.open.len() as u64 + 1, open);
            let (id, actions) = self.rig.request(class);
            if self.reduced.rejected_shares.get(class as usize) == Some(&1.0)
                && self.reduced.exempt_weight > 1.0
            {
                assert_eq!(
                    actions,
                    [Action::Reject {
                        request: id,
                        retry_after: Some(2 * S)
                    }]
                );
            }
            self.carry_out(actions);
        }
        let ids: Vec<RequestId> = self.open.keys().copied().collect();
        for id in ids {
            for at in 0..self.open[&id].sends.len() {
                let open = &self.open[&id];
                let sent = &open.sends[at];
                let late = now >= sent.timeout_at;
                if sent.outcome.is_some() || !(late || self.random.rand_range(0..20) == 0) {
                    continue;
                }
                let pick = OUTCOMES[self.random.rand_range(0..OUTCOMES.len() as u64) as usize];
                let outcome = if late { Outcome::Timeout } else { pick };
                let (server, elapsed) = (sent.server, now - sent.at);
                let ended = open.over || outcome == Outcome::Ok;
                let open = self.open.get_mut(&id).expect("known");
                self.served += u32::from(!open.over && outcome == Outcome::Ok);
                open.over |= ended;
                open.sends[at].outcome = Some(outcome);
                let attempt = at as u32;
                let closed = AttemptResult {
                    request: id,
                    attempt,
                    server,
                    outcome,
                    elapsed,
                    request_ended: ended,
                };
                let actions = self.rig.event(Event::AttemptEnded(closed));
                self.carry_out(actions);
            }
        }
        for (id, open) in &self.open {
            assert!(
                open.over || now <= open.deadline + 20 * MS,
                "request {id} was never answered"
            );
        }
        if self.levels > 0 && self.random.rand_range(0..self.levels.into()) == 0 {
            let share = |random: &mut Rand64| {
                [0.0, random.rand_float(), 1.0][random.rand_range(0..3) as usize]
            };
            let away = (0..self.random.rand_range(0..7))
                .map(|_| share(&mut self.random))
                .collect();
            self.reduced = DegradationEffects {
                rejected_shares: away,
                exempt_weight: [0.0, 1.0, f64::INFINITY][self.random.rand_range(0..3) as usize],
                allows_probes: self.random.rand_range(0..2) == 0,
                retry_budget_factor: share(&mut self.random),
                timeout_factor: share(&mut self.random),
            };
            let actions = self.rig.event(Event::DegradationChanged(&self.reduced));
            assert_eq!(actions, [], "a level does nothing to what is open");
        }
        if self.random.rand_range(0..40) == 0 {
            let server = self.random.rand_range(0..8);
            let kind = self.random.rand_range(0..3);
            let state =
                [ServerState::Ready, ServerState::Draining, ServerState::Gone][kind as usize];
            let started = (self.random.rand_range(0..2) == 0).then_some(now);
            self.ready
                .insert(ServerId(server), state == ServerState::Ready);
            let change = ServerEntry {
                state,
                started_at: started,
                ..listed(server)
            };
            let actions = self
                .rig
                .event(Event::DiscoveryUpdated(DiscoveryUpdate::ListChanges(&[
                    change,
                ])));
            self.carry_out(actions);
        }
    }
}

#[test]
fn the_rules_hold_under_random_events() {
    the_rules_hold(0);
}

#[test]
fn the_rules_hold_while_levels_come_and_go() {
    the_rules_hold(10);
}

/// With a change of level every so many steps; 0 for none.
fn the_rules_hold(levels: u32) {
    let keyed = |scope| RetrySafety::IdempotentWithKey {
        scope,
        window: 300 * MS,
    };
    let effects = [
        RetrySafety::Idempotent,
        RetrySafety::NonIdempotent,
        keyed(DeduplicationScope::All),
        keyed(DeduplicationScope::Zone),
        keyed(DeduplicationScope::Cell),
    ];
    let mut served = 0;
    for seed in 0..24 {
        let mut set = settings(&effects);
        set.limits.cancel = seed % 3 != 0;
        let probes = seed % 2 == 0;
        (set.limits.probes, set.group_size) = (probes, 40);
        if seed % 5 == 0 {
            set.classes[1].latency_objective = 100 * MS;
        }
        let servers = fleet(seed % 7);
        let rig = Rig::new(set, &servers);
        let mut ready: BTreeMap<ServerId, bool> = (0..8).map(|s| (ServerId(s), false)).collect();
        ready.extend(servers.iter().map(|s| (s.server, true)));
        let random = Rand64::new(u128::from(seed));
        let (probed, open, timers) = (Vec::new(), BTreeMap::new(), Vec::new());
        let reduced = DegradationEffects::default();
        let mut world = World {
            rig,
            random,
            probes,
            probed,
            open,
            timers,
            ready,
            served: 0,
            reduced,
            levels,
        };
        let first = std::mem::take(&mut world.rig.actions);
        world.carry_out(first);
        for _ in 0..600 {
            world.step(&effects);
        }
        // A level may turn away all, or wait for nothing, for a long while.
        assert!(
            world.served > 0 || levels > 0,
            "seed {seed}: nothing was served"
        );
        served += world.served;
    }
    assert!(served > 100, "{served} were served");
}
