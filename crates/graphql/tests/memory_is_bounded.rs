//! What classing holds in memory is what it counts, and no message makes it take much more than the message.
//! `cargo test -p madderloom-graphql --test memory_is_bounded -- --nocapture` prints the figures.

mod common;

use common::*;
use madderloom_graphql::Section;
use peak_alloc::PeakAlloc;
use std::fmt::Write;

#[global_allocator]
static MEMORY: PeakAlloc = PeakAlloc;

// One test: the allocator counts for all threads.
#[test]
fn tables_take_what_they_are_counted_for_and_messages_a_bounded_multiple_of_their_size() {
    tables();
    messages();
}

fn tables() {
    for (kind, document) in [
        (
            "a query",
            "query Board {{ report(id: 7) {{ status }} x{} }}",
        ),
        (
            "a mutation with a key in its variables",
            "mutation F{}($i: In!) {{ fileReport(input: $i) {{ id }} }}",
        ),
    ] {
        let mut front = front_with(|section| section.remember.bytes.0 = 64 << 20);
        let sent: Vec<Sent> = (0..5_000)
            .map(|n| {
                Sent::post(persisted(
                    &document
                        .replace("{}", &n.to_string())
                        .replace("{{", "{")
                        .replace("}}", "}"),
                    true,
                ))
            })
            .collect();
        let before = MEMORY.current_usage();
        for sent in &sent {
            class(&mut front, sent).expect("it is learned");
        }
        let taken = MEMORY.current_usage() - before;
        let (entries, counted) = front.usage().persisted;
        println!(
            "{kind}: {entries} entries, {} B each, counted as {}",
            taken / entries,
            counted / entries
        );
        assert_eq!(entries, 5_000);
        assert!(
            taken < counted + counted / 4 && taken > counted / 2,
            "{taken} B, counted as {counted}"
        );
    }
}

fn messages() {
    let fill = |open: &str, piece: &str, close: &str| {
        let mut text = open.to_string();
        while text.len() + piece.len() + close.len() < 60 << 10 {
            text += piece;
        }
        text + close
    };
    let fields = |count: usize| {
        let mut text = String::from("{");
        for n in 0..count {
            let _ = write!(text, "f{n}(a:{n}) ");
        }
        text + "}"
    };
    let board = text(&fields(1_200));
    let worst = [
        ("fields with arguments", board.clone()),
        (
            "tokens of one letter",
            text(&format!("{{a(b:[{}])}}", "1 ".repeat(7_980))),
        ),
        ("commas", text(&format!("{{a{}}}", ",".repeat(31_900)))),
        ("comments", text(&format!("{{a{}}}", "#\n".repeat(15_900)))),
        (
            "what is no token",
            text(&format!("{{a{}}}", "? ".repeat(7_900))),
        ),
        (
            "names of a message's variables",
            fill(r#"{"query":"{a}","variables":{"":1"#, r#","":1"#, "}}"),
        ),
        (
            "names of a message",
            fill(r#"{"query":"{a}""#, r#","":1"#, "}"),
        ),
        ("elements", fill("[7", ",7", "]")),
        ("escapes", fill(r#"{"query":"{a}"#, r"\u0020", r#""}"#)),
        (
            "a batch",
            format!("[{}]", vec![text(&fields(220)); 16].join(",")),
        ),
    ];
    for (kind, body) in worst {
        assert!(body.len() <= 64 << 10, "{kind}: {}", body.len());
        let section = Section::default();
        let mut front = front_with(|ours| {
            ours.limits = section.limits;
            ours.batch = section.batch;
        });
        let sent = Sent::post(body);
        MEMORY.reset_peak_usage();
        let before = MEMORY.current_usage();
        let told = class(&mut front, &sent);
        let peak = MEMORY.peak_usage() - before;
        println!(
            "{kind}: {} KiB at most for {} KiB: {told:?}",
            peak >> 10,
            sent.body.len() >> 10
        );
        assert!(peak < 4 << 20, "{kind}: {peak}");
    }
}
