//! Small experiments and policies that the tests share.
#![allow(dead_code)]

use madderloom_balancer::*;
use madderloom_config_reader::Span;
use madderloom_lab::experiment::{self as lab, Arm, Experiment, Fault, FaultKind, ServerKind};
use madderloom_lab::policy::{Maker, Policy, Start};
use madderloom_lab::record::Run;
use madderloom_lab::virtual_time;
use std::collections::BTreeMap;
use std::ops::ControlFlow;

/// Four servers of three cores, half loaded by two instances for ten seconds.
pub fn calm(effect: lab::Effect) -> Experiment {
    let class = lab::Class {
        name: "read".into(),
        effect,
        ..lab::Class::default()
    };
    let kind = ServerKind {
        name: "s".into(),
        count: 4,
        ..ServerKind::default()
    };
    let mut experiment = Experiment {
        name: "calm".into(),
        duration: Span::s(10),
        classes: vec![class],
        servers: vec![kind],
        ..Experiment::default()
    };
    experiment.instances.count = 2;
    experiment.clients.rate = 600.0;
    experiment
}

pub fn fault(kind: FaultKind, at: Span, servers: &[&str], size: f64) -> Fault {
    let servers = servers.iter().map(|s| s.to_string()).collect();
    Fault {
        at,
        kind,
        servers,
        size,
        ..Fault::default()
    }
}

pub fn play(experiment: &Experiment, seed: u64, make: &dyn Maker) -> Run {
    virtual_time::run(experiment, &Arm::default(), seed, make, &|_| {
        ControlFlow::Continue(())
    })
}

/// Sends every request once, to the listed servers in turn, and fails what is not served.
#[derive(Default)]
pub struct Simple {
    pub servers: BTreeMap<ServerId, ServerEntry>,
    pub next: usize,
    pub held: BTreeMap<RequestId, Micros>,
    /// Which of the four ways it goes wrong.
    pub wrong: Wrong,
}

#[derive(Clone, Copy, Default, PartialEq)]
pub enum Wrong {
    #[default]
    No,
    /// Forgets every tenth request.
    Forgets,
    /// Sends again what may have run.
    Repeats,
    /// Refuses what may have run.
    Refuses,
    /// Never heeds the list but for its first.
    Deaf,
    /// Never asks discovery, and so is never told.
    Hermit,
    /// Sends all to the server that started last.
    Rushes,
    /// Sends again after it has failed a request.
    Haunts,
}

pub fn simple(wrong: Wrong) -> impl Fn(Start) -> Result<Box<dyn Policy>, String> {
    move |_| {
        Ok(Box::new(Simple {
            wrong,
            ..Simple::default()
        }))
    }
}

impl Simple {
    fn pick(&mut self) -> Option<ServerId> {
        let ready = self
            .servers
            .values()
            .filter(|l| l.state == ServerState::Ready);
        let started = ready
            .clone()
            .filter(|l| l.started_at.is_some())
            .max_by_key(|l| l.started_at);
        if let (Wrong::Rushes, Some(last)) = (self.wrong, started) {
            return Some(last.server);
        }
        let ready: Vec<ServerId> = ready.map(|l| l.server).collect();
        self.next += 1;
        ready.get(self.next % ready.len().max(1)).copied()
    }
}

impl Policy for Simple {
    fn handle(&mut self, _now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::DiscoveryUpdated(DiscoveryUpdate::FullList(list)) => {
                if self.servers.is_empty() || self.wrong != Wrong::Deaf {
                    self.servers = list.iter().map(|l| (l.server, *l)).collect();
                }
                if self.wrong != Wrong::Hermit {
                    actions.push(Action::PollDiscovery);
                }
            }
            Event::DiscoveryUpdated(DiscoveryUpdate::ListChanges(list))
                if self.wrong != Wrong::Deaf =>
            {
                self.servers.extend(list.iter().map(|l| (l.server, *l)));
            }
            Event::DiscoveryUpdated(DiscoveryUpdate::CallFailed { .. }) => {
                actions.push(Action::PollDiscovery)
            }
            Event::RequestReceived(new) => {
                if self.wrong == Wrong::Forgets && self.next.is_multiple_of(10) {
                    self.next += 1;
                    return;
                }
                match self.pick() {
                    Some(server) => {
                        actions.push(Action::Send {
                            request: new.id,
                            server,
                            timeout_at: Micros::MAX,
                            write_by: Micros::MAX,
                        });
                    }
                    None => actions.push(Action::Reject {
                        request: new.id,
                        retry_after: None,
                    }),
                }
            }
            Event::AttemptEnded(closed) if !closed.request_ended => {
                let request = closed.request;
                match self.wrong {
                    Wrong::Repeats => {
                        let Some(server) = self.pick() else { return };
                        actions.push(Action::Send {
                            request,
                            server,
                            timeout_at: Micros::MAX,
                            write_by: Micros::MAX,
                        });
                    }
                    Wrong::Refuses => actions.push(Action::Reject {
                        request,
                        retry_after: None,
                    }),
                    wrong => {
                        actions.push(Action::Fail { request });
                        if let (Wrong::Haunts, Some(server)) = (wrong, self.pick()) {
                            actions.push(Action::Send {
                                request,
                                server,
                                timeout_at: Micros::MAX,
                                write_by: Micros::MAX,
                            });
                        }
                    }
                }
            }
            _ => {}
        }
    }
}
