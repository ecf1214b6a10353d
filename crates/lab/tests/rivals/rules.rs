//! Random legal event sequences: the rules hold for every policy, and nothing panics.

use crate::rig::*;
use madderloom_balancer::*;
use madderloom_lab::rivals::KNOWN;
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
    streams: bool,
}

impl Open {
    fn run(&self) -> Option<&Sent> {
        self.sends
            .iter()
            .find(|s| !s.outcome.is_some_and(Outcome::proves_not_executed))
    }

    /// The final answer.
    fn end(&mut self) {
        assert!(
            !std::mem::replace(&mut self.over, true),
            "two final answers"
        );
    }
}

struct World {
    rig: Rig,
    random: Rand64,
    site: Settings,
    probed: Vec<ServerId>,
    open: BTreeMap<RequestId, Open>,
    timers: Vec<(Micros, Timer)>,
    servers: BTreeMap<ServerId, ServerState>,
    served: u32,
}

impl World {
    fn chance(&mut self, one_in: u64) -> bool {
        self.random.rand_range(0..one_in) == 0
    }

    fn event(&mut self, event: Event<'_>) {
        let actions = self.rig.event(event);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn takes_work(&self, server: ServerId) -> bool {
        self.servers.get(&server) == Some(&ServerState::Ready)
    }

    fn carry_out(&mut self, action: Action) {
        let now = self.rig.now;
        match action {
            Action::Send {
                request,
                server,
                timeout_at,
                ..
            } => {
                assert!(
                    self.takes_work(server),
                    "sent to a server that drains or is gone"
                );
                let most = self.site.limits.max_attempts as usize;
                let open = self.open.get_mut(&request).expect("known");
                assert!(!open.over && !open.streams, "sent after the request's end");
                assert!(
                    open.sends.iter().all(|s| s.outcome.is_some()),
                    "two attempts out"
                );
                assert!(
                    now < timeout_at && timeout_at <= open.deadline,
                    "out of time"
                );
                if let Some(first) = open.run() {
                    match open.effect {
                        RetrySafety::Idempotent => {}
                        RetrySafety::NonIdempotent => panic!("an unsafe request went out twice"),
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
                assert!(open.sends.len() <= most, "more attempts than allowed");
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                assert_eq!(retry_after.is_some(), self.site.limits.retry_after);
                let open = self.open.get_mut(&request).expect("known");
                open.end();
                assert!(now <= open.deadline);
                assert!(
                    open.effect == RetrySafety::Idempotent || open.run().is_none(),
                    "refused what may have run"
                );
            }
            Action::Fail { request } => {
                let open = self.open.get_mut(&request).expect("known");
                open.end();
                assert!(now <= open.deadline);
            }
            Action::Cancel { request, attempt } => {
                assert!(
                    self.site.limits.cancel,
                    "called off where that is not allowed"
                );
                let open = self.open.get_mut(&request).expect("known");
                let sent = &mut open.sends[attempt as usize];
                assert!(sent.outcome.is_none(), "called off what is over");
                sent.timeout_at = sent.timeout_at.min(now);
            }
            Action::SetTimer { at, timer } => {
                assert!(at >= now);
                self.timers.push((at, timer));
            }
            Action::Probe(server) => {
                assert!(
                    self.site.limits.probes && self.takes_work(server),
                    "probed where it is not allowed"
                );
                self.probed.push(server);
            }
            Action::AwaitResponse { .. } => panic!("no response was said to have begun"),
            Action::PollDiscovery | Action::Log(_) => {}
        }
    }

    fn list(&mut self) {
        let whole = self.chance(2);
        let server = ServerId(self.random.rand_range(0..8));
        let states = [
            ServerState::Ready,
            ServerState::Ready,
            ServerState::Draining,
            ServerState::Gone,
        ];
        let state = states[self.random.rand_range(0..4) as usize];
        self.servers.insert(server, state);
        let started = self.chance(2).then_some(self.rig.now);
        let one = |id: ServerId, state| ServerEntry {
            state,
            started_at: started,
            capacity: 1.0 + id.0 as f64,
            ..listed(id.0)
        };
        let news: Vec<ServerEntry> = if whole {
            let there = self
                .servers
                .iter()
                .filter(|(_, state)| **state != ServerState::Gone);
            there.map(|(id, state)| one(*id, *state)).collect()
        } else {
            vec![one(server, state)]
        };
        self.event(Event::DiscoveryUpdated(if whole {
            DiscoveryUpdate::FullList(&news)
        } else {
            DiscoveryUpdate::ListChanges(&news)
        }));
    }

    fn step(&mut self) {
        self.rig.now += 5 * MS;
        let now = self.rig.now;
        let (due, later) = self.timers.drain(..).partition(|(at, _)| *at <= now);
        self.timers = later;
        for (_, timer) in due {
            self.event(Event::TimerFired(timer));
            if timer == Timer::Discovery && self.chance(2) {
                self.event(Event::DiscoveryUpdated(DiscoveryUpdate::CallFailed {
                    list_known_at: 0,
                    waited: Micros::MAX,
                    connection_broken: false,
                }));
            }
        }
        for server in std::mem::take(&mut self.probed) {
            match self.random.rand_range(0..4) {
                0 => self.probed.push(server),
                1 => self.event(Event::ProbeCompleted(server, None)),
                _ => {
                    let held = self.random.rand_range(0..20) as f64;
                    self.event(Event::ProbeCompleted(
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
            let class = self.random.rand_range(0..self.site.classes.len() as u64) as u32;
            let effect = self.site.classes[class as usize].retry_safety;
            let time_left = (1_200 * MS) >> self.random.rand_range(0..12);
            let deadline = now + time_left.max(self.site.tick);
            let sends = Vec::new();
            self.rig.next += 1;
            let id = self.rig.next;
            self.open.insert(
                id,
                Open {
                    effect,
                    deadline,
                    sends,
                    over: false,
                    streams: false,
                },
            );
            self.event(Event::RequestReceived(NewRequest {
                time_left,
                ..request(id, class)
            }));
        }
        let ids: Vec<RequestId> = self.open.keys().copied().collect();
        for id in ids {
            self.go_on(id);
        }
        for (id, open) in &self.open {
            let late = now > open.deadline + 20 * MS;
            assert!(
                open.over || open.streams || !late,
                "request {id} was never answered"
            );
        }
        self.open
            .retain(|_, o| !(o.over && o.sends.iter().all(|s| s.outcome.is_some())));
        if self.chance(40) {
            self.list();
        }
    }

    fn go_on(&mut self, id: RequestId) {
        let now = self.rig.now;
        if !self.open[&id].over && self.chance(200) {
            self.open.get_mut(&id).expect("known").over = true;
            self.event(Event::ClientDisconnected(id));
        }
        for at in 0..self.open[&id].sends.len() {
            let (over, streams) = (self.open[&id].over, self.open[&id].streams);
            let sent = &self.open[&id].sends[at];
            let (server, sent_at, attempt) = (sent.server, sent.at, at as u32);
            let late = now >= sent.timeout_at && !streams;
            if sent.outcome.is_some() {
                continue;
            }
            if !over && !streams && !late && self.chance(100) {
                self.open.get_mut(&id).expect("known").streams = true;
                self.event(Event::ResponseStreamStarted {
                    request: id,
                    attempt,
                });
            } else if late || self.chance(20) {
                let pick = OUTCOMES[self.random.rand_range(0..OUTCOMES.len() as u64) as usize];
                let outcome = if late { Outcome::Timeout } else { pick };
                let ended = over || streams || outcome == Outcome::Ok;
                let open = self.open.get_mut(&id).expect("known");
                self.served += u32::from(!over && outcome == Outcome::Ok);
                open.over |= ended;
                open.sends[at].outcome = Some(outcome);
                let elapsed = now - sent_at;
                let closed = AttemptResult {
                    request: id,
                    attempt,
                    server,
                    outcome,
                    elapsed,
                    request_ended: ended,
                };
                self.event(Event::AttemptEnded(closed));
            }
        }
    }
}

#[test]
fn the_rules_hold_under_random_events() {
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
    for ((policy, _), seed) in KNOWN
        .iter()
        .flat_map(|known| (0..8).map(move |seed| (known, seed)))
    {
        let mut site = settings(&effects);
        site.limits.cancel = seed % 3 != 0;
        site.limits.probes = seed % 2 == 0;
        site.limits.retry_after = seed % 5 != 0;
        let random = Rand64::new(u128::from(seed));
        let rig = Rig::bare(policy, &[], site.clone(), seed);
        let (probed, open, timers, servers) =
            (Vec::new(), BTreeMap::new(), Vec::new(), BTreeMap::new());
        let mut world = World {
            rig,
            random,
            site,
            probed,
            open,
            timers,
            servers,
            served: 0,
        };
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            for step in 0..600 {
                world.step();
                // At first there is no list at all, or soon one of a few servers.
                if step == 20 * seed {
                    (0..seed % 7).for_each(|_| world.list());
                }
            }
            assert!(world.served > 0, "nothing was served");
        }));
        assert!(result.is_ok(), "{policy} with seed {seed}");
    }
}
