//! Conditions: what is read, what is refused, and that they mean what they say.

use madderloom_degradation::{Condition, Signal, Signals};
use proptest::prelude::*;

const S: u64 = 1_000_000;

fn signals(values: &[(&str, f64)]) -> Signals {
    let mut signals = Signals::default();
    for (name, value) in values {
        let (name, class) = name
            .split_once('/')
            .map_or((*name, None), |(name, class)| (name, Some(class)));
        signals.set(Signal::named(name, class).expect("a signal"), *value);
    }
    signals
}

#[test]
fn a_condition_says_what_it_means() {
    let text = "failing_servers > 15% for 2s and lateness(submit-check) > 0.3";
    let mut condition = Condition::parse(text).expect("it is sound");
    let bad = signals(&[("failing_servers", 0.2), ("lateness/submit-check", 0.4)]);
    assert_eq!(
        condition.evaluate(10 * S, &bad),
        Some(false),
        "it has not lasted"
    );
    assert_eq!(condition.evaluate(12 * S, &bad), Some(true));
    let well = signals(&[("failing_servers", 0.15), ("lateness/submit-check", 0.4)]);
    assert_eq!(condition.evaluate(13 * S, &well), Some(false));
    assert_eq!(
        condition.evaluate(14 * S, &bad),
        Some(false),
        "it counts from anew"
    );
    assert_eq!(
        condition.values(&bad),
        "failing_servers = 0.200, lateness(submit-check) = 0.400"
    );
}

#[test]
fn what_was_not_measured_is_neither_met_nor_its_contrary() {
    let nothing = Signals::default();
    for text in [
        "cpu > 50%",
        "not cpu > 50%",
        "cpu > 50% and open > 50%",
        "cpu > 50% for 2s",
    ] {
        let mut condition = Condition::parse(text).expect("it is sound");
        assert_eq!(condition.evaluate(S, &nothing), None, "{text}");
    }
    let open = signals(&[("open", 0.9)]);
    assert_eq!(
        Condition::parse("cpu > 50% or open > 50%")
            .expect("sound")
            .evaluate(S, &open),
        Some(true)
    );
    assert_eq!(
        Condition::parse("cpu > 50% and open < 50%")
            .expect("sound")
            .evaluate(S, &open),
        Some(false)
    );
    // A gap may hide that it had ceased.
    let mut lasting = Condition::parse("open > 50% for 2s").expect("sound");
    assert_eq!(lasting.evaluate(0, &open), Some(false));
    assert_eq!(lasting.evaluate(S, &nothing), None);
    assert_eq!(lasting.evaluate(3 * S, &open), Some(false));
}

#[test]
fn what_makes_no_sense_is_refused_with_what_was_wanted() {
    for (text, told) in [
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
        let problem = Condition::parse(text).expect_err(text);
        assert!(problem.contains(told), "{text}: {problem}");
    }
    assert!(
        Condition::parse(&"(".repeat(1_000))
            .expect_err("deep")
            .contains("deep")
    );
    assert!(
        Condition::parse(&"not ".repeat(400))
            .expect_err("deep")
            .contains("deep")
    );
    assert!(
        Condition::parse(&" ".repeat(4_000))
            .expect_err("long")
            .contains("longer")
    );
}

#[test]
fn conditions_that_are_met_together_are_found_with_an_example() {
    let met = |a: &str, b: &str| {
        let [a, b] = [a, b].map(|text| Condition::parse(text).expect("it is sound"));
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

/// A condition as a tree, evaluated in the plainest way, with the history of its inputs in place of state.
#[derive(Clone, Debug)]
enum Plain {
    Above(usize, u32),
    Below(usize, u32),
    Not(Box<Plain>),
    All(Vec<Plain>),
    Any(Vec<Plain>),
    For(u64, Box<Plain>),
}

const NAMES: [&str; 3] = ["cpu", "open", "lateness(a)"];

impl Plain {
    fn text(&self) -> String {
        let joined = |of: &[Plain], word: &str| {
            let of: Vec<String> = of.iter().map(|p| format!("({})", p.text())).collect();
            of.join(word)
        };
        match self {
            Plain::Above(at, bound) => format!("{} > {bound}%", NAMES[*at]),
            Plain::Below(at, bound) => format!("{}<0.{bound:02}", NAMES[*at]),
            Plain::Not(of) => format!("not ({})", of.text()),
            Plain::All(of) => joined(of, " and "),
            Plain::Any(of) => joined(of, " or"),
            Plain::For(span, of) => format!("({}) for {span}s", of.text()),
        }
    }

    /// Whether it is met at the last of these steps, each a second after the one before.
    fn met(&self, steps: &[[Option<u32>; 3]]) -> Option<bool> {
        let now = steps.last()?;
        match self {
            Plain::Above(at, bound) => now[*at].map(|value| value > *bound),
            Plain::Below(at, bound) => now[*at].map(|value| value < *bound),
            Plain::Not(of) => of.met(steps).map(|met| !met),
            Plain::All(of) => {
                let met: Vec<_> = of.iter().map(|p| p.met(steps)).collect();
                let known = met.iter().all(Option::is_some);
                if met.contains(&Some(false)) {
                    Some(false)
                } else {
                    known.then_some(true)
                }
            }
            Plain::Any(of) => {
                let met: Vec<_> = of.iter().map(|p| p.met(steps)).collect();
                let known = met.iter().all(Option::is_some);
                if met.contains(&Some(true)) {
                    Some(true)
                } else {
                    known.then_some(false)
                }
            }
            Plain::For(span, of) => {
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

fn plain() -> impl Strategy<Value = Plain> {
    let leaf = prop_oneof![
        (0..3usize, 1..99u32).prop_map(|(at, bound)| Plain::Above(at, bound)),
        (0..3usize, 1..99u32).prop_map(|(at, bound)| Plain::Below(at, bound)),
    ];
    leaf.prop_recursive(4, 24, 3, |inner| {
        prop_oneof![
            inner.clone().prop_map(|of| Plain::Not(Box::new(of))),
            proptest::collection::vec(inner.clone(), 2..4).prop_map(Plain::All),
            proptest::collection::vec(inner.clone(), 2..4).prop_map(Plain::Any),
            (0..4u64, inner).prop_map(|(span, of)| Plain::For(span, Box::new(of))),
        ]
    })
}

proptest! {
    #[test]
    fn it_agrees_with_the_plainest_evaluation(
        plain in plain(),
        steps in proptest::collection::vec([proptest::option::weighted(0.9, 0..100u32), proptest::option::weighted(0.9, 0..100u32), proptest::option::weighted(0.9, 0..100u32)], 1..12),
    ) {
        let text = plain.text();
        let mut condition = Condition::parse(&text).map_err(|e| TestCaseError::fail(format!("{text}: {e}")))?;
        for n in 1..=steps.len() {
            let mut signals = Signals::default();
            for (name, value) in ["cpu", "open"].iter().zip(&steps[n - 1]) {
                value.iter().for_each(|v| signals.set(Signal::named(name, None).expect("known"), f64::from(*v) / 100.0));
            }
            let late = Signal::named("lateness", Some("a")).expect("known");
            steps[n - 1][2].iter().for_each(|v| signals.set(late.clone(), f64::from(*v) / 100.0));
            prop_assert_eq!(condition.evaluate(n as u64 * S, &signals), plain.met(&steps[..n]), "{} at {}", &text, n);
        }
    }

    #[test]
    fn no_text_is_too_odd(text in "((not|and|or|for|cpu|open|lateness|list_age|2s|15%|0\\.3|>|<=|\\(|\\)|[a-z(])[ ]?|\\PC){0,40}") {
        let _ = Condition::parse(&text);
    }
}
