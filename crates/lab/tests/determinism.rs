//! The same seed gives the same record, byte for byte, on one thread and on eight.

mod common;
use common::*;
use madderloom_config_reader::Span;
use madderloom_lab::experiment::{Effect, Experiment, FaultKind};
use madderloom_lab::policy;

/// Something of everything that is drawn.
fn busy() -> Experiment {
    let mut experiment = calm(Effect::Keyed);
    experiment.duration = Span::s(4);
    experiment.servers[0].speed_cv = 0.3;
    experiment.network.jitter = 0.5;
    experiment.clients.retries = 2;
    experiment.clients.keys = 50;
    experiment.clients.impatient = 0.1;
    experiment.clients.hint_noise = Some(0.3);
    experiment.faults = vec![
        fault(FaultKind::FastErrors, Span::s(1), &["s-1"], 0.5),
        fault(FaultKind::LostAnswers, Span::s(1), &["s-2"], 0.2),
        fault(FaultKind::Crash, Span::s(2), &["s-3"], 0.0),
        fault(FaultKind::InstanceRestart, Span::s(3), &[], 0.0),
    ];
    experiment
}

fn written(seed: u64) -> String {
    let run = play(&busy(), seed, &policy::own);
    assert_eq!(run.void, None);
    assert!(run.total.asked > 1_000);
    serde_json::to_string(&run).expect("a record can be written")
}

#[test]
fn a_seed_gives_the_same_bytes_with_one_job_and_with_eight() {
    let alone = written(7);
    let jobs: Vec<_> = (0..8).map(|_| std::thread::spawn(|| written(7))).collect();
    for job in jobs {
        assert!(job.join().expect("the run does not panic") == alone);
    }
    assert!(written(8) != alone, "another seed gives another day");
}

#[test]
fn arms_with_one_seed_meet_the_same_requests() {
    let (ours, theirs) = (
        play(&busy(), 3, &policy::own),
        play(&busy(), 3, &simple(Wrong::No)),
    );
    assert_ne!(ours.total.in_time, theirs.total.in_time);
    assert_eq!(
        (ours.total.asked, ours.total.worth),
        (theirs.total.asked, theirs.total.worth)
    );
    let asked = |run: &madderloom_lab::record::Run| -> Vec<f64> {
        run.windows.iter().map(|w| w.worth).collect()
    };
    assert_eq!(asked(&ours), asked(&theirs));
}
