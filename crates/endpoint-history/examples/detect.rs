//! How soon a departure is found, how soon its end is, and how often one is found where there is none: this crate
//! beside two others' ways, on the same attempts.
//!
//! ```sh
//! cargo run --release -p madderloom-endpoint-history --example detect
//! ```
//!
//! Sixteen servers answer with times that an exponential part above a fixed one makes, and fail once in a thousand times.
//! One of them has a fault of each kind for a while (the less comes, the longer), after a stretch of calm. Each way sees the same attempts.
//!
//! `threshold` is a share of failures over 5% of the last minute's attempts, of at least 10, as alerts are often
//! written. `envoy` is outlier detection by its documentation, with its defaults: five failures in a row, and each ten
//! seconds a success rate 1.9 deviations below the mean where five hosts had 100 requests, for 30 s times the number of
//! ejections. Neither looks at what is slow. Where one ejects, that is told as found; it trusts again when the last
//! ejection ends.

use madderloom_balancer::{Outcome, ServerId};
use madderloom_endpoint_history::{
    AnomalyPhase, CompletedAttempt, EndpointHistory, ListedEndpoint, Settings, Subject,
};
use oorandom::Rand64;
use std::collections::VecDeque;

const S: u64 = 1_000_000;
const SERVERS: u64 = 16;
const BAD: u64 = 3;
const SEEDS: u128 = 5;

/// A way to find departures of single servers.
trait Way {
    fn attempt(&mut self, now: u64, seen: &CompletedAttempt);
    /// Once a second: the servers that are held to be bad now.
    fn bad(&mut self, now: u64) -> Vec<u64>;
}

struct Ours {
    story: EndpointHistory,
    open: Vec<(u64, Vec<u64>)>,
}

impl Way for Ours {
    fn attempt(&mut self, now: u64, seen: &CompletedAttempt) {
        self.story
            .attempt(now, (now / (60 * S) % 1_440) as u16, seen);
    }

    fn bad(&mut self, now: u64) -> Vec<u64> {
        for said in self.story.step(now) {
            let whom = match said.subject {
                Subject::Server(id) => vec![id.0],
                Subject::Zone(_) | Subject::Fleet => (0..SERVERS).collect(),
            };
            match said.phase {
                AnomalyPhase::Raised => self.open.push((said.number, whom)),
                AnomalyPhase::Cleared => self.open.retain(|(number, _)| *number != said.number),
                AnomalyPhase::Updated => {}
            }
        }
        let mut bad: Vec<u64> = self
            .open
            .iter()
            .flat_map(|(_, whom)| whom.clone())
            .collect();
        bad.sort_unstable();
        bad.dedup();
        bad
    }
}

/// A share of failures over the last minute.
struct Threshold {
    seen: Vec<VecDeque<(u64, bool)>>,
}

impl Way for Threshold {
    fn attempt(&mut self, now: u64, seen: &CompletedAttempt) {
        self.seen[seen.server.0 as usize].push_back((now, seen.outcome != Outcome::Ok));
    }

    fn bad(&mut self, now: u64) -> Vec<u64> {
        let mut bad = Vec::new();
        for (id, seen) in (0..).zip(&mut self.seen) {
            while seen.front().is_some_and(|(at, _)| at + 60 * S < now) {
                seen.pop_front();
            }
            let failures = seen.iter().filter(|(_, failed)| *failed).count();
            if seen.len() >= 10 && failures as f64 > 0.05 * seen.len() as f64 {
                bad.push(id);
            }
        }
        bad
    }
}

#[derive(Clone, Copy, Default)]
struct Host {
    in_a_row: u32,
    requests: u32,
    served: u32,
    ejections: u64,
    until: u64,
}

struct Envoy {
    hosts: Vec<Host>,
    interval: u64,
}

impl Envoy {
    fn eject(&mut self, now: u64, id: usize) {
        let out = self.hosts.iter().filter(|host| host.until > now).count();
        // A tenth of all at most, but one always.
        if self.hosts[id].until > now || out >= (self.hosts.len() / 10).max(1) {
            return;
        }
        let host = &mut self.hosts[id];
        host.ejections += 1;
        host.until = now + (30 * S * host.ejections).min(300 * S);
        host.in_a_row = 0;
    }
}

impl Way for Envoy {
    fn attempt(&mut self, now: u64, seen: &CompletedAttempt) {
        let id = seen.server.0 as usize;
        let host = &mut self.hosts[id];
        // An ejected host gets nothing: what this run sends there all the same it does not see.
        if host.until > now {
            return;
        }
        host.requests += 1;
        if seen.outcome == Outcome::Ok {
            host.in_a_row = 0;
            host.served += 1;
        } else {
            host.in_a_row += 1;
        }
        if host.in_a_row >= 5 {
            self.eject(now, id);
        }
    }

    fn bad(&mut self, now: u64) -> Vec<u64> {
        if now >= self.interval {
            self.interval = now + 10 * S;
            let enough = |host: &Host| host.requests >= 100 && host.until <= now;
            let rate = |host: &Host| f64::from(host.served) / f64::from(host.requests);
            let hosts = self.hosts.iter().enumerate();
            let rates: Vec<_> = hosts
                .filter(|(_, h)| enough(h))
                .map(|(id, h)| (id, rate(h)))
                .collect();
            if rates.len() >= 5 {
                let count = rates.len() as f64;
                let mean = rates.iter().map(|(_, rate)| rate).sum::<f64>() / count;
                let variance = rates
                    .iter()
                    .map(|(_, rate)| (rate - mean).powi(2))
                    .sum::<f64>()
                    / count;
                let least = mean - 1.9 * variance.sqrt();
                rates
                    .iter()
                    .filter(|(_, rate)| *rate < least)
                    .for_each(|(id, _)| self.eject(now, *id));
            }
            for host in &mut self.hosts {
                (host.requests, host.served) = (0, 0);
                if host.until <= now {
                    host.ejections = host.ejections.saturating_sub(1);
                }
            }
        }
        (0..)
            .zip(&self.hosts)
            .filter(|(_, host)| host.until > now)
            .map(|(id, _)| id)
            .collect()
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    Calm,
    Loses(f64),
    OneClass,
    Slow(f64),
    Heavy,
    Flaps(u64),
}

const FAULTS: [(&str, Fault); 10] = [
    ("fails all", Fault::Loses(1.0)),
    ("fails 30%", Fault::Loses(0.3)),
    ("fails one in a hundred", Fault::Loses(0.01)),
    ("fails one class of four", Fault::OneClass),
    ("twice as slow", Fault::Slow(2.0)),
    ("four times as slow", Fault::Slow(4.0)),
    ("ten times as slow", Fault::Slow(10.0)),
    ("heavy requests six times as slow", Fault::Heavy),
    ("fails half, on and off every 8 s", Fault::Flaps(8)),
    ("fails half, on and off every 60 s", Fault::Flaps(60)),
];

/// What a way made of some runs.
#[derive(Default)]
struct Made {
    /// Seconds from the fault to its being found, and from its end to the last time that the server was held bad.
    found: Vec<f64>,
    trusted: Vec<f64>,
    /// How often a server was said to be bad that was not, and in how many days.
    false_alarms: f64,
    days: f64,
}

fn play(
    way: &mut dyn Way,
    fault: Fault,
    rate: f64,
    (calm, lasts): (u64, u64),
    seed: u128,
    made: &mut Made,
) {
    let mut random = Rand64::new(seed);
    let is_calm = fault == Fault::Calm;
    let (began, over) = (calm, calm + if is_calm { 0 } else { lasts });
    let end = over + if is_calm { 0 } else { lasts };
    let (mut due, mut second, mut before) = (0.0, S, Vec::new());
    let (mut found, mut last) = (None, None);
    loop {
        // Requests come by chance, not in step.
        due -= 1e6 / rate * random.rand_float().max(1e-12).ln();
        let now = due as u64;
        while second <= now.min(end) {
            let bad = way.bad(second);
            let is_right = |id: &u64| *id == BAD && !is_calm && (began..over).contains(&second);
            made.false_alarms += bad
                .iter()
                .filter(|id| !before.contains(*id) && !is_right(id))
                .count() as f64;
            if bad.contains(&BAD) && !is_calm && second >= began {
                last = Some(second);
                found = found.or(Some(second - began).filter(|_| second < over));
            }
            before = bad;
            second += S;
        }
        if now >= end {
            break;
        }
        let id = random.rand_u64() % SERVERS;
        let class = (random.rand_u64() >> 40) as u32 % 4;
        let size = 0.2 + 2.8 * random.rand_float();
        let on = id == BAD && (began..over).contains(&now);
        let share = match fault {
            Fault::Loses(share) if on => share,
            Fault::OneClass if on && class == 1 => 1.0,
            Fault::Flaps(every) if on && (now / S / every).is_multiple_of(2) => 0.5,
            _ => 0.0,
        };
        let failed = random.rand_float() < f64::max(share, 0.001);
        let slower = match fault {
            Fault::Slow(times) if on => times,
            Fault::Heavy if on && size >= 2.0 => 6.0,
            _ => 1.0,
        };
        let chance: f64 = random.rand_float();
        let elapsed = (size * slower * 50_000.0 * (1.0 - 0.5 * chance.max(1e-9).ln())) as u64;
        let outcome = if failed { Outcome::Error } else { Outcome::Ok };
        way.attempt(
            now,
            &CompletedAttempt {
                server: ServerId(id),
                class,
                outcome,
                elapsed,
                size,
            },
        );
    }
    made.days += calm as f64 / (86_400 * S) as f64;
    if let Some(found) = found {
        made.found.push(found as f64 / 1e6);
        // What is held bad at the end of the run was not trusted again, as far as it tells.
        let trusted = last.map_or(0, |at| (at + S).saturating_sub(over));
        made.trusted
            .extend(Some(trusted as f64 / 1e6).filter(|_| trusted + S < lasts));
    }
}

type Maker = fn() -> Box<dyn Way>;

const WAYS: [(&str, Maker); 3] = [
    ("madderloom", || {
        let mut story = EndpointHistory::new(Settings::default());
        (0..SERVERS).for_each(|id| story.listed(0, ServerId(id), ListedEndpoint::default()));
        Box::new(Ours {
            story,
            open: Vec::new(),
        })
    }),
    ("envoy", || {
        Box::new(Envoy {
            hosts: vec![Host::default(); SERVERS as usize],
            interval: 10 * S,
        })
    }),
    ("threshold", || {
        Box::new(Threshold {
            seen: vec![VecDeque::new(); SERVERS as usize],
        })
    }),
];

/// The median, the least and the most in brackets, and of how many runs where it was not all.
fn told(values: &mut [f64], runs: usize) -> String {
    values.sort_by(f64::total_cmp);
    let Some((least, most)) = values.first().zip(values.last()) else {
        return "never".into();
    };
    let middle = values[values.len() / 2];
    let some = if values.len() < runs {
        format!(" in {} of {runs}", values.len())
    } else {
        String::new()
    };
    if least == most {
        format!("{middle:.0}{some}")
    } else {
        format!("{middle:.0} ({least:.0}-{most:.0}){some}")
    }
}

fn main() {
    // Requests a second at all servers together, the calm before the fault, how long that lasts (and how long is waited
    // for its end), and the calm in which alarms are counted.
    let (hour, day) = (3_600 * S, 86_400 * S);
    let rates = [
        ("1 a minute", 1.0 / 60.0, 7 * day, 2 * day, 60 * day),
        ("1 a second", 1.0, 6 * hour, 2 * hour, 14 * day),
        ("30 a second", 30.0, hour, hour / 6, 2 * day),
        ("1,000 a second", 1_000.0, hour / 6, hour / 6, 4 * hour),
    ];
    println!("| rate | fault | way | found after s | trusted again after s |");
    println!("| --- | --- | --- | --- | --- |");
    for (rate_name, rate, calm, lasts, _) in rates {
        for (fault_name, fault) in FAULTS {
            for (name, way) in WAYS {
                let mut made = Made::default();
                (1..=SEEDS).for_each(|seed| {
                    play(&mut *way(), fault, rate, (calm, lasts), seed, &mut made)
                });
                let count = made.found.len();
                let (found, trusted) = (
                    told(&mut made.found, SEEDS as usize),
                    told(&mut made.trusted, count),
                );
                let trusted = if count == 0 { "-" } else { &trusted };
                println!("| {rate_name} | {fault_name} | {name} | {found} | {trusted} |");
            }
        }
    }
    println!("\n| rate | way | false alarms | in days | a day |\n| --- | --- | --- | --- | --- |");
    for (rate_name, rate, _, _, calm) in rates {
        for (name, way) in WAYS {
            let mut made = Made::default();
            (1..=SEEDS).for_each(|seed| {
                play(
                    &mut *way(),
                    Fault::Calm,
                    rate,
                    (calm, 0),
                    100 + seed,
                    &mut made,
                )
            });
            let Made {
                false_alarms, days, ..
            } = made;
            println!(
                "| {rate_name} | {name} | {false_alarms} | {days:.1} | {:.2} |",
                false_alarms / days
            );
        }
    }
}
