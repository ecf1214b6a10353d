//! From bytes to class: never a panic, and never safe where another parser reads a mutation.

#![no_main]

#[path = "../../crates/graphql/tests/common/oracle.rs"]
mod oracle;
#[path = "../../crates/graphql/tests/common/probe.rs"]
mod probe;

libfuzzer_sys::fuzz_target!(|data: &[u8]| probe::probe(data));
