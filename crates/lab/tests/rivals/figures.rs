//! Figures of arms.

use crate::rig::*;
use madderloom_balancer::*;
use madderloom_lab::rivals::{KNOWN, check, make};

fn refusal(policy: &str, with: &[(&str, f64)]) -> String {
    check(policy, &figures(with)).expect_err("nonsense is refused")
}

#[test]
fn every_known_policy_is_made_and_each_name_stands_once() {
    for (at, (name, about)) in KNOWN.iter().enumerate() {
        assert_eq!(check(name, &figures(&[])), Ok(()), "{name}");
        assert!(!about.is_empty() && KNOWN[..at].iter().all(|(other, _)| other != name));
    }
}

#[test]
fn an_unknown_policy_is_told_with_those_that_are_known() {
    let problem = refusal("leest", &[]);
    assert!(
        problem.contains("`leest`") && KNOWN.iter().all(|(name, _)| problem.contains(name)),
        "{problem}"
    );
}

#[test]
fn an_unknown_figure_is_told_with_those_that_the_policy_takes() {
    for (policy, _) in KNOWN {
        let problem = refusal(policy, &[("quantil", 0.5)]);
        assert!(
            problem.contains("quantil") && problem.contains("max_attempts"),
            "{policy}: {problem}"
        );
    }
    assert!(refusal("prequal", &[("decay_ms", 5.0)]).contains("quantile"));
    assert!(refusal("madderloom", &[("backoff_ms", 5.0)]).contains("takes no such figure"));
}

#[test]
fn a_figure_out_of_its_bounds_is_told_with_them() {
    let problem = refusal("prequal", &[("quantile", 1.5)]);
    assert_eq!(
        problem,
        "quantile = 1.5: policy `prequal` takes it from 0 to 1"
    );
    for value in [f64::NAN, f64::INFINITY, -1.0] {
        assert!(
            refusal("peak_ewma", &[("decay_ms", value)]).starts_with("decay_ms"),
            "{value}"
        );
    }
    assert_eq!(
        check(
            "prequal",
            &figures(&[("quantile", 0.5), ("backoff_ms", 0.0)])
        ),
        Ok(())
    );
}

#[test]
fn what_sees_the_truth_is_refused_where_there_is_none() {
    for policy in ["centralized", "oracle"] {
        let problem = make(
            policy,
            &figures(&[]),
            settings(&[RetrySafety::Idempotent]),
            1,
            None,
        )
        .err();
        assert!(problem.is_some_and(|p| p.contains("virtual driver")));
    }
}

#[test]
fn settings_that_make_no_sense_are_refused() {
    let settings = Settings {
        classes: Vec::new(),
        ..settings(&[RetrySafety::Idempotent])
    };
    assert!(make("random", &figures(&[]), settings, 1, None).is_err());
}

#[test]
fn a_site_is_narrowed_by_figures_and_never_widened() {
    for (figure, attempts) in [(2.0, 2), (4.0, 4), (9.0, 4)] {
        let with = [("max_attempts", figure), ("backoff_ms", 0.0)];
        let mut rig = Rig::new("random", &with, settings(&[RetrySafety::Idempotent]), 8);
        let (id, mut actions) = rig.request(0);
        let mut sends = 0;
        while let Some(server) = sent(&actions) {
            actions = rig.close(id, sends, server, Outcome::Error);
            sends += 1;
        }
        assert_eq!(sends, attempts);
    }
    let mut closed = settings(&[RetrySafety::Idempotent]);
    closed.limits.probes = false;
    for (site, figure, probes) in [
        (settings(&[RetrySafety::Idempotent]), 0.0, 0),
        (closed, 1.0, 0),
    ] {
        let mut rig = Rig::new("prequal", &[("probes", figure)], site, 8);
        assert_eq!(asked(&rig.request(0).1).len(), probes);
    }
}
