//! A relay and instances over a network that loses, delays, doubles and reorders, with clocks that run apart, and with an
//! agent and instances that die, freeze and come back: whoever holds a list holds no less than discovery had told by the
//! time that it takes for the evidence, and once all is well again all hold the newest.

use madderloom_endpoint_sharing::{
    Heard, Lists, Micros, Relay, Share, Tells, Version, WATCHERS, asks_agent, own_calls,
};
use oorandom::Rand64;
use std::collections::BTreeMap;

const LIST: &str = "fleet/shop";
const INSTANCES: usize = 12;
const ASK_WITHIN: Micros = 10_000_000;
const MINUTE: Micros = 60_000_000;

/// A clock that runs up to 2% fast or slow, from a zero of its own.
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

    fn at(self, time: Micros) -> Micros {
        self.zero + (time as f64 * self.rate) as Micros
    }

    /// What time it was when it said this, rounded up.
    fn when(self, said: Micros) -> Micros {
        (said.saturating_sub(self.zero) as f64 / self.rate) as Micros + 2
    }
}

enum Sent {
    Up(usize, u64, Tells),
    Down(usize, Lists),
}

struct One {
    clock: Clock,
    share: Share,
    start: u64,
    watches: bool,
    next: Micros,
}

struct World {
    rng: Rand64,
    now: Micros,
    /// When discovery came to each of its versions.
    changes: Vec<Micros>,
    agent: (Clock, Relay),
    instances: Vec<One>,
    sent: BTreeMap<(Micros, u64), Sent>,
    faults: bool,
    /// Gaps between reports, and between words of discovery.
    every: Micros,
    beats: Micros,
    /// Calls of discovery that the agent asked for.
    called: usize,
    /// Reports sent, and those with a whole list.
    told: (u64, u64),
}

fn text(index: u64) -> String {
    format!("the list of {index}")
}

impl World {
    fn new(seed: u128) -> Self {
        let mut rng = Rand64::new(seed);
        let agent = (Clock::new(&mut rng), Relay::new(1, rng.rand_u64()));
        let one = |_| World::one(&mut rng, 0);
        let instances = (0..INSTANCES).map(one).collect();
        World {
            rng,
            now: 0,
            changes: vec![0],
            agent,
            instances,
            sent: BTreeMap::new(),
            faults: true,
            every: 300_000,
            beats: 100_000,
            called: 0,
            told: (0, 0),
        }
    }

    fn one(rng: &mut Rand64, now: Micros) -> One {
        let mut share = Share::default();
        share.follow([LIST.to_string()]);
        One {
            clock: Clock::new(rng),
            share,
            start: rng.rand_u64(),
            watches: false,
            next: now,
        }
    }

    fn send(&mut self, message: impl Fn() -> Sent) {
        let copies = match self.rng.rand_range(0..10) {
            0 | 1 if self.faults => 0,
            2 if self.faults => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let slow = self.faults && self.rng.rand_range(0..4) == 0;
            let way = self
                .rng
                .rand_range(100..if slow { 8_000_000 } else { 30_000 });
            let key = (self.now + way, self.rng.rand_u64());
            self.sent.insert(key, message());
        }
    }

    fn report(&mut self, number: usize) {
        let one = &mut self.instances[number];
        let tells = one.share.tell(one.clock.at(self.now));
        self.told.0 += 1;
        self.told.1 += u64::from(tells.of.iter().any(|tell| tell.text.is_some()));
        let start = one.start;
        self.send(|| Sent::Up(number, start, tells.clone()));
    }

    fn deliver(&mut self, message: Sent) {
        match message {
            Sent::Up(number, start, tells) => {
                let now = self.agent.0.at(self.now);
                let name = number.to_string();
                let (own, others, _) = self.agent.1.hear(now, &name, start, &tells);
                self.send(|| Sent::Down(number, own.clone()));
                for (to, lists) in others {
                    let to = to.parse().expect("a number");
                    self.send(|| Sent::Down(to, lists.clone()));
                }
            }
            Sent::Down(number, lists) => {
                let one = &mut self.instances[number];
                if lists.start != one.start {
                    return;
                }
                let Heard {
                    offers,
                    at_once,
                    call,
                    enough,
                } = one.share.hear(one.clock.at(self.now), &lists);
                self.called += call.len();
                one.watches = one.watches && enough.is_empty() || !call.is_empty();
                if !one.watches {
                    one.share.ended(LIST);
                }
                offers.into_iter().for_each(|offer| one.share.taken(offer));
                if at_once {
                    self.report(number);
                }
            }
        }
        self.check();
    }

    /// By the time of the evidence, discovery had come to no later version than the one that is held.
    fn check(&self) {
        for (number, one) in self.instances.iter().enumerate() {
            for (_, index, heard) in one.share.views() {
                let when = one.clock.when(heard);
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
        let now = self.agent.0.at(self.now);
        for (_, list) in self.agent.1.views(now) {
            let (index, age) = (list.version, list.age_us);
            let when = self.agent.0.when(now - age);
            let behind = self
                .changes
                .get(index as usize)
                .is_some_and(|next| *next + 10 < when);
            assert!(!behind, "the agent holds {index} as of {when}");
        }
    }

    /// What discovery says over the watches that are open.
    fn discovery_speaks(&mut self) {
        let index = self.changes.len() as u64;
        for number in 0..INSTANCES {
            let one = &mut self.instances[number];
            let now = one.clock.at(self.now);
            if one.watches {
                one.share.beat(now, LIST);
                if one.share.told(now, LIST, index, text(index)) {
                    self.report(number);
                }
            }
        }
    }

    fn run(&mut self, until: Micros) {
        while self.now < until {
            self.now += 10_000;
            while let Some(entry) = self
                .sent
                .first_entry()
                .filter(|entry| entry.key().0 <= self.now)
            {
                let message = entry.remove();
                self.deliver(message);
            }
            for number in 0..INSTANCES {
                let one = &mut self.instances[number];
                let asks = one
                    .share
                    .asks(one.clock.at(self.now), LIST, asks_agent(ASK_WITHIN));
                if one.next <= self.now || asks {
                    self.instances[number].next = self.now + self.every;
                    self.report(number);
                }
            }
            if self.faults {
                match self.rng.rand_range(0..2_000) {
                    0..=9 => self.changes.push(self.now),
                    10..=14 => {
                        let number = self.rng.rand_range(0..INSTANCES as u64) as usize;
                        self.instances[number] = World::one(&mut self.rng, self.now);
                    }
                    15 => {
                        self.agent = (
                            Clock::new(&mut self.rng),
                            Relay::new(1, self.rng.rand_u64()),
                        )
                    }
                    16..=30 => {
                        let number = self.rng.rand_range(0..INSTANCES as u64) as usize;
                        self.instances[number].watches ^= true;
                        self.instances[number].share.ended(LIST);
                    }
                    31..=32 => {
                        // It stands still for a while, and then reports at once.
                        let number = self.rng.rand_range(0..INSTANCES as u64) as usize;
                        self.instances[number].next = self.now + 5_000_000;
                    }
                    _ => {}
                }
            }
            if self.now.is_multiple_of(self.beats) {
                self.discovery_speaks();
            }
            self.check();
        }
    }
}

#[test]
fn whatever_becomes_of_messages_clocks_and_processes() {
    for seed in 0..200 {
        let mut world = World::new(seed);
        world.run(MINUTE);
        // All watch, or nobody does: once links and processes are well, some of them go on, or one is called upon, and they
        // are enough for all.
        world.faults = false;
        let all = seed % 2 == 0;
        for one in &mut world.instances {
            one.watches = all;
            one.share.ended(LIST);
        }
        world.run(MINUTE + 12_000_000);
        let newest = world.changes.len() as u64;
        let watching = world.instances.iter().filter(|one| one.watches).count();
        let few = if all { WATCHERS..=WATCHERS } else { 1..=2 };
        assert!(few.contains(&watching), "seed {seed}: {watching} watch");
        let told = world.told;
        for one in &world.instances {
            let now = one.clock.at(world.now);
            let (_, index, heard) = one.share.views().next().expect("a list");
            assert_eq!(index, newest, "seed {seed}");
            assert!(
                now - heard < 1_000_000,
                "seed {seed}: its evidence is {} old",
                now - heard
            );
        }
        // Whole lists are asked of one at a time.
        assert!(told.1 < told.0 / 4, "seed {seed}: {told:?}");
    }
}

#[test]
fn a_list_that_is_lower_or_not_what_it_says_is_passed_over() {
    let mut share = Share::default();
    share.follow([LIST.to_string()]);
    assert!(share.told(1_000_000, LIST, 7, text(7)));
    let _ = share.tell(1_050_000);
    let line = |index: u64, said: &str| madderloom_endpoint_sharing::Line {
        list: LIST.into(),
        version: Version::of(index, &text(index)),
        text: Some(said.into()),
        ..Default::default()
    };
    let offers = |share: &mut Share, now, index, said: &str| {
        let lists = Lists {
            answers: 1,
            of: vec![line(index, said)],
            ..Lists::default()
        };
        share.hear(now, &lists).offers.len()
    };
    assert_eq!(offers(&mut share, 1_100_000, 6, &text(6)), 0, "lower");
    assert_eq!(
        offers(&mut share, 1_100_000, 8, "cut"),
        0,
        "not what it says"
    );
    assert_eq!(offers(&mut share, 1_100_000, 8, &text(8)), 1);
    assert!(
        !share.allows(1_100_000, LIST, 6, 5_000_000),
        "discovery lags behind itself"
    );
    assert!(
        share.allows(6_100_001, LIST, 6, 5_000_000),
        "it counts anew"
    );
}

/// At the usual pace, reports each 3 s and a word of discovery each 2 s, nobody has to call for itself, and after the first
/// few the agent asks nobody to.
#[test]
fn the_usual_pace_is_enough_for_all() {
    for seed in 0..20 {
        let mut world = World::new(seed);
        (world.faults, world.every, world.beats) = (false, 3_000_000, 2_000_000);
        for one in &mut world.instances {
            one.next = world.rng.rand_range(0..3_000_000);
        }
        world.run(20_000_000);
        let called = world.called;
        let (after, _) = own_calls(ASK_WITHIN);
        for _ in 0..400 {
            world.run(world.now + 100_000);
            for (number, one) in world
                .instances
                .iter()
                .enumerate()
                .filter(|(_, one)| !one.watches)
            {
                let due = one.share.due(LIST, after).expect("a list");
                let now = one.clock.at(world.now);
                assert!(
                    due > now,
                    "seed {seed}: {number} has to call, {} late",
                    now - due
                );
            }
        }
        let watching = world.instances.iter().filter(|one| one.watches).count();
        assert!(
            world.called == called && watching <= WATCHERS,
            "seed {seed}: {} calls, {watching} watch",
            world.called
        );
    }
}
