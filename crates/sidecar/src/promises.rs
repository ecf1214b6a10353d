//! The figures that the pages name, against the constants of the code.

use super::listener::{LAME_DUCK, Manner};
use super::{client, counts, second_address, upload};

/// So many seconds, as pages write them.
fn seconds(micros: u64) -> String {
    format!("{} s", micros as f64 / 1e6)
}

#[test]
fn the_figures_of_the_pages_are_those_of_the_code() {
    let on_call = include_str!("../../../docs/on-call.md");
    let readme = include_str!("../../../README.md");
    let architecture = include_str!("../../../docs/architecture.md");
    let manner = Manner::usual();
    let mib = |bytes: u64| format!("{} MiB", bytes >> 20);
    let kib = |bytes: u64| format!("{} KiB", bytes >> 10);
    let lame_duck = LAME_DUCK.as_micros() as u64;
    for (page, told) in [
        (on_call, format!("{} callers are answered at once", second_address::CALLERS)),
        (on_call, format!("each is after {}", seconds(second_address::CALL_WITHIN))),
        (on_call, format!("{} classes are counted apart at most", counts::CLASSES)),
        (on_call, format!("from {} on, connections idle", seconds(madderloom_operations::duty::IDLE_STAYS))),
        (on_call, format!("idle for {} are closed", seconds(madderloom_operations::duty::IDLE_FOR))),
        (on_call, format!("after {} it closes idle ones", seconds(lame_duck))),
        (on_call, format!("Bodies up to {} are kept", mib(upload::KEPT as u64))),
        (on_call, format!("A client has {} for a head", seconds(manner.head_within))),
        (on_call, format!("must write {} kB of body a second", upload::SLOWEST / 1_000)),
        (on_call, format!("with {} to spare", seconds(upload::LAG))),
        (on_call, format!("Answers over {} go on", kib(super::BODY as u64))),
        (on_call, format!("takes nothing of one for {} is closed", seconds(client::STOPPED))),
        (on_call, format!("A turn of {} ms or more", madderloom_watchdog::LONG_TURN.as_millis())),
        (readme, format!("for {} it still takes what comes", seconds(LAME_DUCK.as_micros() as u64))),
        (readme, format!("or is over {}", mib(manner.body_size as u64))),
        (readme, format!("as it is {} after an answer", seconds(manner.idle_within))),
        (architecture, format!("A client has {} for a head", seconds(manner.head_within))),
        (architecture, format!("silent or idle for {}", seconds(manner.idle_within))),
        (architecture, format!("the second address has {} of", second_address::DESCRIPTORS)),
    ] {
        let words = |text: &str| text.split_whitespace().collect::<Vec<_>>().join(" ");
        assert!(words(page).contains(&told), "no page says: {told}");
    }
}
