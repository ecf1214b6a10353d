//! The story of one bad night: an experiment (`experiments/bad-night.toml`, or the file that is named) in virtual time
//! with the decision module, told by the time lines of its first instance.
//!
//! ```sh
//! cargo run --release -p madderloom-lab --example night
//! ```

use madderloom_balancer::{
    Action, DiscoveryUpdate, Event, LogEvent, Micros, Outcome, RequestId, ServerId, ServerState,
};
use madderloom_endpoint_history::{
    Anomaly, CompletedAttempt, EndpointEvent, EndpointHistory, ListedEndpoint, Settings, Subject,
};
use madderloom_lab::experiment::Experiment;
use madderloom_lab::policy::{self, Policy, Start};
use madderloom_lab::virtual_time;
use madderloom_lab::world::World;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ops::ControlFlow;
use std::rc::Rc;

const S: Micros = 1_000_000;
const NIGHT: &str = include_str!("../../../experiments/bad-night.toml");

/// What is told, and what it is told of.
struct Night {
    story: EndpointHistory,
    /// Open requests: their class and their hinted size.
    open: BTreeMap<RequestId, (u32, Option<Micros>)>,
    hints: (f64, f64),
    told: Vec<(Micros, String)>,
    next: Micros,
    names: BTreeMap<ServerId, String>,
    zones: Vec<String>,
    classes: Vec<String>,
}

impl Night {
    fn name(&self, id: ServerId) -> String {
        self.names
            .get(&id)
            .cloned()
            .unwrap_or_else(|| format!("{:016x}", id.0))
    }

    fn say(&mut self, said: &Anomaly) {
        let name = match said.subject {
            Subject::Endpoint(id) => self.name(id),
            Subject::Zone(zone) => self.zones.get(zone as usize).cloned().unwrap_or_default(),
            Subject::Fleet => String::new(),
        };
        let class = said
            .class
            .and_then(|class| self.classes.get(class as usize));
        self.told.push((
            said.reported_at,
            said.describe(&name, class.map(String::as_str)),
        ));
    }

    fn hear(&mut self, now: Micros, event: &Event<'_>) {
        while self.next <= now {
            for said in self.story.poll_anomalies(self.next) {
                self.say(&said);
            }
            self.next += S;
        }
        match event {
            Event::DiscoveryUpdated(
                DiscoveryUpdate::FullList(all) | DiscoveryUpdate::ListChanges(all),
            ) => {
                for server in *all {
                    if server.state == ServerState::Gone {
                        self.story.endpoint_left(now, server.server);
                    } else {
                        let arrival = ListedEndpoint {
                            zone: server.zone,
                            machine_kind: server.kind,
                            ..ListedEndpoint::default()
                        };
                        self.story.endpoint_listed(now, server.server, arrival);
                    }
                }
            }
            Event::RequestReceived(new) => {
                self.open.insert(new.id, (new.class, new.cost_hint));
            }
            Event::AttemptEnded(closed) => {
                let (class, hint) = self.open.get(&closed.request).copied().unwrap_or((0, None));
                let (mean, count) = &mut self.hints;
                let size = hint.map_or(1.0, |hint| {
                    if *count > 0.0 {
                        hint as f64 / *mean
                    } else {
                        1.0
                    }
                });
                if let Some(hint) = hint {
                    *count = (*count + 1.0).min(1_000.0);
                    *mean += (hint as f64 - *mean) / *count;
                }
                let (server, outcome) = (closed.server, closed.outcome);
                let seen = CompletedAttempt {
                    server,
                    class,
                    outcome,
                    elapsed: closed.elapsed,
                    relative_size: size,
                };
                self.story
                    .record_attempt(now, (now / (60 * S) % 1_440) as u16, &seen);
                if closed.request_ended {
                    self.open.remove(&closed.request);
                }
            }
            Event::ProbeCompleted(server, Some(report)) => {
                self.story
                    .record_load_report(now, *server, report.in_flight, 0)
            }
            _ => {}
        }
    }

    fn noted(&mut self, now: Micros, note: LogEvent) {
        let (id, what, words) = match note {
            LogEvent::ServerEjected(id, outcome) => {
                (id, EndpointEvent::Ejected(outcome), ejected(outcome))
            }
            LogEvent::ServerRestored(id) => (
                id,
                EndpointEvent::Restored,
                "is trusted again after its trial",
            ),
            LogEvent::ClassOverloaded(_) | LogEvent::DiscoveryFailed => return,
        };
        self.story.record_event(now, id, what);
        self.told.push((now, format!("{} {words}", self.name(id))));
    }
}

fn ejected(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Timeout => "is ejected, since attempts there timed out",
        Outcome::Reset => "is ejected, since attempts there broke",
        Outcome::ConnectFailed => "is ejected, since attempts there made no connection",
        _ => "is ejected, since attempts there ended with errors",
    }
}

/// The decision module, listened to.
struct Listened {
    inner: Box<dyn Policy>,
    night: Rc<RefCell<Night>>,
}

impl Policy for Listened {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        let mut night = self.night.borrow_mut();
        night.hear(now, &event);
        let before = actions.len();
        self.inner.handle(now, event, actions);
        for action in actions.iter().skip(before) {
            if let Action::Log(note) = action {
                night.noted(now, *note);
            }
        }
    }
}

fn main() -> Result<(), String> {
    let text = match std::env::args().nth(1) {
        Some(file) => std::fs::read_to_string(&file).map_err(|e| format!("{file}: {e}"))?,
        None => NIGHT.to_string(),
    };
    let experiment = Experiment::read(&text).map_err(|problems| problems[0].to_string())?;
    let world = World::of(&experiment, 1);
    let night = Rc::new(RefCell::new(Night {
        story: EndpointHistory::new(Settings::default()),
        open: BTreeMap::new(),
        hints: (0.0, 0.0),
        told: Vec::new(),
        next: 0,
        names: world
            .servers
            .iter()
            .map(|server| (server.id, server.name.clone()))
            .collect(),
        zones: experiment.network.zones.clone(),
        classes: experiment
            .classes
            .iter()
            .map(|class| class.name.clone())
            .collect(),
    }));
    let arm = experiment.arms.first().ok_or("it has no arm")?;
    let make = |start: Start| -> Result<Box<dyn Policy>, String> {
        let (is_first, inner) = (start.instance == 0, policy::own(start)?);
        let night = Rc::clone(&night);
        Ok(if is_first {
            Box::new(Listened { inner, night })
        } else {
            inner
        })
    };
    let run = virtual_time::run(&experiment, arm, 1, &make, &|_| ControlFlow::Continue(()));
    for (at, text) in &night.borrow().told {
        println!("{:02}:{:02}  {text}", at / S / 60, at / S % 60);
    }
    println!(
        "goodput {:.3}, {} attempts for {} requests",
        run.total.goodput(),
        run.total.attempts,
        run.total.asked
    );
    Ok(())
}
