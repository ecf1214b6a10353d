//! The sidecar's own answers are well-formed, and a server's answers are understood.

mod common;

use common::*;
use http::{HeaderMap, HeaderValue, header};
use madderloom_graphql::*;
use proptest::prelude::*;
use serde_json::Value;

#[test]
fn an_error_of_the_sidecars_own_is_well_formed_graphql() {
    let fault = Fault::refused(Some(1_500_000));
    let reply = Reply::of(&fault, None, Media::GraphqlResponse);
    assert_eq!(
        (reply.status, reply.retry_after, reply.allow),
        (503, Some(1_500_000), None)
    );
    assert_eq!(
        reply.media.content_type(),
        "application/graphql-response+json; charset=utf-8"
    );
    let body: Value = serde_json::from_slice(&reply.body).expect("JSON");
    assert_eq!(body["errors"][0]["extensions"]["code"], "REFUSED");
    assert!(body["errors"][0]["message"].is_string());
    assert!(body.get("data").is_none(), "nothing was executed");

    let failed = Reply::of(&Fault::failed(), None, Media::Json);
    assert_eq!((failed.status, failed.retry_after), (502, None));
    assert_eq!(
        failed.media.content_type(),
        "application/json; charset=utf-8"
    );
}

#[test]
fn each_rejection_has_its_status_and_tells_the_methods_that_are_allowed() {
    let told = |sent: Sent| {
        let reply = sent
            .to(&mut front())
            .expect_err("rejected")
            .reply(Media::Json);
        (reply.status, reply.allow)
    };
    let mut put = Sent::post(text("{a}"));
    put.method = http::Method::DELETE;
    assert_eq!(told(put), (405, Some("GET, POST")));
    assert_eq!(told(Sent::get("query=mutation{a}")), (405, Some("POST")));
    assert_eq!(told(Sent::post(vec![b' '; 70_000])), (413, None));
    assert_eq!(
        told(Sent::post("{}").header(header::CONTENT_TYPE, "text/plain")),
        (415, None)
    );
    assert_eq!(told(Sent::post(text("subscription{a}"))), (400, None));
}

#[test]
fn the_client_gets_the_media_type_that_it_takes() {
    use Media::{GraphqlResponse, Json};
    for (accept, media) in [
        ("application/json", Json),
        ("application/graphql-response+json", GraphqlResponse),
        (
            "application/json, application/graphql-response+json",
            GraphqlResponse,
        ),
        (
            "application/graphql-response+json, application/json;q=0.9",
            GraphqlResponse,
        ),
        (
            "application/graphql-response+json;q=0.5, application/json",
            Json,
        ),
        ("Application/JSON ; charset=utf-8; q=0.3", Json),
        ("application/json;q=0, */*", GraphqlResponse),
        ("application/json, */*;q=0.1", Json),
        ("application/json;q=0", GraphqlResponse),
        ("text/html, */*", GraphqlResponse),
        ("text/html", GraphqlResponse),
        ("multipart/mixed, application/json", Json),
        ("", GraphqlResponse),
        (";;,,q=", GraphqlResponse),
    ] {
        let mut headers = HeaderMap::new();
        headers.insert(header::ACCEPT, HeaderValue::from_static(accept));
        assert_eq!(Media::accepted(&headers), media, "{accept}");
    }
    assert_eq!(Media::accepted(&HeaderMap::new()), GraphqlResponse);
    let mut lines = HeaderMap::new();
    lines.append(
        header::ACCEPT,
        HeaderValue::from_static("application/graphql-response+json;q=0.1"),
    );
    lines.append(header::ACCEPT, HeaderValue::from_static("application/json"));
    assert_eq!(Media::accepted(&lines), Json, "over several lines");
}

const NOT_FOUND: &str = r#"{"errors":[{"message":"PersistedQueryNotFound","extensions":{"code":"PERSISTED_QUERY_NOT_FOUND"}}]}"#;

#[test]
fn a_partial_answer_is_an_answer_whatever_its_status() {
    for (status, body) in [
        (200, r#"{"data":{"a":1}}"#),
        (200, r#"{"data":null,"errors":[{"message":"x"}]}"#),
        (
            200,
            r#"{"data":{"a":null},"errors":[{"message":"x","path":["a"]}]}"#,
        ),
        (203, r#"{"data":{"a":null},"errors":[{"message":"x"}]}"#),
        (500, r#"{"data":{"a":null},"errors":[{"message":"x"}]}"#),
        (504, r#"{"errors":[{"message":"x"}],"data":{"a":null}}"#),
        (200, r#"{"errors":[{"message":"no such field"}]}"#),
        (200, r#"[{"data":{"a":1}},{"errors":[{"message":"x"}]}]"#),
        (502, r#"[{"errors":[{"message":"x"}]},{"data":{"a":1}}]"#),
        (200, "\u{feff} {\"data\":{}}"),
        (400, r#"{"errors":[{"message":"syntax"}]}"#),
        (401, "who are you?"),
        (404, ""),
    ] {
        assert_eq!(
            judge(status, None, body.as_bytes(), false),
            Verdict::Answer,
            "{status} {body}"
        );
    }
}

#[test]
fn what_is_no_answer_of_graphql_is_a_failure() {
    for (status, body) in [
        (200, ""),
        (200, "<html>"),
        (200, "{}"),
        (200, "[]"),
        (200, r#"{"data":{"a":1}"#),
        (200, r#"{"data":{"a":1}} x"#),
        (200, r#"{"errors":[]}"#),
        (200, r#"{"errors":"x"}"#),
        (200, r#"[{"data":{}},{}]"#),
        (204, ""),
        (301, ""),
        (408, ""),
        (429, r#"{"errors":[{"message":"slow down"}]}"#),
        (500, r#"{"errors":[{"message":"x"}]}"#),
        (500, r#"{"data":null,"errors":[{"message":"x"}]}"#),
        (503, "busy"),
        // A client would take these for a word that nothing ran.
        (503, r#"{"data":{"a":null},"errors":[{"message":"x"}]}"#),
        (429, r#"{"data":{"a":1}}"#),
    ] {
        assert_eq!(
            judge(status, None, body.as_bytes(), false),
            Verdict::Failure,
            "{status} {body}"
        );
    }
}

#[test]
fn an_answer_in_parts_is_an_answer() {
    for media in [
        "multipart/mixed; boundary=\"-\"",
        "Multipart/Mixed;boundary=-",
        "text/event-stream",
    ] {
        assert_eq!(
            judge(200, Some(media), b"---\r\n", false),
            Verdict::Answer,
            "{media}"
        );
        assert_eq!(
            judge(500, Some(media), b"---\r\n", false),
            Verdict::Failure,
            "{media}"
        );
    }
    assert_eq!(
        judge(200, Some("application/json"), b"---\r\n", false),
        Verdict::Failure
    );
}

#[test]
fn a_server_that_does_not_find_a_hash_has_run_nothing() {
    let by_message = r#"{"errors":[{"message":"PersistedQueryNotFound"}]}"#;
    let unsupported =
        r#"{"errors":[{"message":"x","extensions":{"code":"PERSISTED_QUERY_NOT_SUPPORTED"}}]}"#;
    for body in [NOT_FOUND, by_message, unsupported] {
        for status in [200, 400, 404, 500] {
            assert_eq!(
                judge(status, None, body.as_bytes(), true),
                Verdict::NotFound,
                "{status} {body}"
            );
        }
        assert_eq!(
            judge(200, None, body.as_bytes(), false),
            Verdict::Answer,
            "the text had been sent: {body}"
        );
    }
    let all = format!("[{NOT_FOUND},{NOT_FOUND}]");
    assert_eq!(judge(200, None, all.as_bytes(), true), Verdict::NotFound);
    // A resolver may word its error as it likes; then there is `data`, or there are other errors.
    for ran in [
        r#"{"data":null,"errors":[{"message":"PersistedQueryNotFound"}]}"#,
        r#"{"data":{},"errors":[{"message":"PersistedQueryNotFound"}]}"#,
        r#"{"errors":[{"message":"PersistedQueryNotFound"},{"message":"x"}]}"#,
        &format!(r#"[{NOT_FOUND},{{"data":{{"a":1}}}}]"#),
    ] {
        assert_eq!(
            judge(200, None, ran.as_bytes(), true),
            Verdict::Answer,
            "{ran}"
        );
    }
}

proptest! {
    #![proptest_config(cases(300))]

    #[test]
    fn no_bytes_are_too_odd_for_an_answer(status in 100u16..600, body in prop::collection::vec(any::<u8>(), 0..64), hash_only: bool) {
        let _ = judge(status, None, &body, hash_only);
        let reply = join(&[PartAnswer::Served { status, body: &body }], Media::Json);
        prop_assert!(serde_json::from_slice::<Vec<Value>>(&reply.body).is_ok());
    }

    #[test]
    fn a_rejected_batch_has_an_error_for_each_operation(operations in 1usize..50) {
        let reply = Reply::of(&Fault::refused(None), Some(operations), Media::Json);
        let errors: Vec<Value> = serde_json::from_slice(&reply.body).expect("an array");
        prop_assert_eq!(errors.len(), operations);
    }
}
