//! How fast the virtual driver is on one core, by the number of servers and of instances, with the decision module and
//! with a policy that costs nothing (servers in turn), which leaves the lab's own cost:
//! `cargo run --release -p madderloom-lab --example throughput [fleet]`. With `fleet`, 2,000 instances and 200 servers
//! get 20,000 requests a second for 60 virtual seconds.

use madderloom_balancer::{Action, DiscoveryUpdate, Event, Micros, ServerId};
use madderloom_config_reader::Span;
use madderloom_lab::experiment::{Arm, Class, Experiment, ServerKind};
use madderloom_lab::policy::{self, Maker, Policy, Start};
use madderloom_lab::virtual_time;
use std::ops::ControlFlow;
use std::time::Instant;

/// Sends to the listed servers in turn.
struct InTurn {
    servers: Vec<ServerId>,
    next: usize,
}

impl Policy for InTurn {
    fn handle(&mut self, _now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::DiscoveryUpdated(DiscoveryUpdate::FullList(list)) => {
                self.servers = list.iter().map(|l| l.server).collect()
            }
            Event::RequestReceived(new) => {
                self.next = (self.next + 1) % self.servers.len();
                let server = self.servers[self.next];
                actions.push(Action::Send {
                    request: new.id,
                    server,
                    timeout_at: Micros::MAX,
                    write_by: Micros::MAX,
                });
            }
            Event::AttemptEnded(closed) if !closed.request_ended => {
                actions.push(Action::Reject {
                    request: closed.request,
                    retry_after: None,
                });
            }
            _ => {}
        }
    }
}

fn in_turn(start: Start) -> Result<Box<dyn Policy>, String> {
    Ok(Box::new(InTurn {
        servers: Vec::new(),
        next: start.instance as usize,
    }))
}

fn experiment(servers: u32, instances: u32, rate: f64, duration: Span) -> Experiment {
    let class = Class {
        name: "read".into(),
        work: Span::ms(10),
        ..Class::default()
    };
    let mut experiment = Experiment {
        duration,
        classes: vec![class],
        ..Experiment::default()
    };
    experiment.instances.count = instances;
    experiment.clients.rate = rate;
    // Seven tenths of what the servers can do.
    let cores = (rate * 0.010 / 0.7 / f64::from(servers)).ceil().max(1.0) as u32;
    let kind = ServerKind {
        name: "s".into(),
        count: servers,
        cores,
        queue: 1_000,
        ..ServerKind::default()
    };
    experiment.servers = vec![ServerKind {
        connections: 100_000,
        ..kind
    }];
    experiment
}

fn measure(name: &str, make: &dyn Maker, servers: u32, instances: u32, duration: Span) {
    let rate = 20_000.0;
    let experiment = experiment(servers, instances, rate, duration);
    let (begun, used) = (Instant::now(), processor_seconds());
    let go_on = |_| ControlFlow::Continue(());
    let run = virtual_time::run(&experiment, &Arm::default(), 1, make, &go_on);
    let took = begun.elapsed().as_secs_f64();
    // Others on the machine count for less by the processor's time than by the clock's.
    let used = used
        .zip(processor_seconds())
        .map_or(took, |(before, after)| after - before);
    assert_eq!(run.void, None);
    let peak = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let peak = peak
        .lines()
        .find_map(|l| l.strip_prefix("VmHWM:"))
        .unwrap_or(" ?")
        .trim()
        .to_string();
    println!(
        "{name:>8} {servers:>7} {instances:>9} {:>9} {took:>8.2} {used:>9.2} {:>10.0} {:>8.3} {:>7.2}  {peak}",
        run.total.asked,
        run.total.tries as f64 / used,
        run.total.goodput(),
        run.total.attempts as f64 / run.total.tries.max(1) as f64,
    );
}

/// Seconds that this thread has had on a processor, where the system tells.
fn processor_seconds() -> Option<f64> {
    let told = std::fs::read_to_string("/proc/self/schedstat").ok()?;
    Some(told.split(' ').next()?.parse::<f64>().ok()? / 1e9)
}

fn main() {
    println!(
        "  policy servers instances  requests  seconds processor  a second  goodput attempts  peak memory so far"
    );
    let policies: [(&str, &dyn Maker); 2] = [("in turn", &in_turn), ("own", &policy::own)];
    for (name, make) in policies {
        if std::env::args().any(|a| a == "fleet") {
            measure(name, make, 200, 2_000, Span::s(60));
            continue;
        }
        for (servers, instances) in [(10, 10), (100, 10), (1_000, 10), (100, 100), (100, 2_000)] {
            measure(name, make, servers, instances, Span::s(20));
        }
    }
}
