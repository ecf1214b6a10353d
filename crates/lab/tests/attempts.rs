//! What becomes of attempts in the virtual driver: each way to end, and what instances and policies see of it.

mod common;
use common::*;
use madderloom_balancer::*;
use madderloom_config_reader::Span;
use madderloom_lab::experiment::{Arm, Effect, Experiment, FaultKind};
use madderloom_lab::policy::{Policy, Start, Truth};
use madderloom_lab::record::Run;
use madderloom_lab::virtual_time;
use std::cell::RefCell;
use std::ops::ControlFlow;
use std::rc::Rc;

fn with_fault(kind: FaultKind, lasts: Span, change: impl FnOnce(&mut Experiment)) -> Run {
    let mut experiment = calm(Effect::Safe);
    experiment.faults = vec![fault(kind, Span::s(2), &["s-0"], 0.5)];
    experiment.faults[0].lasts = lasts;
    change(&mut experiment);
    let run = play(&experiment, 1, &simple(Wrong::No));
    assert_eq!(run.void, None);
    run
}

fn outcomes(run: &Run, wanted: &[&str]) {
    let seen: Vec<&str> = run.total.outcomes.keys().map(String::as_str).collect();
    assert_eq!(seen, wanted, "{:?}", run.total.outcomes);
}

#[test]
fn a_dead_process_resets_what_it_had_and_refuses_what_comes() {
    let run = with_fault(FaultKind::Crash, Span::s(20), |e| e.instances.count = 30);
    outcomes(&run, &["connect_failed", "ok", "reset"]);
    // Its idle connections are seen to have ended: only what was out or on its way is reset.
    assert!(run.total.outcomes["reset"] < 10, "{:?}", run.total.outcomes);
}

#[test]
fn a_vanished_machine_times_out_and_resets_stale_connections_once_it_is_back() {
    let run = with_fault(FaultKind::Vanish, Span::s(1), |_| ());
    outcomes(&run, &["connect_failed", "ok", "reset"]);
    let gone = with_fault(FaultKind::Vanish, Span::s(20), |_| ());
    outcomes(&gone, &["connect_failed", "ok", "timeout"]);
}

#[test]
fn lost_answers_break_spoilt_ones_too_and_cut_ones_time_out() {
    let lost = with_fault(FaultKind::LostAnswers, Span::s(2), |_| ());
    outcomes(&lost, &["ok", "reset"]);
    assert!(lost.servers["s-0"].wasted > 0);
    outcomes(
        &with_fault(FaultKind::SpoiltAnswers, Span::s(2), |_| ()),
        &["ok", "reset"],
    );
    outcomes(
        &with_fault(FaultKind::FastErrors, Span::s(2), |_| ()),
        &["error", "ok"],
    );
    let cut = with_fault(FaultKind::CutAnswers, Span::s(4), |e| {
        e.faults[0].servers = vec!["zone:a".into()]
    });
    outcomes(&cut, &["connect_failed", "ok", "timeout"]);
    // What timed out had run all the same.
    let ran: u64 = cut.servers.values().map(|s| s.executed).sum();
    assert!(ran > cut.total.outcomes["ok"]);
}

#[test]
fn a_connection_that_breaks_before_the_last_byte_proves_that_nothing_ran() {
    let run = with_fault(FaultKind::Resets, Span::s(4), |_| ());
    outcomes(&run, &["connect_failed", "ok", "reset"]);
    let ran: u64 = run.servers.values().map(|s| s.executed).sum();
    // Some of the others were still waiting when their connection was found broken.
    let may_have_run = run.total.outcomes["ok"] + run.total.outcomes["reset"];
    assert!(
        ran <= may_have_run && ran + 50 > may_have_run,
        "{ran} of {may_have_run}"
    );
}

#[test]
fn connections_are_used_again_until_they_have_been_idle_for_too_long() {
    let opened = |idle: Span| -> u64 {
        let run = with_fault(FaultKind::StuckReports, Span::s(1), |e| {
            e.network.idle = idle
        });
        run.servers.values().map(|s| s.connections).sum()
    };
    let (kept, closed) = (opened(Span::s(60)), opened(Span::ms(5)));
    assert!(kept < 100 && closed > 10 * kept, "{kept} and {closed}");
}

#[test]
fn a_restarted_instance_begins_anew_and_its_clients_come_back() {
    let run = with_fault(FaultKind::InstanceRestart, Span::ms(500), |e| {
        e.faults[0].servers.clear();
        e.clients.retries = 3;
        e.clients.backoff = Span::ms(400);
    });
    assert!(run.breaches.is_empty(), "{:?}", run.broken);
    assert!(
        run.total.tries > run.total.asked && run.total.goodput() > 0.97,
        "{}",
        run.total.goodput()
    );
}

#[test]
fn a_client_that_left_is_told_of_and_counts_as_left() {
    let run = with_fault(FaultKind::Hang, Span::s(4), |e| e.clients.impatient = 0.5);
    assert!(run.total.left > 10 && run.breaches.is_empty());
}

/// Sends each request once more when it has heard of its end: at once, or a turn later.
struct Late {
    later: bool,
    hedges: bool,
    servers: Vec<ServerId>,
}

impl Policy for Late {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        let send = |request, server| Action::Send {
            request,
            server,
            timeout_at: Micros::MAX,
            write_by: Micros::MAX,
        };
        match event {
            Event::DiscoveryUpdated(DiscoveryUpdate::FullList(list)) => {
                self.servers = list.iter().map(|l| l.server).collect()
            }
            Event::RequestReceived(new) => {
                let count = 1 + usize::from(self.hedges);
                actions.extend(
                    self.servers
                        .iter()
                        .take(count)
                        .map(|server| send(new.id, *server)),
                );
            }
            Event::AttemptEnded(AttemptResult {
                request,
                outcome: Outcome::Ok,
                ..
            }) if self.later => {
                actions.push(Action::SetTimer {
                    at: now + 10_000,
                    timer: Timer::Request(request),
                });
            }
            Event::AttemptEnded(AttemptResult {
                request,
                outcome: Outcome::Ok,
                request_ended: true,
                ..
            })
            | Event::TimerFired(Timer::Request(request)) => {
                actions.extend(self.servers.first().map(|server| send(request, *server)));
            }
            _ => {}
        }
    }
}

#[test]
fn a_send_after_the_end_is_moot_and_breaks_a_rule_only_once_the_end_was_told_in_an_earlier_turn() {
    let mut experiment = calm(Effect::Safe);
    experiment.clients.rate = 50.0;
    // The second attempt of a hedged request is still out when all of this happens.
    experiment.faults = vec![fault(FaultKind::Hang, Span(0), &["s-1"], 0.0)];
    for (later, hedges) in [(false, false), (true, false), (false, true), (true, true)] {
        let make = |_: Start| -> Result<Box<dyn Policy>, String> {
            Ok(Box::new(Late {
                later,
                hedges,
                servers: Vec::new(),
            }))
        };
        let run = play(&experiment, 1, &make);
        assert_eq!(run.void, None);
        assert_eq!(run.total.in_time, run.total.asked);
        // The last timers come after the run.
        let dropped = run.breaches.get("dropped-request").copied().unwrap_or(0);
        assert!(
            if later {
                dropped + 5 > run.total.asked
            } else {
                dropped == 0
            },
            "{dropped}"
        );
    }
}

/// Notes what the truth says whenever something comes.
struct Seer {
    truth: Rc<dyn Truth>,
    inner: Simple,
    seen: Rc<RefCell<Vec<(f64, f64)>>>,
}

impl Policy for Seer {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        self.inner.handle(now, event, actions);
        let truths = self
            .inner
            .servers
            .keys()
            .filter_map(|s| self.truth.server(*s));
        let sums = truths.fold((0.0, 0.0), |sum, t| (sum.0 + t.backlog, sum.1 + t.speed));
        self.seen.borrow_mut().push(sums);
    }
}

#[test]
fn the_truth_tells_of_all_work_also_on_its_way_and_of_nothing_once_all_is_done() {
    let mut experiment = calm(Effect::Safe);
    experiment.instances.count = 1;
    experiment.faults = vec![
        fault(FaultKind::Vanish, Span::s(5), &["s-0"], 0.0),
        fault(FaultKind::CutZone, Span::s(2), &["zone:b"], 0.0),
    ];
    experiment.faults[1].lasts = Span::s(2);
    let seen = Rc::new(RefCell::new(Vec::new()));
    let make = |start: Start| -> Result<Box<dyn Policy>, String> {
        let truth = start.truth.ok_or("the virtual driver gives the truth")?;
        Ok(Box::new(Seer {
            truth,
            inner: Simple::default(),
            seen: seen.clone(),
        }))
    };
    let run = play(&experiment, 1, &make);
    let seen = seen.borrow();
    assert_eq!(run.void, None);
    // Twelve cores half busy: some 60 ms of work at any time, and waiting besides.
    let mean = seen.iter().map(|s| s.0).sum::<f64>() / seen.len() as f64;
    assert!((50_000.0..200_000.0).contains(&mean), "{mean}");
    assert_eq!((seen[1].1, seen[seen.len() - 1].1), (12.0, 9.0));
    assert!(
        seen[seen.len() - 1].0 < 20_000.0,
        "nothing is left over: {:?}",
        seen[seen.len() - 1]
    );
}

#[test]
fn a_run_that_is_broken_off_or_cannot_begin_is_void_and_keeps_what_it_has_counted() {
    let experiment = calm(Effect::Safe);
    let watch = |at: Span| {
        if at >= Span::s(3) {
            ControlFlow::Break(())
        } else {
            ControlFlow::Continue(())
        }
    };
    let run = virtual_time::run(&experiment, &Arm::default(), 1, &simple(Wrong::No), &watch);
    assert_eq!(run.void.as_deref(), Some("broken off at 3s"));
    assert_eq!(run.windows.len(), 3);
    assert!(run.total.asked > 1_500 && run.breaches.is_empty());
    let refuses = |_: Start| -> Result<Box<dyn Policy>, String> { Err("no such figure".into()) };
    assert_eq!(
        play(&experiment, 1, &refuses).void.as_deref(),
        Some("no such figure")
    );
}
