//! Any text is read as a condition or refused in one line, never with a panic; what is read says the same again, and is
//! met, not met or not known at any values.

#![no_main]

use madderloom_degradation::{Condition, Signal, Signals};

libfuzzer_sys::fuzz_target!(|data: (&str, [f64; 4])| {
    let (text, values) = data;
    let mut condition = match Condition::parse(text) {
        Ok(condition) => condition,
        Err(error) => return assert!(!error.to_string().is_empty()),
    };
    let mut again = Condition::parse(&condition.to_string()).expect("what was read can be read");
    assert_eq!(condition, again);
    let mut signals = Signals::default();
    let names = [
        Signal::FailingServers,
        Signal::Goodput(None),
        Signal::UnknownOutcome,
        Signal::ListAge,
    ];
    names
        .into_iter()
        .zip(values)
        .for_each(|(signal, value)| signals.set(signal, value));
    for now in [0, 1_000_000, u64::MAX] {
        assert_eq!(
            condition.evaluate(now, &signals),
            again.evaluate(now, &signals)
        );
    }
    assert!(!condition.describe_values(&signals).contains('\n'));
    // Too many points is an answer too.
    let _ = condition.met_together(&again);
});
