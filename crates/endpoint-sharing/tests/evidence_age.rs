//! No list is taken for younger than its evidence. A simulated distributor and instances exchange messages over a network
//! that loses, delays, duplicates and reorders them; clocks drift, and the agent and the instances crash, pause and restart.
//! A list that is held is never older than what discovery had at the time of its evidence, and once the faults end all
//! instances hold the newest list.

use madderloom_endpoint_sharing::{
    DiscoveryCallSchedule, ENOUGH_WATCHERS, EndpointListDistributor, EndpointListReports,
    EndpointListUpdate, EndpointListUpdates, ListVersion, Micros, SharedEndpointLists,
    UpdateOutcome, agent_refresh_age,
};
use oorandom::Rand64;
use std::collections::BTreeMap;

const LIST: &str = "fleet/shop";
const INSTANCES: usize = 12;
const ASK_WITHIN: Micros = 10_000_000;
const MINUTE: Micros = 60_000_000;

/// A clock that runs up to 2% fast or slow, with a zero of its own.
#[derive(Clone, Copy)]
struct Clock {
    zero: Micros,
    rate: f64,
}

impl Clock {
    fn new(rng: &mut Rand64) -> Self {
        Clock {
            zero: rng.rand_range(100_000_000..900_000_000),
            rate: 0.98 + 0.04 * rng.rand_float(),
        }
    }

    /// What this clock shows at a simulated time.
    fn at(self, time: Micros) -> Micros {
        self.zero + (time as f64 * self.rate) as Micros
    }

    /// The simulated time at which this clock showed `shown`, rounded up.
    fn time_of(self, shown: Micros) -> Micros {
        (shown.saturating_sub(self.zero) as f64 / self.rate) as Micros + 2
    }
}

enum Message {
    ToAgent {
        instance: usize,
        incarnation: u64,
        report: EndpointListReports,
    },
    ToInstance {
        instance: usize,
        updates: EndpointListUpdates,
    },
}

struct SimulatedInstance {
    clock: Clock,
    lists: SharedEndpointLists,
    incarnation: u64,
    watches: bool,
    next_report: Micros,
}

struct SimulatedAgent {
    clock: Clock,
    distributor: EndpointListDistributor,
}

#[derive(Clone, Copy, Debug)]
struct ReportCounts {
    sent: u64,
    with_text: u64,
}

struct Simulation {
    rng: Rand64,
    now: Micros,
    /// When discovery reached each of its versions.
    changes: Vec<Micros>,
    agent: SimulatedAgent,
    instances: Vec<SimulatedInstance>,
    /// Messages on their way, by the time of arrival and a random number.
    in_flight: BTreeMap<(Micros, u64), Message>,
    faults: bool,
    report_interval: Micros,
    /// How often discovery confirms its list over each watch.
    confirmation_interval: Micros,
    /// Calls of discovery that the agent requested.
    requested_calls: usize,
    reports: ReportCounts,
}

fn text(index: u64) -> String {
    format!("the list of {index}")
}

impl SimulatedInstance {
    fn start(rng: &mut Rand64, now: Micros) -> Self {
        let mut lists = SharedEndpointLists::default();
        lists.follow([LIST.to_string()]);
        SimulatedInstance {
            clock: Clock::new(rng),
            lists,
            incarnation: rng.rand_u64(),
            watches: false,
            next_report: now,
        }
    }
}

impl SimulatedAgent {
    fn start(rng: &mut Rand64) -> Self {
        SimulatedAgent {
            clock: Clock::new(rng),
            distributor: EndpointListDistributor::new(1, rng.rand_u64()),
        }
    }
}

impl Simulation {
    fn new(seed: u128) -> Self {
        let mut rng = Rand64::new(seed);
        let agent = SimulatedAgent::start(&mut rng);
        let start = |_| SimulatedInstance::start(&mut rng, 0);
        let instances = (0..INSTANCES).map(start).collect();
        Simulation {
            rng,
            now: 0,
            changes: vec![0],
            agent,
            instances,
            in_flight: BTreeMap::new(),
            faults: true,
            report_interval: 300_000,
            confirmation_interval: 100_000,
            requested_calls: 0,
            reports: ReportCounts {
                sent: 0,
                with_text: 0,
            },
        }
    }

    fn send(&mut self, message: impl Fn() -> Message) {
        let copies = match self.rng.rand_range(0..10) {
            0 | 1 if self.faults => 0,
            2 if self.faults => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let slow = self.faults && self.rng.rand_range(0..4) == 0;
            let delay = self
                .rng
                .rand_range(100..if slow { 8_000_000 } else { 30_000 });
            let key = (self.now + delay, self.rng.rand_u64());
            self.in_flight.insert(key, message());
        }
    }

    fn report(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        let report = instance.lists.report(instance.clock.at(self.now));
        self.reports.sent += 1;
        let has_text = report.lists.iter().any(|list| list.text.is_some());
        self.reports.with_text += u64::from(has_text);
        let incarnation = instance.incarnation;
        self.send(|| Message::ToAgent {
            instance: number,
            incarnation,
            report: report.clone(),
        });
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::ToAgent {
                instance,
                incarnation,
                report,
            } => {
                let now = self.agent.clock.at(self.now);
                let name = instance.to_string();
                let distributor = &mut self.agent.distributor;
                let result = distributor.handle_report(now, &name, incarnation, &report);
                self.send(|| Message::ToInstance {
                    instance,
                    updates: result.answer.clone(),
                });
                for push in result.pushes {
                    let instance = push.instance.parse().expect("a number");
                    self.send(|| Message::ToInstance {
                        instance,
                        updates: push.updates.clone(),
                    });
                }
            }
            Message::ToInstance {
                instance: number,
                updates,
            } => {
                let instance = &mut self.instances[number];
                if updates.incarnation != instance.incarnation {
                    return;
                }
                let now = instance.clock.at(self.now);
                let UpdateOutcome {
                    offers,
                    report_now,
                    call_discovery,
                    stop_watching,
                } = instance.lists.agent_updated(now, &updates);
                self.requested_calls += call_discovery.len();
                instance.watches =
                    instance.watches && stop_watching.is_empty() || !call_discovery.is_empty();
                if !instance.watches {
                    instance.lists.watch_ended(LIST);
                }
                for offer in offers {
                    instance.lists.adopt(offer);
                }
                if report_now {
                    self.report(number);
                }
            }
        }
        self.check();
    }

    /// Checks that at the time of the evidence discovery had reached no later version than the one that is held.
    fn check(&self) {
        for (number, instance) in self.instances.iter().enumerate() {
            for held in instance.lists.statuses() {
                let index = held.index;
                let when = instance.clock.time_of(held.evidence_at);
                let behind = self
                    .changes
                    .get(index as usize)
                    .is_some_and(|next| *next + 10 < when);
                assert!(
                    !behind,
                    "{number} holds {index} as of {when}, and {} came at {:?}",
                    index + 1,
                    self.changes.get(index as usize)
                );
            }
        }
        let now = self.agent.clock.at(self.now);
        for list in self.agent.distributor.statuses(now).into_values() {
            let (index, age) = (list.version, list.age_us);
            let when = self.agent.clock.time_of(now - age);
            let behind = self
                .changes
                .get(index as usize)
                .is_some_and(|next| *next + 10 < when);
            assert!(!behind, "the agent holds {index} as of {when}");
        }
    }

    /// Discovery sends its list over each open watch, and confirms it.
    fn send_discovery(&mut self) {
        let index = self.changes.len() as u64;
        for number in 0..INSTANCES {
            let instance = &mut self.instances[number];
            let now = instance.clock.at(self.now);
            if instance.watches {
                instance.lists.discovery_confirmed(now, LIST);
                if instance
                    .lists
                    .discovery_updated(now, LIST, index, text(index))
                {
                    self.report(number);
                }
            }
        }
    }

    fn run(&mut self, until: Micros) {
        while self.now < until {
            self.now += 10_000;
            while let Some(entry) = self
                .in_flight
                .first_entry()
                .filter(|entry| entry.key().0 <= self.now)
            {
                let message = entry.remove();
                self.deliver(message);
            }
            for number in 0..INSTANCES {
                let instance = &mut self.instances[number];
                let now = instance.clock.at(self.now);
                let refresh_age = agent_refresh_age(ASK_WITHIN);
                let needs_refresh = instance.lists.take_agent_refresh(now, LIST, refresh_age);
                if instance.next_report <= self.now || needs_refresh {
                    self.instances[number].next_report = self.now + self.report_interval;
                    self.report(number);
                }
            }
            if self.faults {
                match self.rng.rand_range(0..2_000) {
                    0..=9 => self.changes.push(self.now),
                    10..=14 => {
                        let number = self.rng.rand_range(0..INSTANCES as u64) as usize;
                        self.instances[number] = SimulatedInstance::start(&mut self.rng, self.now);
                    }
                    15 => {
                        self.agent = SimulatedAgent::start(&mut self.rng);
                    }
                    16..=30 => {
                        let number = self.rng.rand_range(0..INSTANCES as u64) as usize;
                        self.instances[number].watches ^= true;
                        self.instances[number].lists.watch_ended(LIST);
                    }
                    31..=32 => {
                        // The instance pauses for a while and then reports immediately.
                        let number = self.rng.rand_range(0..INSTANCES as u64) as usize;
                        self.instances[number].next_report = self.now + 5_000_000;
                    }
                    _ => {}
                }
            }
            if self.now.is_multiple_of(self.confirmation_interval) {
                self.send_discovery();
            }
            self.check();
        }
    }
}

#[test]
fn evidence_is_never_taken_for_younger_whatever_fails() {
    for seed in 0..200 {
        let mut simulation = Simulation::new(seed);
        simulation.run(MINUTE);
        // All instances watch, or none does. Once links and processes are well, some go on watching, or the agent asks one
        // to call, and they are enough for all.
        simulation.faults = false;
        let all = seed % 2 == 0;
        for instance in &mut simulation.instances {
            instance.watches = all;
            instance.lists.watch_ended(LIST);
        }
        simulation.run(MINUTE + 12_000_000);
        let newest = simulation.changes.len() as u64;
        let watching = simulation
            .instances
            .iter()
            .filter(|instance| instance.watches)
            .count();
        let few = if all {
            ENOUGH_WATCHERS..=ENOUGH_WATCHERS
        } else {
            1..=2
        };
        assert!(few.contains(&watching), "seed {seed}: {watching} watch");
        let reports = simulation.reports;
        for instance in &simulation.instances {
            let now = instance.clock.at(simulation.now);
            let held = instance.lists.statuses().next().expect("a list");
            assert_eq!(held.index, newest, "seed {seed}");
            assert!(
                now - held.evidence_at < 1_000_000,
                "seed {seed}: its evidence is {} old",
                now - held.evidence_at
            );
        }
        // The agent requests the text from one instance at a time.
        assert!(
            reports.with_text < reports.sent / 4,
            "seed {seed}: {reports:?}"
        );
    }
}

#[test]
fn a_list_of_a_lower_version_or_with_a_wrong_checksum_is_ignored() {
    let mut lists = SharedEndpointLists::default();
    lists.follow([LIST.to_string()]);
    assert!(lists.discovery_updated(1_000_000, LIST, 7, text(7)));
    let _ = lists.report(1_050_000);
    let update = |index: u64, sent: &str| EndpointListUpdate {
        name: LIST.into(),
        version: ListVersion::of(index, &text(index)),
        text: Some(sent.into()),
        ..Default::default()
    };
    let offers = |lists: &mut SharedEndpointLists, now, index, sent: &str| {
        let updates = EndpointListUpdates {
            answered_sequence: 1,
            lists: vec![update(index, sent)],
            ..EndpointListUpdates::default()
        };
        lists.agent_updated(now, &updates).offers.len()
    };
    assert_eq!(offers(&mut lists, 1_100_000, 6, &text(6)), 0, "lower");
    assert_eq!(offers(&mut lists, 1_100_000, 8, "cut"), 0, "wrong checksum");
    assert_eq!(offers(&mut lists, 1_100_000, 8, &text(8)), 1);
    assert!(
        !lists.accepts_from_discovery(1_100_000, LIST, 6, 5_000_000),
        "discovery lags behind itself"
    );
    assert!(
        lists.accepts_from_discovery(6_100_001, LIST, 6, 5_000_000),
        "discovery has restarted its numbering"
    );
}

/// At the usual intervals, a report each 3 s and a confirmation by discovery each 2 s, no instance has to call by itself,
/// and after the first few calls the agent requests none.
#[test]
fn the_usual_intervals_are_enough_for_all() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed);
        simulation.faults = false;
        simulation.report_interval = 3_000_000;
        simulation.confirmation_interval = 2_000_000;
        for instance in &mut simulation.instances {
            instance.next_report = simulation.rng.rand_range(0..3_000_000);
        }
        simulation.run(20_000_000);
        let calls = simulation.requested_calls;
        let earliest_age = DiscoveryCallSchedule::within(ASK_WITHIN).earliest_age;
        for _ in 0..400 {
            simulation.run(simulation.now + 100_000);
            for (number, instance) in simulation
                .instances
                .iter()
                .enumerate()
                .filter(|(_, instance)| !instance.watches)
            {
                let due = instance.lists.discovery_call_due(LIST, earliest_age);
                let due = due.expect("a list");
                let now = instance.clock.at(simulation.now);
                assert!(
                    due > now,
                    "seed {seed}: {number} has to call, {} late",
                    now - due
                );
            }
        }
        let watching = simulation
            .instances
            .iter()
            .filter(|instance| instance.watches)
            .count();
        assert!(
            simulation.requested_calls == calls && watching <= ENOUGH_WATCHERS,
            "seed {seed}: {} calls, {watching} watch",
            simulation.requested_calls
        );
    }
}
