//! The operator file's section: every problem at once, each with its field and place.

mod common;

use common::*;

#[test]
fn a_section_of_two_classes_is_enough() {
    assert!(policy("[graphql]\nquery = \"read\"\nmutation = \"file\"\n").is_ok());
}

#[test]
fn every_problem_is_told_at_its_place() {
    let told = policy(
        r#"[graphql]
query = "file"
mutation = "fiel"
[graphql.limits]
depth = 129
name = "0B"
[graphql.operations.Dashboard]
class = "bord"
[graphql.queries."a-b"]
subject = "id."
[graphql.mutations.fileReport]
effect = "keyed"
class = "file"
[graphql.mutations.pay]
key = "key"
[graphql.mutations.wipe]
cost = "a b"
[graphql.batch]
operations = 5000
"#,
    )
    .expect_err("problems");
    let wanted = [
        "2:9: graphql.query: the effect of \"file\" is not safe; name a class that is",
        "3:12: graphql.mutation: \"fiel\" is no class; there are read, board, file, file-slow, keyed, keyed-cell",
        "5:9: graphql.limits.depth: is 129; it must lie in 1..=128",
        "6:8: graphql.limits.name: is 0; it must lie in 1..=65536",
        "8:9: graphql.operations.Dashboard.class: \"bord\" is no class; there are read, board, file, file-slow, keyed, keyed-cell",
        "9:1: graphql.queries.a-b: is no GraphQL name; use letters, digits and _",
        "10:11: graphql.queries.a-b.subject: \"id.\" is no path; write an argument and fields of it, such as \"input.clientMutationId\"",
        "11:1: graphql.mutations.fileReport.key: is missing; name the argument that holds it, such as \"input.clientMutationId\"",
        "13:9: graphql.mutations.fileReport.class: the effect of \"file\" is not keyed; name a class that is",
        "14:1: graphql.mutations.pay.effect: is unsafe, while a key or a class is named; write effect = \"keyed\"",
        "17:8: graphql.mutations.wipe.cost: \"a b\" is no path; write an argument and fields of it, such as \"input.clientMutationId\"",
        "19:14: graphql.batch.operations: is 5000; it must lie in 0..=1000",
    ];
    for wanted in wanted {
        assert!(
            told.iter().any(|told| told == wanted),
            "{wanted} is not in {told:#?}"
        );
    }
    assert_eq!(told.len(), wanted.len(), "{told:#?}");
}

#[test]
fn what_is_missing_or_not_known_is_told() {
    let told = policy("[graphql]\nqurey = \"read\"\n").expect_err("problems");
    assert!(
        told.iter()
            .any(|told| told.contains("graphql.qurey: is not known; did you mean query?")),
        "{told:?}"
    );
    let told = policy("[graphql]\n").expect_err("problems");
    assert!(
        told.iter()
            .any(|told| told.contains("graphql.query: is missing; name a class that is safe")),
        "{told:?}"
    );
    assert!(
        told.iter()
            .any(|told| told.contains("graphql.mutation: is missing; name a class that is unsafe"))
    );
}
