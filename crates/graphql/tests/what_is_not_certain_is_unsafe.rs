//! An operation is of a class that may be repeated only where that is certain.

mod common;

use common::*;
use http::header;
use madderloom_balancer::RetrySafety;
use madderloom_graphql::*;
use serde_json::json;

#[test]
fn a_query_is_safe_and_a_mutation_is_not() {
    for query in [
        "{a}",
        "query{a}",
        "query Q($x: [Int!]! = [1]) @d(a: 1) { a(b: $x) { c } }",
    ] {
        assert_eq!(of(query), is("read", Why::Query), "{query}");
    }
    for mutation in [
        "mutation{a}",
        "mutation M { a { b } }",
        "mutation { __typename }",
    ] {
        assert_eq!(of(mutation), is("file", Why::Mutation), "{mutation}");
    }
}

#[test]
fn a_subscription_is_refused_also_where_another_operation_is_beside_it() {
    assert_eq!(of("subscription { a }"), Err(Code::SubscriptionUnsupported));
    let several = "query Q { a } subscription S { a }";
    assert_eq!(
        class(&mut front(), &Sent::post(named(several, "S"))),
        Err(Code::SubscriptionUnsupported)
    );
    assert_eq!(
        class(&mut front(), &Sent::post(named(several, "Q"))),
        is("read", Why::Query)
    );
}

#[test]
fn the_name_picks_the_operation() {
    let several = "query Q { a } mutation M { a } query R { a }";
    for (name, class_and_why) in [
        ("Q", is("read", Why::Query)),
        ("M", is("file", Why::Mutation)),
        ("R", is("read", Why::Query)),
        ("m", is("file", Why::NoOperation)),
        ("", is("file", Why::NoOperation)),
    ] {
        assert_eq!(
            class(&mut front(), &Sent::post(named(several, name))),
            class_and_why,
            "{name:?}"
        );
    }
    assert_eq!(of(several), is("file", Why::NoOperation), "no name");
    assert_eq!(
        of("query Q { a } query R { a }"),
        is("file", Why::NoOperation),
        "no name among queries"
    );
    let escaped = r#"{"query":"query Q{a} mutation M{a}","operationN\u0061me":"\u004d"}"#;
    assert_eq!(
        class(&mut front(), &Sent::post(escaped)),
        is("file", Why::Mutation)
    );
}

#[test]
fn names_given_twice_in_a_document_leave_nothing_certain() {
    for odd in [
        "query A { a } mutation A { a }",
        "{ a } query B { a }",
        "{ a } { b }",
        "{ ...F } fragment F on Query { a } fragment F on Query { b }",
        "type Query { a: Int } { a }",
        "extend type Query { a: Int } { a }",
    ] {
        assert_eq!(of(odd), is("file", Why::Unread), "{odd}");
        assert_eq!(
            class(&mut front(), &Sent::post(named(odd, "B"))),
            is("file", Why::Unread),
            "{odd}"
        );
    }
}

#[test]
fn a_mutation_is_found_behind_whatever_stands_before_it() {
    for hidden in [
        "# query { a }\nmutation { a }",
        "# query { a }\rmutation { a }",
        "#\u{2028}query { a }\nmutation { a }",
        "\u{feff}mutation { a }",
        ",,, \t\r\n,mutation,M,{,a,}",
        "mutation#x\n{a}",
        "mutation M($a: String = \"query { a }\") { a(b: $a) }",
        "mutation M($a: String = \"\"\"\nquery { \\\"\"\" } \n\"\"\") { a(b: $a) }",
        "mutation @skip(if: true) { a }",
        "mutation { a @skip(if: true) }",
        "mutation { query: a }",
        "mutation query { a }",
    ] {
        assert_eq!(of(hidden), is("file", Why::Mutation), "{hidden:?}");
    }
}

#[test]
fn the_word_mutation_alone_makes_no_mutation() {
    for query in [
        "{ mutation }",
        "{ mutation: a }",
        "query mutation { a }",
        "{ a(b: \"mutation { c }\") }",
        "{ a(b: \"\\\" mutation { c }\") }",
        "{ a(b: \"\"\"mutation { c } \\\"\"\" mutation \"\"\") }",
        "# mutation { a }\n{ a }",
        "query Q($mutation: Int) { a(mutation: $mutation) @mutation }",
        "{ ...mutation } fragment mutation on Query { a }",
        "{ ... on mutation { a } }",
        "{ a(b: mutation) }",
        "{ a(b: \"\\u006dutation\") }",
    ] {
        assert_eq!(of(query), is("read", Why::Query), "{query:?}");
    }
}

#[test]
fn a_text_that_is_not_read_is_unsafe() {
    for odd in [
        "mutationM{a}",
        "queryQ{a}",
        "query",
        "{",
        "{}",
        "{a}}",
        "{a} mutation",
        "{ a(b: \"open) }",
        "{ a(b: \"\"\"open) }",
        "{ a } \u{0} mutation { a }",
        "qu\\u0065ry { a }",
        "Mutation { a }",
        "\"about\" query { a }",
        "{ a(b: 01) }",
        "...",
        "é",
        "{ é",
        " ",
    ] {
        assert_eq!(of(odd), is("file", Why::Unread), "{odd:?}");
    }
}

#[test]
fn escapes_of_json_hide_nothing() {
    let escaped = r#"{"qu\u0065ry":"\u006dut\u0061tion{\u0061}"}"#;
    assert_eq!(
        class(&mut front(), &Sent::post(escaped)),
        is("file", Why::Mutation)
    );
    let lone = r#"{"query":"{a(b:\"\ud800\")}"}"#;
    assert_eq!(
        class(&mut front(), &Sent::post(lone)),
        Err(Code::BadRequest),
        "half of a pair"
    );
    let marked = format!("\u{feff} \n{}", text("mutation{a}"));
    assert_eq!(
        class(&mut front(), &Sent::post(marked)),
        is("file", Why::Mutation),
        "byte order mark"
    );
    let mut broken = text("{a(b:\"x\")}").into_bytes();
    let at = broken.iter().position(|b| *b == b'x').expect("x");
    broken[at] = 0xff;
    assert_eq!(
        class(&mut front(), &Sent::post(broken)),
        Err(Code::BadRequest),
        "no UTF-8"
    );
}

#[test]
fn a_name_given_twice_in_json_is_refused_in_whatever_way_it_is_written() {
    for odd in [
        r#"{"query":"{a}","query":"mutation{a}"}"#,
        r#"{"query":"mutation{a}","query":"{a}"}"#,
        r#"{"query":"{a}","qu\u0065ry":"mutation{a}"}"#,
        r#"{"query":"{a}","Query":"mutation{a}"}"#,
        r#"{"QUERY":"mutation{a}"}"#,
        r#"{"query":"query Q{a} mutation M{a}","operationName":"Q","operationName":"M"}"#,
        r#"{"query":"{a}","variables":{},"variables":{}}"#,
        r#"{"query":"{a}","extensionſ":{}}"#,
        r#"{"query":"{a}","extensions":{"persistedQuery":{},"persistedQuery":{}}}"#,
        r#"{"query":"{a}","extensions":{"persistedquery":{}}}"#,
        r#"{"query":"{a}","extensions":{"persistedQuery":{"version":1,"sha256Hash":"a","sha256Hash":"b"}}}"#,
    ] {
        assert_eq!(
            class(&mut front(), &Sent::post(odd)),
            Err(Code::AmbiguousRequest),
            "{odd}"
        );
    }
}

#[test]
fn a_name_that_is_not_known_makes_a_message_unsafe_unless_the_operator_knows_it() {
    let odd = Sent::post(r#"{"query":"{a}","documentId":"7"}"#);
    assert_eq!(class(&mut front(), &odd), is("file", Why::OddMessage));
    let alone = Sent::post(r#"{"documentId":"7"}"#);
    assert_eq!(class(&mut front(), &alone), is("file", Why::OddMessage));
    let known = Sent::post(r#"{"query":"{a}","apiKey":"7"}"#).url("apiKey=7");
    assert_eq!(class(&mut front(), &known), is("read", Why::Query));
    let url = Sent::post(text("{a}")).url("documentId=7");
    assert_eq!(class(&mut front(), &url), is("file", Why::OddMessage));
    let later = r#"{"query":"{a}","extensions":{"persistedQuery":{"version":2,"sha256Hash":"7"}}}"#;
    assert_eq!(
        class(&mut front(), &Sent::post(later)),
        is("file", Why::OddMessage)
    );
}

#[test]
fn messages_of_other_forms_are_refused() {
    for odd in [
        "",
        "null",
        "7",
        "\"{a}\"",
        "{}",
        "{\"query\":null}",
        "{\"query\":7}",
        "{\"query\":\"\"}",
        "{\"query\":[\"{a}\"]}",
        "{\"query\":\"{a}\",\"operationName\":7}",
        "{\"query\":\"{a}\",\"variables\":[]}",
        "{\"query\":\"{a}\",\"variables\":\"{}\"}",
        "{\"query\":\"{a}\",\"extensions\":7}",
        "{\"query\":\"{a}\"} {\"query\":\"{a}\"}",
        "{\"query\":\"{a}\",}",
        "query=%7Ba%7D",
        "[]",
        "[[{\"query\":\"{a}\"}]]",
        "[{\"query\":\"{a}\"}] 7",
        "[7]",
    ] {
        assert_eq!(
            class(&mut front(), &Sent::post(odd)),
            Err(Code::BadRequest),
            "{odd}"
        );
    }
    let nulls = r#"{"query":"{a}","operationName":null,"variables":null,"extensions":null}"#;
    assert_eq!(
        class(&mut front(), &Sent::post(nulls)),
        is("read", Why::Query)
    );
}

#[test]
fn only_json_in_utf_8_is_read() {
    let post = |media| {
        Sent::post(text("{a}"))
            .without(header::CONTENT_TYPE)
            .header(header::CONTENT_TYPE, media)
    };
    for media in [
        "application/json",
        "Application/JSON; charset=utf-8",
        "application/json;charset=\"UTF-8\"",
        "application/json; x=y",
    ] {
        assert_eq!(
            class(&mut front(), &post(media)),
            is("read", Why::Query),
            "{media}"
        );
    }
    for media in [
        "application/x-www-form-urlencoded",
        "application/graphql",
        "multipart/form-data; boundary=x",
        "text/plain",
        "application/jsonp",
        "application/json; charset=utf-16",
        "application/json; charset=latin1",
        "application/json, application/x-www-form-urlencoded",
    ] {
        assert_eq!(
            class(&mut front(), &post(media)),
            Err(Code::UnsupportedMediaType),
            "{media}"
        );
    }
    let twice =
        post("application/json").header(header::CONTENT_TYPE, "application/x-www-form-urlencoded");
    assert_eq!(
        class(&mut front(), &twice),
        Err(Code::UnsupportedMediaType),
        "two types"
    );
    let none = Sent::post(text("{a}")).without(header::CONTENT_TYPE);
    assert_eq!(
        class(&mut front(), &none),
        Err(Code::UnsupportedMediaType),
        "no type"
    );
    let packed = Sent::post(text("{a}")).header(header::CONTENT_ENCODING, "gzip");
    assert_eq!(
        class(&mut front(), &packed),
        Err(Code::UnsupportedMediaType),
        "encoded"
    );
}

#[test]
fn a_body_that_is_a_form_and_json_is_read_as_what_its_type_says() {
    // As a form, this is the parameter `query`; as JSON it is no message.
    let both = r#"query=mutation{a}&x={"query":"{a}"}"#;
    assert_eq!(
        class(&mut front(), &Sent::post(both)),
        Err(Code::BadRequest)
    );
    // As JSON it is a message; as a form, some parameter.
    let form = Sent::post(r#"{"query":"{a}","x":"&query=mutation{a}&"}"#)
        .without(header::CONTENT_TYPE)
        .header(header::CONTENT_TYPE, "application/x-www-form-urlencoded");
    assert_eq!(class(&mut front(), &form), Err(Code::UnsupportedMediaType));
}

#[test]
fn a_url_that_carries_graphql_beside_a_body_is_refused() {
    for url in [
        "query={a}",
        "QUERY={a}",
        "x=1&qu%65ry={a}",
        "operationName=A",
        "variables={}",
        "extensions={}",
    ] {
        let sent = Sent::post(text("{a}")).url(url);
        assert_eq!(
            class(&mut front(), &sent),
            Err(Code::AmbiguousRequest),
            "{url}"
        );
    }
    assert_eq!(
        class(&mut front(), &Sent::post(text("{a}")).url("")),
        is("read", Why::Query)
    );
}

#[test]
fn a_get_asks_queries_alone() {
    for (url, class_and_why) in [
        ("query={a}", is("read", Why::Query)),
        (
            "query=%7Ba%7D&variables=%7B%7D&operationName=",
            is("file", Why::NoOperation),
        ),
        (
            "query=query+Q{a}+mutation+M{a}&operationName=Q",
            is("read", Why::Query),
        ),
        (
            "query=query+Q{a}+mutation+M{a}&operationName=M",
            Err(Code::MutationOverGet),
        ),
        ("query=mutation{a}", Err(Code::MutationOverGet)),
        ("query=%6Dutation%7Ba%7D", Err(Code::MutationOverGet)),
        ("query=mutation{a}&documentId=7", Err(Code::MutationOverGet)),
        ("query=subscription{a}", Err(Code::SubscriptionUnsupported)),
        ("query={a}&query=mutation{a}", Err(Code::AmbiguousRequest)),
        ("query={a}&Query=mutation{a}", Err(Code::AmbiguousRequest)),
        ("query={a};query=mutation{a}", is("file", Why::OddMessage)),
        ("query[]=mutation{a}", is("file", Why::OddMessage)),
        ("query={a}&id=7", is("file", Why::OddMessage)),
        ("query={a}&apiKey=7", is("read", Why::Query)),
        ("query={a}&variables=7", Err(Code::BadRequest)),
        ("query={a}&variables=%7B%22a%22:", Err(Code::BadRequest)),
        ("query=%ff{a}", Err(Code::BadRequest)),
        ("query=", Err(Code::BadRequest)),
        ("", Err(Code::BadRequest)),
    ] {
        assert_eq!(class(&mut front(), &Sent::get(url)), class_and_why, "{url}");
    }
    let mut body = Sent::get("query={a}");
    body.body = text("mutation{a}").into_bytes();
    assert_eq!(
        class(&mut front(), &body),
        Err(Code::BadRequest),
        "a GET with a body"
    );
    let mut put = Sent::post(text("{a}"));
    put.method = http::Method::PUT;
    assert_eq!(class(&mut front(), &put), Err(Code::MethodNotAllowed));
}

#[test]
fn a_get_reads_variables_from_the_url() {
    let url = "query=query($i:ID){report(id:$i)}&variables=%7B%22i%22%3A%22p7%22%7D";
    let literal = Sent::post(text("{ report(id: \"p7\") }"));
    let key = classed(&mut front(), &literal).key;
    assert!(key.is_some());
    assert_eq!(classed(&mut front(), &Sent::get(url)).key, key);
}

/// `KEYED` stands for a field with its key.
fn filing(document: &str, variables: &str) -> Result<(String, Why), Code> {
    let document = document.replace("KEYED", r#"fileReport(input: {clientMutationId: "k"})"#);
    let variables: serde_json::Value = serde_json::from_str(variables).expect("JSON");
    class(&mut front(), &Sent::post(with(&document, variables)))
}

#[test]
fn a_mutation_is_keyed_where_its_key_is_there_by_literal_variable_or_default() {
    for (document, variables) in [
        ("mutation { KEYED { id } }", "{}"),
        ("mutation { KEYED b: KEYED __typename }", "{}"),
        (
            "mutation { fileReport(input: {clientMutationId: 7}) { id } }",
            "{}",
        ),
        (
            r#"mutation { x: fileReport(input: {clientMutationId: """k"""}) { id } }"#,
            "{}",
        ),
        (
            "mutation($i: In!) { fileReport(input: $i) }",
            r#"{"i": {"clientMutationId": "k"}}"#,
        ),
        (
            "mutation($k: ID!) { fileReport(input: {clientMutationId: $k}) }",
            r#"{"k": "k"}"#,
        ),
        (
            r#"mutation($k: ID = "k") { fileReport(input: {clientMutationId: $k}) }"#,
            "{}",
        ),
        (
            r#"mutation($i: In = {clientMutationId: "k"}) { fileReport(input: $i) }"#,
            "{}",
        ),
        ("mutation { ...F } fragment F on M { KEYED }", "{}"),
        (
            "mutation { ... on M { KEYED } ... @skip(if: true) { KEYED } }",
            "{}",
        ),
    ] {
        assert_eq!(
            filing(document, variables),
            is("keyed", Why::Keyed),
            "{document} {variables}"
        );
    }
}

#[test]
fn a_mutation_whose_key_is_missing_null_empty_or_not_certain_is_unsafe() {
    for (document, variables) in [
        ("mutation { fileReport }", "{}"),
        ("mutation { fileReport(input: {}) }", "{}"),
        (
            "mutation { fileReport(input: {clientMutationId: null}) }",
            "{}",
        ),
        (
            r#"mutation { fileReport(input: {clientMutationId: ""}) }"#,
            "{}",
        ),
        (
            r#"mutation { fileReport(input: {clientMutationId: ["k"]}) }"#,
            "{}",
        ),
        (
            "mutation { fileReport(input: {clientMutationId: true}) }",
            "{}",
        ),
        (r#"mutation { fileReport(input: "k") }"#, "{}"),
        (
            r#"mutation { fileReport(input: {clientMutationId: "k", clientMutationId: "l"}) }"#,
            "{}",
        ),
        (
            r#"mutation { fileReport(input: {clientMutationId: "k"}, input: {}) }"#,
            "{}",
        ),
        (
            "mutation($i: In!) { fileReport(input: $i) }",
            r#"{"i": {}}"#,
        ),
        (
            "mutation($i: In!) { fileReport(input: $i) }",
            r#"{"i": [{"clientMutationId": "k"}]}"#,
        ),
        (
            "mutation($i: In!) { fileReport(input: $i) }",
            r#"{"j": {"clientMutationId": "k"}}"#,
        ),
        (
            r#"mutation($k: ID = "k") { fileReport(input: {clientMutationId: $k}) }"#,
            r#"{"k": null}"#,
        ),
        (
            r#"mutation($k: ID = "k") { fileReport(input: {clientMutationId: $k}) }"#,
            r#"{"k": 1.5}"#,
        ),
        (
            r#"mutation($i: In = {clientMutationId: "k"}) { fileReport(input: $i) }"#,
            r#"{"i": {}}"#,
        ),
        (
            "mutation { fileReport(input: {clientMutationId: $k}) }",
            r#"{"k": "k"}"#,
        ),
        (
            "mutation($k: ID, $k: ID) { fileReport(input: {clientMutationId: $k}) }",
            r#"{"k": "k"}"#,
        ),
    ] {
        assert_eq!(
            filing(document, variables),
            is("file", Why::Mutation),
            "{document} {variables}"
        );
    }
}

#[test]
fn a_mutation_is_as_strict_as_its_strictest_field() {
    for document in [
        "mutation { KEYED wipe }",
        "mutation { wipe KEYED }",
        "mutation { fileReport: wipe(input: {clientMutationId: \"k\"}) }",
        "mutation { KEYED wipe @skip(if: true) }",
        "mutation { KEYED ...F }",
        "mutation { KEYED ...F } fragment F on M { wipe }",
        "mutation { KEYED ... @include(if: false) { wipe } }",
        "mutation { KEYED b: fileReport(input: {}) }",
    ] {
        assert_eq!(
            filing(document, "{}"),
            is("file", Why::Mutation),
            "{document}"
        );
    }
}

#[test]
fn a_key_given_twice_in_the_variables_is_none() {
    let twice = r#"{"query":"mutation($i: In!) { fileReport(input: $i) }","variables":{"i":{"clientMutationId":"k","clientMutationId":null}}}"#;
    assert_eq!(
        class(&mut front(), &Sent::post(twice)),
        is("file", Why::Mutation)
    );
    let twice = r#"{"query":"mutation($i: In!) { fileReport(input: $i) }","variables":{"i":{"clientMutationId":"k"},"i":{}}}"#;
    assert_eq!(
        class(&mut front(), &Sent::post(twice)),
        is("file", Why::Mutation)
    );
}

#[test]
fn mutations_of_two_keyed_classes_are_as_strict_as_the_stricter() {
    let file = "fileReport(input: {clientMutationId: \"k\"})";
    assert_eq!(
        of(&format!("mutation {{ pay(key: 1) {file} }}")),
        is("keyed-cell", Why::Keyed)
    );
    assert_eq!(
        of(&format!("mutation {{ {file} pay(key: 1) }}")),
        is("keyed-cell", Why::Keyed)
    );
    assert_eq!(
        of(&format!("mutation {{ {file} pay }}")),
        is("file", Why::Mutation)
    );
}

#[test]
fn an_operations_name_gives_a_class_but_never_one_that_allows_more() {
    for (document, wanted) in [
        ("query Dashboard { a }", is("board", Why::Query)),
        ("query Other { a }", is("read", Why::Query)),
        ("mutation Dashboard { a }", is("file", Why::Mutation)),
        ("mutation Sneaky { a }", is("file", Why::Mutation)),
        ("mutation Slow { a }", is("file-slow", Why::Mutation)),
        ("query Slow { a }", is("file-slow", Why::Query)),
        ("query Export { a }", is("file", Why::QueryOnce)),
        ("query Other { b drain }", is("file", Why::QueryOnce)),
        (
            "query Dashboard { x: drain { a } }",
            is("file", Why::QueryOnce),
        ),
        (
            "query Slow { ...F } fragment F on Query { drain }",
            is("file-slow", Why::QueryOnce),
        ),
        ("{ a { drain } }", is("read", Why::Query)),
    ] {
        assert_eq!(of(document), wanted, "{document}");
    }
}

#[test]
fn the_subject_is_the_same_however_it_is_written() {
    let mut front = front();
    let mut key = |body: String| classed(&mut front, &Sent::post(body)).key;
    let literal = key(text("{ report(id: \"p7\") }"));
    assert!(literal.is_some());
    assert_eq!(key(text("{ x: report(id: \"p\\u0037\") { a } }")), literal);
    assert_eq!(
        key(with(
            "query($i: ID!) { report(id: $i) }",
            json!({"i": "p7"})
        )),
        literal
    );
    assert_eq!(
        key(text("query($i: ID = \"p7\") { report(id: $i) }")),
        literal
    );
    assert_ne!(key(text("{ report(id: \"p8\") }")), literal);
    assert_eq!(
        key(text("{ report(id: 7) }")),
        key(text("{ report(id: \"7\") }"))
    );
    assert_eq!(key(text("{ other(id: \"p7\") }")), None);
    assert_eq!(key(text("mutation { note(paper: \"p7\") }")), literal);
}

#[test]
fn the_cost_grows_with_fields_and_a_declared_argument() {
    let mut front = front();
    let mut cost = |body: String| classed(&mut front, &Sent::post(body)).cost;
    assert_eq!(cost(text("{ a }")), Some(10));
    assert_eq!(cost(text("{ a { b c { d } } }")), Some(40));
    assert_eq!(
        cost(text("{ a { ...F } b { ...F } } fragment F on X { c d }")),
        Some(60)
    );
    assert_eq!(cost(text("{ report(first: 5) { a b } }")), Some(150));
    assert_eq!(
        cost(with(
            "query($n: Int) { report(first: $n) { a b } c }",
            json!({"n": 3})
        )),
        Some(100)
    );
    assert_eq!(cost(text("{ report(first: -1) { a } }")), Some(20));
    let most = cost(text("{ report(first: 99999999999) { a } }"));
    assert_eq!(
        most,
        Some(200_000),
        "an argument multiplies by so much at most"
    );
}

#[test]
fn what_holds_too_many_fields_with_rules_is_not_looked_into() {
    let many = |count: usize| {
        let fields = (0..count).map(|_| "fileReport(input: {clientMutationId: \"k\"}) ");
        format!("mutation {{ {} }}", fields.collect::<String>())
    };
    assert_eq!(of(&many(32)), is("keyed", Why::Keyed));
    assert_eq!(of(&many(33)), is("file", Why::Mutation));
}

#[test]
fn a_class_has_its_own_effect() {
    let mutation = classed(&mut front(), &Sent::post(text("mutation { a }")));
    assert_eq!(mutation.effect, RetrySafety::NonIdempotent);
}
