//! Conditions: what is parsed, what is rejected, and how they are evaluated.

use madderloom_degradation::{Condition, Signal, Signals};
use proptest::prelude::*;

const S: u64 = 1_000_000;

fn signals(values: &[(&str, f64)]) -> Signals {
    let mut signals = Signals::default();
    for (name, value) in values {
        let (name, class) = name
            .split_once('/')
            .map_or((*name, None), |(name, class)| (name, Some(class)));
        signals.set(Signal::from_name(name, class).expect("a signal"), *value);
    }
    signals
}

#[test]
fn a_condition_with_a_duration_is_met_once_it_has_lasted() {
    let text = "failing_servers > 15% for 2s and lateness(submit-check) > 0.3";
    let mut condition = Condition::parse(text).expect("it is valid");
    let bad = signals(&[("failing_servers", 0.2), ("lateness/submit-check", 0.4)]);
    assert_eq!(
        condition.evaluate(10 * S, &bad),
        Some(false),
        "it has not lasted yet"
    );
    assert_eq!(condition.evaluate(12 * S, &bad), Some(true));
    let healthy = signals(&[("failing_servers", 0.15), ("lateness/submit-check", 0.4)]);
    assert_eq!(condition.evaluate(13 * S, &healthy), Some(false));
    assert_eq!(
        condition.evaluate(14 * S, &bad),
        Some(false),
        "the duration starts anew"
    );
    assert_eq!(
        condition.describe_values(&bad),
        "failing_servers = 0.200, lateness(submit-check) = 0.400"
    );
}

#[test]
fn a_comparison_with_a_missing_signal_is_neither_true_nor_false() {
    let nothing = Signals::default();
    for text in [
        "cpu > 50%",
        "not cpu > 50%",
        "cpu > 50% and open > 50%",
        "cpu > 50% for 2s",
    ] {
        let mut condition = Condition::parse(text).expect("it is valid");
        assert_eq!(condition.evaluate(S, &nothing), None, "{text}");
    }
    let open = signals(&[("open", 0.9)]);
    assert_eq!(
        Condition::parse("cpu > 50% or open > 50%")
            .expect("valid")
            .evaluate(S, &open),
        Some(true)
    );
    assert_eq!(
        Condition::parse("cpu > 50% and open < 50%")
            .expect("valid")
            .evaluate(S, &open),
        Some(false)
    );
    // A gap may hide that it was not met.
    let mut lasting = Condition::parse("open > 50% for 2s").expect("valid");
    assert_eq!(lasting.evaluate(0, &open), Some(false));
    assert_eq!(lasting.evaluate(S, &nothing), None);
    assert_eq!(lasting.evaluate(3 * S, &open), Some(false));
}

#[test]
fn invalid_text_is_rejected_with_what_was_expected() {
    for (text, expected) in [
        ("", "a signal"),
        ("cpu", "one of > >= < <="),
        ("cpu > ", "a number"),
        ("cpu > 120%", "never met"),
        ("cpu <= 1", "always met"),
        ("cpu >= 0", "always met"),
        ("open < 0%", "never met"),
        ("cpu > 2s", "no number"),
        ("list_age > 5", "no span of time"),
        ("load > 5%", "there is no signal load"),
        ("cpu(a) > 5%", "not counted by class"),
        ("cpu > 5% for ever", "a span of time"),
        ("(cpu > 5%", "a closing parenthesis"),
        ("cpu > 5% cpu > 6%", "\"cpu > 6%\""),
        ("cpu > 1.2.3", "no number"),
    ] {
        let problem = Condition::parse(text).expect_err(text).to_string();
        assert!(problem.contains(expected), "{text}: {problem}");
    }
    assert!(
        Condition::parse(&"(".repeat(1_000))
            .expect_err("deep")
            .to_string()
            .contains("deep")
    );
    assert!(
        Condition::parse(&"not ".repeat(400))
            .expect_err("deep")
            .to_string()
            .contains("deep")
    );
    assert!(
        Condition::parse(&" ".repeat(4_000))
            .expect_err("long")
            .to_string()
            .contains("longer")
    );
}

#[test]
fn conditions_that_can_be_met_together_are_found_with_an_example() {
    let met = |a: &str, b: &str| {
        let [a, b] = [a, b].map(|text| Condition::parse(text).expect("it is valid"));
        a.met_together(&b).expect("few bounds")
    };
    assert_eq!(met("cpu > 50%", "cpu < 40%"), None);
    assert_eq!(
        met("cpu >= 50%", "cpu <= 50%").as_deref(),
        Some("cpu = 0.5000")
    );
    assert!(met("cpu > 50%", "open < 40%").is_some());
    assert_eq!(
        met("cpu > 50% or open > 50%", "cpu < 40% and open < 40%"),
        None
    );
    assert!(met("list_age > 5s", "not list_age < 9s").is_some());
    assert_eq!(met("list_age > 9s", "list_age < 5s for 3s"), None);
}

/// A naive model of a condition, evaluated on the history of its inputs instead of state.
#[derive(Clone, Debug)]
enum Model {
    Above(usize, u32),
    Below(usize, u32),
    Not(Box<Model>),
    All(Vec<Model>),
    Any(Vec<Model>),
    For(u64, Box<Model>),
}

const NAMES: [&str; 3] = ["cpu", "open", "lateness(a)"];

impl Model {
    fn text(&self) -> String {
        let joined = |of: &[Model], word: &str| {
            let of: Vec<String> = of.iter().map(|p| format!("({})", p.text())).collect();
            of.join(word)
        };
        match self {
            Model::Above(at, bound) => format!("{} > {bound}%", NAMES[*at]),
            Model::Below(at, bound) => format!("{}<0.{bound:02}", NAMES[*at]),
            Model::Not(of) => format!("not ({})", of.text()),
            Model::All(of) => joined(of, " and "),
            Model::Any(of) => joined(of, " or"),
            Model::For(span, of) => format!("({}) for {span}s", of.text()),
        }
    }

    /// Whether it is met at the last of these steps, each a second after the one before.
    fn met(&self, steps: &[[Option<u32>; 3]]) -> Option<bool> {
        let now = steps.last()?;
        match self {
            Model::Above(at, bound) => now[*at].map(|value| value > *bound),
            Model::Below(at, bound) => now[*at].map(|value| value < *bound),
            Model::Not(of) => of.met(steps).map(|met| !met),
            Model::All(of) => {
                let met: Vec<_> = of.iter().map(|p| p.met(steps)).collect();
                let known = met.iter().all(Option::is_some);
                if met.contains(&Some(false)) {
                    Some(false)
                } else {
                    known.then_some(true)
                }
            }
            Model::Any(of) => {
                let met: Vec<_> = of.iter().map(|p| p.met(steps)).collect();
                let known = met.iter().all(Option::is_some);
                if met.contains(&Some(true)) {
                    Some(true)
                } else {
                    known.then_some(false)
                }
            }
            Model::For(span, of) => {
                let held = (1..=steps.len())
                    .rev()
                    .take_while(|n| of.met(&steps[..*n]) == Some(true))
                    .count();
                if held == 0 {
                    of.met(steps)
                } else {
                    Some(held as u64 > *span)
                }
            }
        }
    }
}

fn model() -> impl Strategy<Value = Model> {
    let leaf = prop_oneof![
        (0..3usize, 1..99u32).prop_map(|(at, bound)| Model::Above(at, bound)),
        (0..3usize, 1..99u32).prop_map(|(at, bound)| Model::Below(at, bound)),
    ];
    leaf.prop_recursive(4, 24, 3, |inner| {
        prop_oneof![
            inner.clone().prop_map(|of| Model::Not(Box::new(of))),
            proptest::collection::vec(inner.clone(), 2..4).prop_map(Model::All),
            proptest::collection::vec(inner.clone(), 2..4).prop_map(Model::Any),
            (0..4u64, inner).prop_map(|(span, of)| Model::For(span, Box::new(of))),
        ]
    })
}

proptest! {
    #[test]
    fn evaluation_agrees_with_a_naive_model(
        model in model(),
        steps in proptest::collection::vec([proptest::option::weighted(0.9, 0..100u32), proptest::option::weighted(0.9, 0..100u32), proptest::option::weighted(0.9, 0..100u32)], 1..12),
    ) {
        let text = model.text();
        let mut condition = Condition::parse(&text).map_err(|e| TestCaseError::fail(format!("{text}: {e}")))?;
        for n in 1..=steps.len() {
            let mut signals = Signals::default();
            for (name, value) in ["cpu", "open"].iter().zip(&steps[n - 1]) {
                value.iter().for_each(|v| signals.set(Signal::from_name(name, None).expect("known"), f64::from(*v) / 100.0));
            }
            let late = Signal::from_name("lateness", Some("a")).expect("known");
            steps[n - 1][2].iter().for_each(|v| signals.set(late.clone(), f64::from(*v) / 100.0));
            prop_assert_eq!(condition.evaluate(n as u64 * S, &signals), model.met(&steps[..n]), "{} at {}", &text, n);
        }
    }

    #[test]
    fn parsing_never_panics(text in "((not|and|or|for|cpu|open|lateness|list_age|2s|15%|0\\.3|>|<=|\\(|\\)|[a-z(])[ ]?|\\PC){0,40}") {
        let _ = Condition::parse(&text);
    }
}
