//! Limits hold before a document is sent, each with an error of its own, and cost little to check.

mod common;

use common::*;
use madderloom_graphql::*;
use std::fmt::Write;

fn fault(front: &mut Front, document: &str) -> Option<Code> {
    class(front, &Sent::post(text(document))).err()
}

/// A limit is met by the first document, and broken by the second.
fn between(inside: &str, outside: &str, code: Code) {
    assert_eq!(fault(&mut front(), inside), None, "{code:?}: {inside}");
    assert_eq!(fault(&mut front(), outside), Some(code), "{outside}");
}

#[test]
fn bytes() {
    let body = |bytes: usize| {
        let mut body = text("{a}");
        body.extend(std::iter::repeat_n(' ', bytes - body.len()));
        Sent::post(body)
    };
    assert_eq!(class(&mut front(), &body(64 << 10)), is("read", Why::Query));
    assert_eq!(
        class(&mut front(), &body((64 << 10) + 1)),
        Err(Code::BodyTooLarge)
    );
    let url = format!("query={{a}}&apiKey={}", "x".repeat(64 << 10));
    assert_eq!(
        class(&mut front(), &Sent::get(url)),
        Err(Code::BodyTooLarge)
    );
}

#[test]
fn tokens() {
    let arguments = |count: usize| format!("{{a(b: [{}])}}", "1 ".repeat(count));
    between(&arguments(1_991), &arguments(1_992), Code::TooManyTokens);
    // White space, commas and comments are none, but they have an end as well.
    let spaced = |count: usize| format!("{{a {}}}", ",#,\n ".repeat(count));
    between(&spaced(1_900), &spaced(3_000), Code::TooManyTokens);
    // What is no token counts too: the rest could be one to a server.
    let odd = format!("{{a}} ? {}", "1 ".repeat(2_000));
    assert_eq!(fault(&mut front(), &odd), Some(Code::TooManyTokens));
}

#[test]
fn depth() {
    let nested = |depth: usize| format!("{}{}", "{a".repeat(depth), "}".repeat(depth));
    between(&nested(8), &nested(9), Code::TooDeep);
    let by_fragments = |depth: usize| {
        let chain = (0..depth - 1).fold(String::new(), |mut text, n| {
            let _ = write!(text, " fragment F{n} on X {{ a {{ ...F{} }} }}", n + 1);
            text
        });
        format!("{{ ...F0 }} {chain} fragment F{} on X {{ a }}", depth - 1)
    };
    between(&by_fragments(8), &by_fragments(9), Code::TooDeep);
    // Inline fragments add no level to an answer, values none either; but neither may go on for ever.
    let inline = |depth: usize| format!("{{{} a {}}}", "...{".repeat(depth), "}".repeat(depth));
    between(&inline(23), &inline(24), Code::TooDeep);
    let value = |depth: usize| format!("{{a(b: {}1{})}}", "[".repeat(depth), "]".repeat(depth));
    between(&value(22), &value(23), Code::TooDeep);
    let object = |depth: usize| format!("{{a(b: {}1{})}}", "{c:".repeat(depth), "}".repeat(depth));
    between(&object(22), &object(23), Code::TooDeep);
    let of_type = |depth: usize| {
        format!(
            "query($x: {}T{}) {{a}}",
            "[".repeat(depth),
            "]".repeat(depth)
        )
    };
    between(&of_type(23), &of_type(24), Code::TooDeep);
}

#[test]
fn nesting_by_the_thousand_ends_no_stack() {
    for open in ["{a", "{a(b:[", "{a(b:{c:", "...{", "[", "(", "query($a:["] {
        let nested = format!("{{a {}", open.repeat(900));
        let told = fault(&mut front(), &nested);
        assert!(
            matches!(told, Some(Code::TooDeep | Code::TooManyTokens)),
            "{open}: {told:?}"
        );
    }
    // As deep as may be allowed, by the parser's own recursion, on a small stack.
    let deepest = std::thread::Builder::new().stack_size(1 << 20).spawn(|| {
        let mut front = front_with(|section| {
            section.limits.depth = 128;
            section.limits.tokens = 100_000;
        });
        for (open, close) in [("{a", "}"), ("{a(b:[", "])}")] {
            let depth = if open == "{a" { 128 } else { 48 };
            let nested = format!("{}{}", open.repeat(depth), close.repeat(depth));
            let _ = fault(&mut front, &nested);
        }
        let values = format!("{{a(b: {}1{})}}", "[".repeat(140), "]".repeat(140));
        assert_eq!(fault(&mut front, &values), None);
        let objects = format!("{{a(b: {}1{})}}", "{c:".repeat(140), "}".repeat(140));
        assert_eq!(fault(&mut front, &objects), None);
        let nested = format!("{}{}", "{a".repeat(128), "}".repeat(128));
        assert_eq!(fault(&mut front, &nested), None);
    });
    deepest
        .expect("a thread")
        .join()
        .expect("the stack is enough");
}

#[test]
fn json_nested_by_the_thousand() {
    let nested = |open: &str, close: &str, depth: usize| {
        let value = format!("{}{}", open.repeat(depth), close.repeat(depth));
        Sent::post(format!(
            r#"{{"query":"{{a}}","variables":{{"a":{value}}}}}"#
        ))
    };
    assert_eq!(
        class(&mut front(), &nested("[", "]", 62)),
        is("read", Why::Query)
    );
    assert_eq!(
        class(&mut front(), &nested("[", "]", 63)),
        Err(Code::JsonTooDeep)
    );
    assert_eq!(
        class(&mut front(), &nested(r#"{"a":"#, "}", 5_000)),
        Err(Code::JsonTooDeep)
    );
    assert_eq!(
        class(&mut front(), &Sent::post("[".repeat(60_000))),
        Err(Code::JsonTooDeep)
    );
    // Brackets within strings nest nothing.
    let quoted = format!(
        r#"{{"query":"{{a}}","variables":{{"a":"\\\"{}"}}}}"#,
        "[".repeat(200)
    );
    assert_eq!(
        class(&mut front(), &Sent::post(quoted)),
        is("read", Why::Query)
    );
    let url = format!("query={{a}}&variables={}", "[".repeat(500));
    assert_eq!(class(&mut front(), &Sent::get(url)), Err(Code::JsonTooDeep));
}

#[test]
fn aliases() {
    let aliased = |count: usize| {
        (0..count).fold(String::from("{"), |mut text, n| {
            let _ = write!(text, "a{n}:b ");
            text
        }) + "}"
    };
    between(&aliased(20), &aliased(21), Code::TooManyAliases);
    let spread =
        |count: usize| format!("{{{}}} fragment F on X {{a:b c:d}}", "...F ".repeat(count));
    between(&spread(10), &spread(11), Code::TooManyAliases);
    let mut front = front_with(|section| {
        section.limits.tokens = 100_000;
        section.limits.fields = 100_000;
    });
    assert_eq!(
        fault(&mut front, &aliased(7_000)),
        Some(Code::TooManyAliases),
        "as many as fit"
    );
}

#[test]
fn fields_and_fragments_that_grow_without_end() {
    between(
        &format!("{{{}}}", "a ".repeat(300)),
        &format!("{{{}}}", "a ".repeat(301)),
        Code::TooManyFields,
    );
    // Sixty doublings: 2^60 fields, in a kilobyte or two.
    let mut bomb = String::from("{ ...F0 }");
    for n in 0..60 {
        let _ = write!(bomb, " fragment F{n} on X {{ ...F{0} ...F{0} }}", n + 1);
    }
    bomb += " fragment F60 on X { a }";
    assert_eq!(fault(&mut front(), &bomb), Some(Code::TooManyFields));
    // Two hundred: more than any number of 64 bits.
    let mut bomb = String::from("{ ...F0 }");
    for n in 0..200 {
        let _ = write!(bomb, " fragment F{n} on X {{ ...F{0} ...F{0} }}", n + 1);
    }
    bomb += " fragment F200 on X { a }";
    assert_eq!(
        fault(
            &mut front_with(|section| section.limits.tokens = 100_000),
            &bomb
        ),
        Some(Code::TooManyFields)
    );
}

#[test]
fn a_chain_of_fragments_as_long_as_a_document_ends_no_stack() {
    let mut chain = String::from("{ ...F0 }");
    for n in 0..1_700 {
        let _ = write!(chain, " fragment F{n} on X {{ ...F{} }}", n + 1);
    }
    chain += " fragment F1700 on X { a }";
    assert_eq!(
        fault(
            &mut front_with(|section| section.limits.tokens = 100_000),
            &chain
        ),
        None
    );
}

#[test]
fn fragments_that_spread_in_circles() {
    for circle in [
        "{ ...F } fragment F on X { ...F }",
        "{ ...F } fragment F on X { a { ...G } } fragment G on X { ... on Y { ...F } }",
        "{ a } fragment F on X { ...G } fragment G on X { ...F }",
        "mutation { ...F } fragment F on X { ...F }",
    ] {
        assert_eq!(
            fault(&mut front(), circle),
            Some(Code::FragmentCycle),
            "{circle}"
        );
    }
    for none in [
        "{ ...F ...F ...G } fragment F on X { ...G } fragment G on X { a }",
        "{ ...F } fragment F on X { F }",
        "{ ...Nowhere }",
    ] {
        assert_eq!(fault(&mut front(), none), None, "{none}");
    }
}

#[test]
fn names_of_64_kib() {
    let name = |bytes: usize| "n".repeat(bytes);
    between(
        &format!("{{{}}}", name(64)),
        &format!("{{{}}}", name(65)),
        Code::NameTooLong,
    );
    let long = name(60 << 10);
    for document in [
        format!("{{{long}}}"),
        format!("query {long} {{a}}"),
        format!("{{a(b: {long})}}"),
        format!("{{a @{long}}}"),
        format!("query(${long}: X) {{a}}"),
        format!("{{...{long}}}"),
        long.clone(),
    ] {
        assert_eq!(
            fault(&mut front(), &document),
            Some(Code::NameTooLong),
            "{}",
            &document[..20]
        );
    }
    // A name of JSON is none of GraphQL, and goes no further than the message.
    let odd = Sent::post(format!(r#"{{"query":"{{a}}","{long}":1}}"#));
    assert_eq!(class(&mut front(), &odd), is("file", Why::OddMessage));
}

#[test]
fn operations_of_a_batch() {
    let batch = |count: usize| Sent::post(format!("[{}]", vec![text("{a}"); count].join(",")));
    assert_eq!(class(&mut front(), &batch(4)), is("read", Why::Query));
    assert_eq!(class(&mut front(), &batch(5)), Err(Code::BatchTooLarge));
    assert_eq!(
        class(
            &mut front(),
            &Sent::post(format!("[{}]", ["7"; 20_000].join(",")))
        ),
        Err(Code::BatchTooLarge)
    );
    assert_eq!(
        class(
            &mut front_with(|section| section.batch.operations = 0),
            &batch(1)
        ),
        Err(Code::BatchTooLarge)
    );
}

#[test]
fn parameters_and_names_by_the_thousand() {
    let url = "a=b&".repeat(1_000);
    assert_eq!(class(&mut front(), &Sent::get(url)), Err(Code::BadRequest));
    let names: Vec<String> = (0..1_000).map(|n| format!("\"n{n}\":1")).collect();
    let body = format!("{{\"query\":\"{{a}}\",{}}}", names.join(","));
    assert_eq!(
        class(&mut front(), &Sent::post(body)),
        Err(Code::BadRequest)
    );
}

#[test]
fn every_limit_has_an_error_of_its_own_that_names_it() {
    let mut codes = std::collections::BTreeSet::new();
    for (document, told) in [
        (format!("{{a(b: [{}])}}", "1 ".repeat(3_000)), "2000 tokens"),
        (format!("{}{}", "{a".repeat(9), "}".repeat(9)), "8 levels"),
        (format!("{{{}}}", "x:a ".repeat(21)), "20 aliases"),
        (format!("{{{}}}", "a ".repeat(301)), "300 fields"),
        (format!("{{{}}}", "n".repeat(65)), "at most 64"),
        ("{...F} fragment F on X {...F}".to_string(), "circle"),
    ] {
        let sent = Sent::post(text(&document));
        let rejection = sent.to(&mut front()).expect_err("it breaks a limit");
        assert!(
            rejection.fault.message.contains(told),
            "{}",
            rejection.fault.message
        );
        assert_eq!(rejection.fault.code.status(), 400);
        assert!(
            codes.insert(rejection.fault.code.name()),
            "{} stands for two limits",
            rejection.fault.code.name()
        );
    }
}
