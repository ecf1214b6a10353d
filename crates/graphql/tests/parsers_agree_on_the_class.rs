//! Two parsers beside the crate's own agree with it on the class of every document of a generated corpus; where they
//! don't, the stricter holds.

mod common;
#[path = "common/oracle.rs"]
mod oracle;
#[path = "common/probe.rs"]
mod probe;

use common::*;
use madderloom_graphql::*;
use oracle::Kind;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;

/// What stands between two tokens.
fn gap() -> impl Strategy<Value = String> {
    prop_oneof![
        6 => Just(" ".to_string()),
        2 => "[ \t\r\n,]{1,4}",
        1 => "#[a-z {}\"\\\\(]{0,10}(mutation|query|\"\"\")?[ {]?\n",
        1 => Just("#\r\n\u{feff} ".to_string()),
    ]
}

fn name() -> impl Strategy<Value = String> {
    prop_oneof![
        4 => "[a-z_][A-Za-z0-9_]{0,4}".prop_filter("a keyword of values or types", |name| {
            !matches!(name.as_str(), "on" | "true" | "false" | "null")
        }),
        1 => prop::sample::select(vec!["mutation", "query", "subscription", "fragment", "input", "type"]).prop_map(str::to_string),
    ]
}

fn string() -> impl Strategy<Value = String> {
    prop_oneof![
        "[ -!#-\\[\\]-~é{}]{0,8}".prop_map(|text| format!("\"{text}\"")),
        prop::sample::select(vec![
            "",
            "mutation { a }",
            "\\\"",
            "\\\\",
            "\\n",
            "\\u0041",
            "#",
            "\"\""
        ])
        .prop_map(|text| if text == "\"\"" {
            "\"\"".into()
        } else {
            format!("\"{text}\"")
        }),
        prop::sample::select(vec![
            "",
            " ",
            "mutation { a }",
            "\\\"\"\"",
            "\n\" \n",
            "#",
            "\"\" x",
            "\\n"
        ])
        .prop_map(|text| format!("\"\"\"{text}\"\"\"")),
    ]
}

type Tokens = Vec<String>;

fn words(words: &[&str]) -> Tokens {
    words.iter().map(|word| word.to_string()).collect()
}

fn value(constant: bool) -> impl Strategy<Value = Tokens> {
    let leaf = prop_oneof![
        prop::sample::select(vec![
            "0", "-12", "1.5e3", "true", "false", "null", "MUTATION", "mutation"
        ])
        .prop_map(|word| words(&[word])),
        string().prop_map(|string| vec![string]),
        name().prop_map(move |name| if constant {
            vec![name]
        } else {
            vec!["$".into(), name]
        }),
    ];
    leaf.prop_recursive(2, 8, 3, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..3).prop_map(|values| [
                words(&["["]),
                values.concat(),
                words(&["]"])
            ]
            .concat()),
            prop::collection::vec((name(), inner), 0..3).prop_map(|fields| {
                let fields: Tokens = fields
                    .into_iter()
                    .flat_map(|(name, value)| [vec![name, ":".into()], value].concat())
                    .collect();
                [words(&["{"]), fields, words(&["}"])].concat()
            }),
        ]
    })
}

fn arguments(constant: bool) -> impl Strategy<Value = Tokens> {
    prop::collection::vec((name(), value(constant)), 0..3).prop_map(|arguments| {
        if arguments.is_empty() {
            return Vec::new();
        }
        let all: Tokens = arguments
            .into_iter()
            .flat_map(|(name, value)| [vec![name, ":".into()], value].concat())
            .collect();
        [words(&["("]), all, words(&[")"])].concat()
    })
}

fn directives() -> impl Strategy<Value = Tokens> {
    prop::collection::vec((name(), arguments(true)), 0..2).prop_map(|all| {
        all.into_iter()
            .flat_map(|(name, arguments)| [vec!["@".into(), name], arguments].concat())
            .collect()
    })
}

fn selections() -> impl Strategy<Value = Tokens> {
    let leaf = prop_oneof![
        4 => (prop::option::of(name()), name(), arguments(false), directives()).prop_map(|(alias, name, arguments, directives)| {
            let alias = alias.map_or(Vec::new(), |alias| vec![alias, ":".into()]);
            [alias, vec![name], arguments, directives].concat()
        }),
        1 => (0u8..2, directives()).prop_map(|(n, directives)| [vec!["...".into(), format!("F{n}")], directives].concat()),
    ];
    let one = leaf.prop_recursive(3, 12, 3, |inner| {
        let set = prop::collection::vec(inner, 1..3).prop_map(|all| [words(&["{"]), all.concat(), words(&["}"])].concat());
        prop_oneof![
            3 => (name(), arguments(false), set.clone()).prop_map(|(name, arguments, set)| [vec![name], arguments, set].concat()),
            1 => (prop::option::of(name()), directives(), set).prop_map(|(on, directives, set)| {
                let on = on.map_or(Vec::new(), |on| vec![format!("on {on}")]);
                [words(&["..."]), on, directives, set].concat()
            }),
        ]
    });
    prop::collection::vec(one, 1..3)
        .prop_map(|all| [words(&["{"]), all.concat(), words(&["}"])].concat())
}

fn variables() -> impl Strategy<Value = Tokens> {
    let of_type = prop_oneof![Just(words(&["Int"])), Just(words(&["[mutation!]!"]))];
    prop::collection::vec((of_type, prop::option::of(value(true))), 0..3).prop_map(|all| {
        if all.is_empty() {
            return Vec::new();
        }
        let one = |(n, (of_type, default)): (usize, (Tokens, Option<Tokens>))| {
            let default = default.map_or(Vec::new(), |value| [words(&["="]), value].concat());
            [
                vec!["$".into(), format!("v{n}"), ":".into()],
                of_type,
                default,
            ]
            .concat()
        };
        [
            words(&["("]),
            all.into_iter().enumerate().flat_map(one).collect(),
            words(&[")"]),
        ]
        .concat()
    })
}

/// A document, and the operation that is asked for.
fn document() -> impl Strategy<Value = (Tokens, Option<String>)> {
    let kind = prop_oneof![3 => Just("query"), 3 => Just("mutation"), 1 => Just("subscription")];
    let operation = (kind, any::<bool>(), variables(), directives(), selections());
    let several = prop::collection::vec(operation, 1..4);
    (
        several,
        selections(),
        any::<prop::sample::Index>(),
        any::<bool>(),
    )
        .prop_map(|(operations, inner, which, short)| {
            let alone = operations.len() == 1;
            let mut tokens = Vec::new();
            let mut spread = false;
            for (n, (kind, named, variables, directives, set)) in operations.iter().enumerate() {
                spread |= set.iter().any(|token| token == "...");
                if alone && short && *kind == "query" {
                    tokens.push(set.clone());
                    continue;
                }
                let name = if alone && !named {
                    Vec::new()
                } else {
                    vec![format!("O{n}")]
                };
                tokens.push(
                    [
                        words(&[kind]),
                        name,
                        variables.clone(),
                        directives.clone(),
                        set.clone(),
                    ]
                    .concat(),
                );
            }
            if spread {
                // Its own spreads would make circles.
                let inner: Tokens = if inner.iter().any(|t| t == "...") {
                    words(&["{", "a", "}"])
                } else {
                    inner
                };
                for fragment in ["F0", "F1"] {
                    let at = if which.index(2) == 0 { 0 } else { tokens.len() };
                    tokens.insert(
                        at,
                        [words(&["fragment", fragment, "on Mutation"]), inner.clone()].concat(),
                    );
                }
            }
            let name = (!alone).then(|| format!("O{}", which.index(operations.len() + 1)));
            (tokens.concat(), name)
        })
}

/// Tokens with gaps between them; none is needed beside a sign.
fn written(tokens: &[String], gaps: &[String]) -> String {
    let is_word = |token: &str| {
        !matches!(
            token,
            "{" | "}" | "(" | ")" | "[" | "]" | ":" | "=" | "$" | "@" | "!" | "..."
        )
    };
    let mut text = String::new();
    let mut before = "{";
    for (n, token) in tokens.iter().enumerate() {
        // A comma may stand there too, but not all parsers know: see the test of where they disagree.
        let gap = &gaps[n % gaps.len()];
        let gap = if token == ":" || before == "..." {
            &gap.replace(',', " ")
        } else {
            gap
        };
        if (is_word(before) && is_word(token)) || n % 3 != 0 {
            text += gap;
        }
        text += token;
        before = token;
    }
    text + &gaps[0]
}

/// What the crate makes of a document: none where it holds it to be unsafe without knowing why.
fn ours(document: &str, operation: Option<&str>) -> Result<Option<Kind>, Code> {
    let body = serde_json::json!({ "query": document, "operationName": operation }).to_string();
    let mut front = front_with(|section| {
        section.limits.depth = 128;
        section.limits.aliases = 100_000;
        section.limits.fields = 100_000;
        section.limits.tokens = 100_000;
    });
    match class(&mut front, &Sent::post(body)) {
        Ok((_, Why::Query | Why::QueryOnce)) => Ok(Some(Kind::Query)),
        Ok((_, Why::Mutation | Why::Keyed)) => Ok(Some(Kind::Mutation)),
        Ok((class, _)) => {
            assert_eq!(class, "file", "what is not certain is unsafe");
            Ok(None)
        }
        Err(Code::SubscriptionUnsupported) => Ok(Some(Kind::Subscription)),
        Err(code) => Err(code),
    }
}

/// Never safe where another parser reads a mutation or a subscription.
fn is_strict(document: &str, operation: Option<&str>) -> Result<(), TestCaseError> {
    if let Ok(Some(Kind::Query)) = ours(document, operation) {
        for (parser, kind) in [
            ("async-graphql", oracle::async_graphql(document, operation)),
            (
                "graphql-parser",
                oracle::graphql_parser(document, operation),
            ),
        ] {
            prop_assert!(
                matches!(kind, None | Some(Kind::Query)),
                "{parser} reads {kind:?} in {document:?}"
            );
        }
    }
    Ok(())
}

#[test]
fn three_parsers_agree_on_a_generated_corpus() {
    let mut runner = TestRunner::new(cases(1));
    let corpus = (document(), prop::collection::vec(gap(), 4..12));
    let mut agreed = [0; 4];
    for _ in 0..600 {
        let ((tokens, name), gaps) = corpus.new_tree(&mut runner).expect("a document").current();
        let (document, name) = (written(&tokens, &gaps), name.as_deref());
        let ours = ours(&document, name).expect("within the limits");
        let others = [
            oracle::async_graphql(&document, name),
            oracle::graphql_parser(&document, name),
        ];
        for other in others {
            // One that reads nothing is a matter of the test below.
            assert!(
                other.is_none() || other == ours,
                "{ours:?}, {others:?}: {document:?} {name:?}"
            );
        }
        if others == [ours, ours] {
            agreed[ours.map_or(3, |kind| kind as usize)] += 1;
        }
    }
    // Of each kind there were many, and all three read nearly every document.
    assert!(
        agreed.iter().all(|kind| *kind > 30) && agreed.iter().sum::<i32>() > 590,
        "{agreed:?}"
    );
}

#[test]
fn where_parsers_disagree_the_stricter_holds() {
    use Kind::{Mutation, Query};
    // The document; what async-graphql-parser, graphql-parser and the crate make of it.
    for (document, others, stricter) in [
        // Words grown together: the specification reads one name.
        ("mutationM{a}", [Some(Mutation), None], None),
        ("queryQ{a}", [Some(Query), None], None),
        // A string that begins with an end of line.
        ("{a(b:\"\nmutation\")}", [None, None], Some(Query)),
        // An argument without a value.
        ("{a(b)}", [None, None], Some(Query)),
        // Halves of pairs, and code points in braces.
        ("{a(b:\"\\ud83d\\ude00\")}", [None, None], Some(Query)),
        ("{a(b:\"\\u{1f600}\")}", [None, None], Some(Query)),
        // A comma between an alias and its colon, and before the name of a fragment.
        ("{a,:b}", [Some(Query), Some(Query)], None),
        (
            "{...,F}fragment F on A{a}",
            [Some(Query), Some(Query)],
            None,
        ),
        // Gaps within a type, and a comment behind `on`.
        ("query($a:[ A ]){a}", [None, Some(Query)], Some(Query)),
        (
            "{...F}fragment F on#x\nA{a}",
            [None, Some(Query)],
            Some(Query),
        ),
        // Definitions of types.
        ("type A{a:Int} query{a}", [None, None], None),
        ("{a(b:01)}", [None, None], None),
    ] {
        let told = [
            oracle::async_graphql(document, None),
            oracle::graphql_parser(document, None),
        ];
        assert_eq!(told, others, "{document:?}");
        assert_eq!(ours(document, None), Ok(stricter), "{document:?}");
        is_strict(document, None).expect("never safe where another reads a mutation");
    }
}

proptest! {
    #![proptest_config(cases(400))]

    #[test]
    fn a_spoilt_document_is_never_safe_where_another_parser_reads_a_mutation(
        ((tokens, name), gaps) in (document(), prop::collection::vec(gap(), 4..12)),
        at in any::<prop::sample::Index>(),
        cut in 0usize..3,
        put in prop_oneof!["[{}()\"#\n\r\\\\:,.@$!]{0,2}", Just("mutation".to_string()), Just("\"\"\"".to_string()), "\\PC"],
    ) {
        let mut letters: Vec<char> = written(&tokens, &gaps).chars().collect();
        let at = at.index(letters.len());
        let end = (at + cut).min(letters.len());
        letters.splice(at..end, put.chars());
        let document: String = letters.into_iter().collect();
        is_strict(&document, name.as_deref())?;
    }

    /// The twin of the fuzz target `graphql_class`.
    #[test]
    fn no_bytes_are_too_odd(
        how: u8,
        bytes in prop_oneof![
            prop::collection::vec(any::<u8>(), 0..80),
            "[ -~é\n]{0,60}".prop_map(String::into_bytes),
            "(\\[|\\{|\"query\":|\"(query|mutation) ?M?\\{a\\}\"|\"operationName\":|\"M\"|,|\\}|\\]| ){0,12}".prop_map(String::into_bytes),
        ],
    ) {
        probe::probe(&[&[how], bytes.as_slice()].concat());
    }
}
