//! Random valid sequences of events under different settings: the safety rules hold and nothing panics.

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

struct SentAttempt {
    server: ServerId,
    at: Micros,
    timeout_at: Micros,
    outcome: Option<Outcome>,
}

struct TrackedRequest {
    retry_safety: RetrySafety,
    deadline: Micros,
    attempts: Vec<SentAttempt>,
    ended: bool,
}

impl TrackedRequest {
    /// The first attempt that may have been executed, if any.
    fn first_possibly_executed(&self) -> Option<&SentAttempt> {
        self.attempts
            .iter()
            .find(|s| !s.outcome.is_some_and(Outcome::proves_not_executed))
    }
}

struct Simulation {
    rig: Rig,
    random: Rand64,
    probes: bool,
    unanswered_probes: Vec<ServerId>,
    requests: BTreeMap<RequestId, TrackedRequest>,
    timers: Vec<(Micros, Timer)>,
    is_ready: BTreeMap<ServerId, bool>,
    served: u32,
    effects: DegradationEffects,
    level_change_period: u32,
}

impl Simulation {
    fn apply_actions(&mut self, actions: Vec<Action>) {
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
                        self.is_ready[&server],
                        "sent to a server that drains or has left"
                    );
                    let tracked = self.requests.get_mut(&request).expect("known");
                    assert!(!tracked.ended, "sent after the request had ended");
                    assert!(
                        tracked.attempts.iter().all(|s| s.outcome.is_some()),
                        "two attempts in flight"
                    );
                    if let Some(first) = tracked.first_possibly_executed() {
                        assert!(
                            self.effects.retry_budget_factor > 0.0,
                            "a retry without a retry budget"
                        );
                        match tracked.retry_safety {
                            RetrySafety::Idempotent => {}
                            RetrySafety::NonIdempotent => {
                                panic!("a non-idempotent request was sent twice")
                            }
                            RetrySafety::IdempotentWithKey { scope, window } => {
                                assert!(
                                    now < first.at + window,
                                    "sent after the idempotency window"
                                );
                                let same_zone = first.server.0 % 2 == server.0 % 2;
                                assert!(
                                    scope == DeduplicationScope::All || same_zone,
                                    "sent outside of its deduplication scope"
                                );
                            }
                        }
                    }
                    tracked.attempts.push(SentAttempt {
                        server,
                        at: now,
                        timeout_at,
                        outcome: None,
                    });
                    assert!(tracked.attempts.len() <= 4);
                }
                Action::Reject { request, .. } => {
                    let tracked = self.requests.get_mut(&request).expect("known");
                    assert!(
                        !std::mem::replace(&mut tracked.ended, true),
                        "two final responses"
                    );
                    assert!(now <= tracked.deadline);
                    let is_idempotent = tracked.retry_safety == RetrySafety::Idempotent;
                    assert!(
                        is_idempotent || tracked.first_possibly_executed().is_none(),
                        "rejected a request that may have been executed"
                    );
                }
                Action::Fail { request } => {
                    let tracked = self.requests.get_mut(&request).expect("known");
                    assert!(
                        !std::mem::replace(&mut tracked.ended, true),
                        "two final responses"
                    );
                    assert!(now <= tracked.deadline + 20 * MS);
                }
                Action::Cancel { request, attempt } => {
                    let sent = &mut self.requests.get_mut(&request).expect("known").attempts
                        [attempt as usize];
                    sent.timeout_at = sent.timeout_at.min(now);
                }
                Action::SetTimer { at, timer } => self.timers.push((at, timer)),
                Action::Probe(server) => {
                    assert!(
                        self.probes && self.effects.allows_probes && self.is_ready[&server],
                        "probed although probes are not allowed"
                    );
                    self.unanswered_probes.push(server);
                }
                _ => {}
            }
        }
    }

    fn step(&mut self, retry_safeties: &[RetrySafety]) {
        self.rig.now += 5 * MS;
        let now = self.rig.now;
        let (due_timers, later_timers) = self.timers.drain(..).partition(|(at, _)| *at <= now);
        self.timers = later_timers;
        for (_, timer) in due_timers {
            let actions = self.rig.event(Event::TimerFired(timer));
            self.apply_actions(actions);
        }
        // Some probes are answered immediately, some late, and some fail.
        for server in std::mem::take(&mut self.unanswered_probes) {
            match self.random.rand_range(0..4) {
                0 => self.unanswered_probes.push(server),
                1 => drop(self.rig.event(Event::ProbeCompleted(server, None))),
                _ => {
                    let in_flight = self.random.rand_range(0..20) as f64;
                    self.rig.event(Event::ProbeCompleted(
                        server,
                        Some(LoadReport {
                            in_flight,
                            errors_per_second: 0.0,
                        }),
                    ));
                }
            }
        }
        for _ in 0..self.random.rand_range(0..4) {
            let class = self.random.rand_range(0..retry_safeties.len() as u64) as u32;
            let deadline = now + 1_200 * MS;
            let tracked = TrackedRequest {
                retry_safety: retry_safeties[class as usize],
                deadline,
                attempts: Vec::new(),
                ended: false,
            };
            // The test rig numbers the requests in order of arrival.
            self.requests
                .insert(self.requests.len() as u64 + 1, tracked);
            let (id, actions) = self.rig.request(class);
            if self.effects.rejected_shares.get(class as usize) == Some(&1.0)
                && self.effects.exempt_weight > 1.0
            {
                assert_eq!(
                    actions,
                    [Action::Reject {
                        request: id,
                        retry_after: Some(2 * S)
                    }]
                );
            }
            self.apply_actions(actions);
        }
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            for at in 0..self.requests[&id].attempts.len() {
                let tracked = &self.requests[&id];
                let sent = &tracked.attempts[at];
                let late = now >= sent.timeout_at;
                if sent.outcome.is_some() || !(late || self.random.rand_range(0..20) == 0) {
                    continue;
                }
                let random_outcome =
                    OUTCOMES[self.random.rand_range(0..OUTCOMES.len() as u64) as usize];
                let outcome = if late {
                    Outcome::Timeout
                } else {
                    random_outcome
                };
                let (server, elapsed) = (sent.server, now - sent.at);
                let request_ended = tracked.ended || outcome == Outcome::Ok;
                let tracked = self.requests.get_mut(&id).expect("known");
                self.served += u32::from(!tracked.ended && outcome == Outcome::Ok);
                tracked.ended |= request_ended;
                tracked.attempts[at].outcome = Some(outcome);
                let attempt = at as u32;
                let result = AttemptResult {
                    request: id,
                    attempt,
                    server,
                    outcome,
                    elapsed,
                    request_ended,
                };
                let actions = self.rig.event(Event::AttemptEnded(result));
                self.apply_actions(actions);
            }
        }
        for (id, tracked) in &self.requests {
            assert!(
                tracked.ended || now <= tracked.deadline + 20 * MS,
                "request {id} got no final response"
            );
        }
        if self.level_change_period > 0
            && self.random.rand_range(0..self.level_change_period.into()) == 0
        {
            let random_share = |random: &mut Rand64| {
                [0.0, random.rand_float(), 1.0][random.rand_range(0..3) as usize]
            };
            let rejected_shares = (0..self.random.rand_range(0..7))
                .map(|_| random_share(&mut self.random))
                .collect();
            self.effects = DegradationEffects {
                rejected_shares,
                exempt_weight: [0.0, 1.0, f64::INFINITY][self.random.rand_range(0..3) as usize],
                allows_probes: self.random.rand_range(0..2) == 0,
                retry_budget_factor: random_share(&mut self.random),
                timeout_factor: random_share(&mut self.random),
            };
            let actions = self.rig.event(Event::DegradationChanged(&self.effects));
            assert_eq!(
                actions,
                [],
                "a change of the degradation level causes no actions"
            );
        }
        if self.random.rand_range(0..40) == 0 {
            let server = self.random.rand_range(0..8);
            let state_index = self.random.rand_range(0..3);
            let state = [ServerState::Ready, ServerState::Draining, ServerState::Gone]
                [state_index as usize];
            let started_at = (self.random.rand_range(0..2) == 0).then_some(now);
            self.is_ready
                .insert(ServerId(server), state == ServerState::Ready);
            let change = ServerEntry {
                state,
                started_at,
                ..listed(server)
            };
            let actions = self
                .rig
                .event(Event::DiscoveryUpdated(DiscoveryUpdate::ListChanges(&[
                    change,
                ])));
            self.apply_actions(actions);
        }
    }
}

#[test]
fn the_safety_rules_hold_under_random_events() {
    check_rules(0);
}

#[test]
fn the_safety_rules_hold_while_the_degradation_level_changes() {
    check_rules(10);
}

/// Changes the degradation level every `level_change_period` steps on average; never if that is 0.
fn check_rules(level_change_period: u32) {
    let keyed = |scope| RetrySafety::IdempotentWithKey {
        scope,
        window: 300 * MS,
    };
    let retry_safeties = [
        RetrySafety::Idempotent,
        RetrySafety::NonIdempotent,
        keyed(DeduplicationScope::All),
        keyed(DeduplicationScope::Zone),
        keyed(DeduplicationScope::Cell),
    ];
    let mut served = 0;
    for seed in 0..24 {
        let mut settings = settings(&retry_safeties);
        settings.limits.cancel = seed % 3 != 0;
        let probes = seed % 2 == 0;
        (settings.limits.probes, settings.group_size) = (probes, 40);
        if seed % 5 == 0 {
            settings.classes[1].latency_objective = 100 * MS;
        }
        let servers = fleet(seed % 7);
        let rig = Rig::new(settings, &servers);
        let mut is_ready: BTreeMap<ServerId, bool> = (0..8).map(|s| (ServerId(s), false)).collect();
        is_ready.extend(servers.iter().map(|s| (s.server, true)));
        let random = Rand64::new(u128::from(seed));
        let (unanswered_probes, requests, timers) = (Vec::new(), BTreeMap::new(), Vec::new());
        let effects = DegradationEffects::default();
        let mut simulation = Simulation {
            rig,
            random,
            probes,
            unanswered_probes,
            requests,
            timers,
            is_ready,
            served: 0,
            effects,
            level_change_period,
        };
        let first = std::mem::take(&mut simulation.rig.actions);
        simulation.apply_actions(first);
        for _ in 0..600 {
            simulation.step(&retry_safeties);
        }
        // A degradation level may shed all requests, or reduce all timeouts to 0, for a long time.
        assert!(
            simulation.served > 0 || level_change_period > 0,
            "seed {seed}: nothing was served"
        );
        served += simulation.served;
    }
    assert!(served > 100, "only {served} requests were served");
}
