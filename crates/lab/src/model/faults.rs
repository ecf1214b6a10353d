//! The time line of a run's faults: what befalls whom when, drawn once for all arms and drivers.

use crate::experiment::{Experiment, Fault, FaultKind};
use crate::model::server::{Scope, Trouble};
use crate::seeds::{Concern, stream};
use crate::world::World;
use madderloom_balancer::Micros;
use rand::RngExt;

/// Something that changes at a time. Servers and instances are named by their places in the [`World`]; `number` is
/// that under which a trouble began.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// A server has a trouble from now on.
    Begin {
        /// Which.
        server: u32,
        /// Under which number.
        number: u32,
        /// What.
        trouble: Trouble,
        /// Whom it befalls.
        scope: Scope,
    },
    /// It has it no more.
    End {
        /// Which.
        server: u32,
        /// Under which number it began.
        number: u32,
    },
    /// A server's process dies, or with `silent` its machine vanishes without a word.
    Stop {
        /// Which.
        server: u32,
        /// Without a word.
        silent: bool,
    },
    /// A server starts, cold.
    Start {
        /// Which.
        server: u32,
    },
    /// A server drains; with `then_stop` it is stopped as soon as it is done and the drain grace has passed.
    Drain {
        /// Which.
        server: u32,
        /// It will be stopped.
        then_stop: bool,
    },
    /// A server takes new work again.
    Undrain {
        /// Which.
        server: u32,
    },
    /// Nothing, or of answers nothing, gets through between this zone and the others.
    Cut {
        /// Under which number.
        number: u32,
        /// Which zone.
        zone: u32,
        /// Answers alone are lost.
        answers_alone: bool,
    },
    /// A share of the connections to a server breaks under a request.
    Resets {
        /// Under which number.
        number: u32,
        /// Which server.
        server: u32,
        /// The share.
        share: f64,
    },
    /// The network is well again.
    Mend {
        /// Under which number it was not.
        number: u32,
    },
    /// Discovery goes down, or comes up.
    Discovery {
        /// Whether it is up from now on.
        up: bool,
    },
    /// Discovery is found at another address.
    DiscoveryMoves,
    /// An instance is killed.
    Kill {
        /// Which.
        instance: u32,
    },
    /// An instance starts again.
    Revive {
        /// Which.
        instance: u32,
    },
}

/// How long a restarted instance is away where its fault does not say.
const AWAY: Micros = 1_000_000;

/// All changes of a run, in the order of their times; what is at one time in the order of the file.
pub fn time_line(experiment: &Experiment, world: &World, seed: u64) -> Vec<(Micros, Change)> {
    let mut line = Vec::new();
    for (number, fault) in (0..).zip(&experiment.faults) {
        add(experiment, world, seed, number, fault, &mut line);
    }
    line.sort_by_key(|(at, _)| *at);
    line
}

/// When the first fault begins and when the last one has ended, one that is for good at its beginning; none where
/// nothing breaks.
pub fn bounds(experiment: &Experiment) -> Option<(Micros, Micros)> {
    let first = experiment.faults.iter().map(|f| f.at.micros()).min()?;
    let world = World::of(experiment, 0);
    let ends = experiment.faults.iter().map(|fault| {
        // A rolling restart is over when its last server is back.
        let turns = match fault.kind {
            FaultKind::RollingRestart => befallen(experiment, &world, 0, 0, fault)
                .len()
                .saturating_sub(1) as u64,
            _ => 0,
        };
        fault.at.micros() + turns * fault.every.micros() + fault.lasts.micros()
    });
    Some((first, ends.max()?))
}

/// Picks `share` of the candidates, by the seed.
fn pick(all: Vec<u32>, share: f64, seed: u64, number: u32) -> Vec<u32> {
    let mut random = stream(seed, Concern::Faults, u64::from(number));
    let wanted = (share.clamp(0.0, 1.0) * all.len() as f64).round() as usize;
    let mut all = all;
    for at in 0..wanted.min(all.len()) {
        let other = random.random_range(at..all.len());
        all.swap(at, other);
    }
    all.truncate(wanted);
    all.sort_unstable();
    all
}

/// The servers that a fault befalls: those it names, or a share of all; where it names some and a share too, that
/// share of them.
fn befallen(
    experiment: &Experiment,
    world: &World,
    seed: u64,
    number: u32,
    fault: &Fault,
) -> Vec<u32> {
    let named = !fault.servers.is_empty();
    let all = if named {
        world.named(experiment, &fault.servers)
    } else {
        (0..world.servers.len() as u32).collect()
    };
    let share = if named && fault.share == 0.0 {
        1.0
    } else {
        fault.share
    };
    pick(all, share, seed, number)
}

fn add(
    experiment: &Experiment,
    world: &World,
    seed: u64,
    number: u32,
    fault: &Fault,
    line: &mut Vec<(Micros, Change)>,
) {
    let at = fault.at.micros();
    let end = (fault.lasts.micros() > 0).then(|| at + fault.lasts.micros());
    let zone = |name: &str| {
        experiment
            .network
            .zones
            .iter()
            .position(|z| z == name)
            .map(|z| z as u32)
    };
    let class = fault
        .class
        .as_ref()
        .and_then(|name| experiment.classes.iter().position(|c| c.name == *name));
    let scope = Scope {
        class: class.map(|c| c as u32),
        zone: fault.seen_from.as_ref().and_then(|name| zone(name)),
    };
    let servers = befallen(experiment, world, seed, number, fault);
    let size = fault.size;
    let trouble = match fault.kind {
        FaultKind::FastErrors => Some(Trouble::FastErrors(size)),
        FaultKind::LostAnswers => Some(Trouble::LostAnswers(size)),
        FaultKind::SpoiltAnswers => Some(Trouble::SpoiltAnswers(size)),
        FaultKind::Neighbour => Some(Trouble::Neighbour(size, fault.every.micros())),
        FaultKind::Slow => Some(Trouble::Slow(size)),
        FaultKind::Hang => Some(Trouble::Hang),
        FaultKind::StuckReports => Some(Trouble::StuckReports),
        _ => None,
    };
    let mut put = |at: Micros, change: Change| line.push((at, change));
    if let Some(trouble) = trouble {
        for server in servers {
            put(
                at,
                Change::Begin {
                    server,
                    number,
                    trouble,
                    scope,
                },
            );
            end.into_iter()
                .for_each(|end| put(end, Change::End { server, number }));
        }
        return;
    }
    match fault.kind {
        FaultKind::Replay => {
            let intervals = fault
                .recording
                .as_ref()
                .map_or(&[][..], |recording| &recording.intervals);
            let all = experiment.faults.len() as u32;
            // Each trouble of each interval ends by a number of its own, which no fault of the file has.
            let mut numbers = (1u32..).map(|turn| number + all * turn);
            for interval in intervals {
                let from = at + interval.start_ms * 1_000;
                let over = (from + interval.duration_ms * 1_000).min(end.unwrap_or(Micros::MAX));
                let errors = (interval.error_share + interval.rejected_share).min(1.0);
                // Faster than usual is no fault.
                let slower = if interval.latency_ratio > 1.0 {
                    interval.latency_ratio
                } else {
                    0.0
                };
                for (trouble, size) in [
                    (Trouble::FastErrors(errors), errors),
                    (
                        Trouble::LostAnswers(interval.lost_share),
                        interval.lost_share,
                    ),
                    (Trouble::Slow(slower), slower),
                ] {
                    let Some(number) = numbers.next().filter(|_| size > 0.0 && from < over) else {
                        continue;
                    };
                    for server in &servers {
                        put(
                            from,
                            Change::Begin {
                                server: *server,
                                number,
                                trouble,
                                scope,
                            },
                        );
                        put(
                            over,
                            Change::End {
                                server: *server,
                                number,
                            },
                        );
                    }
                }
            }
        }
        FaultKind::Resets => {
            servers.iter().for_each(|server| {
                put(
                    at,
                    Change::Resets {
                        number,
                        server: *server,
                        share: size,
                    },
                )
            });
            end.into_iter()
                .for_each(|end| put(end, Change::Mend { number }));
        }
        FaultKind::Crash | FaultKind::Vanish => {
            let silent = fault.kind == FaultKind::Vanish;
            for server in servers {
                put(at, Change::Stop { server, silent });
                end.into_iter()
                    .for_each(|end| put(end, Change::Start { server }));
            }
        }
        FaultKind::RollingRestart => {
            for (turn, server) in (0..).zip(servers) {
                let at = at + turn * fault.every.micros();
                let grace = experiment.instances.allow.drain_grace.micros();
                put(
                    at,
                    Change::Drain {
                        server,
                        then_stop: true,
                    },
                );
                // It is back no sooner than it can have been drained and stopped.
                put(
                    at + fault.lasts.micros().max(grace + AWAY),
                    Change::Start { server },
                );
            }
        }
        FaultKind::Drain => {
            for server in servers {
                put(
                    at,
                    Change::Drain {
                        server,
                        then_stop: false,
                    },
                );
                end.into_iter()
                    .for_each(|end| put(end, Change::Undrain { server }));
            }
        }
        FaultKind::CutZone | FaultKind::CutAnswers => {
            let answers_alone = fault.kind == FaultKind::CutAnswers;
            for name in &fault.servers {
                if let Some(zone) = zone(name.strip_prefix("zone:").unwrap_or(name)) {
                    put(
                        at,
                        Change::Cut {
                            number,
                            zone,
                            answers_alone,
                        },
                    );
                }
            }
            end.into_iter()
                .for_each(|end| put(end, Change::Mend { number }));
        }
        FaultKind::DiscoveryDown => {
            put(at, Change::Discovery { up: false });
            end.into_iter()
                .for_each(|end| put(end, Change::Discovery { up: true }));
        }
        FaultKind::DiscoveryMoves => put(at, Change::DiscoveryMoves),
        FaultKind::InstanceRestart => {
            let all = (0..world.instances.len() as u32).collect();
            let share = if fault.share == 0.0 { 1.0 } else { fault.share };
            for (turn, instance) in (0..).zip(pick(all, share, seed, number)) {
                let at = at + turn * fault.every.micros();
                put(at, Change::Kill { instance });
                let away = if fault.lasts.micros() > 0 {
                    fault.lasts.micros()
                } else {
                    AWAY
                };
                put(at + away, Change::Revive { instance });
            }
        }
        _ => {}
    }
}
