//! The HTML pages of the admin view: the list of servers, and the history of one server. The pages use no scripts.

use super::plot;
use maud::{DOCTYPE, Markup, html};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde_json::Value;

/// The characters that are percent-encoded in a path or a query.
const ENCODED_CHARACTERS: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'_')
    .remove(b'.')
    .remove(b'~');
/// The selectable time spans of the plots: name in the URL, and seconds.
const SPANS: [(&str, f64); 4] = [
    ("2min", 120.0),
    ("15min", 900.0),
    ("2h", 7_200.0),
    ("2d", 172_800.0),
];
/// The maximum number of events on a page.
const MAX_EVENTS: usize = 50;

const STYLE: &str = "body{font:14px sans-serif;margin:1.5em;color:#222}table{border-collapse:collapse;margin:1em 0}\
td,th{padding:.25em .7em;border-bottom:1px solid #ddd;text-align:left}td.n{text-align:right;\
font-variant-numeric:tabular-nums}tr.bad td{background:#d1495b22}a{color:#2a5c8a}svg{max-width:100%;height:auto}";

fn number(value: &Value) -> f64 {
    value.as_f64().unwrap_or(0.0)
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn document(title: &str, body: Markup) -> String {
    html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta http-equiv="refresh" content="5";
                title { (title) }
                style { (STYLE) }
            }
            body { (body) }
        }
    }
    .into_string()
}

/// Percent-encodes a name for a path or a query.
pub(super) fn percent_encoded(name: &str) -> String {
    utf8_percent_encode(name, ENCODED_CHARACTERS).to_string()
}

/// The path of a server's page.
fn path(server: &Value, span: &str) -> String {
    let encoded = |value: &Value| percent_encoded(text(value));
    format!(
        "/servers/{}?pool={}&span={span}",
        encoded(&server["name"]),
        encoded(&server["pool"])
    )
}

/// The time span of the plots in seconds, by its name in the URL.
pub(super) fn span(name: Option<&str>) -> f64 {
    let found = SPANS.iter().find(|(known, _)| Some(*known) == name);
    found.map_or(SPANS[1].1, |(_, seconds)| *seconds)
}

/// A time as an age for people.
fn age_text(at: &Value, now: f64) -> String {
    format!("{} ago", plot::ago((now - number(at)).max(0.0) / 1e6))
}

/// The page of all servers and the recent events.
pub(super) fn servers(view: &Value, events: &Value) -> String {
    let now = number(&view["now_us"]);
    let name = view["name"]
        .as_str()
        .filter(|name| !name.is_empty())
        .unwrap_or("madderloom");
    let recent_events = list(&events["events"]);
    let recent_events = recent_events.iter().rev().take(MAX_EVENTS);
    document(
        name,
        html! {
            h1 { (name) }
            @if view["timelines"] != true {
                p { "Time lines are off: " code { "[timeline]" } " in the operator file keeps them." }
            }
            @for shared in list(&view["shared"]) { p { strong { (text(&shared["pool"])) ": " (text(&shared["text"])) } } }
            table {
                tr {
                    th { "server" } th { "pool" } th { "zone" } th { "state" } th { "share" } th { "out" } th { "served" }
                    th { "lost" } th { "refused" } th { "half within" } th { "99% within" } th { "departs" }
                }
                @for server in list(&view["servers"]) {
                    @let departures = list(&server["departures"]);
                    @let lately = &server["lately"];
                    tr class=(if departures.is_empty() { "" } else { "bad" }) {
                        td { a href=(path(server, "15min")) { (text(&server["name"])) } }
                        td { (text(&server["pool"])) }
                        td { (text(&server["zone"])) }
                        td { @if server["ejected_for_us"].is_number() { "ejected" } @else { (text(&server["state"])) } }
                        td.n { (format!("{:.1}%", 100.0 * number(&server["share"]))) }
                        td.n { (number(&server["out"])) }
                        @for count in ["served", "lost", "refused"] { td.n { (number(&lately[count])) } }
                        @for time in ["p50_us", "p99_us"] {
                            td.n { @match lately[time].as_f64() { Some(us) => { (format!("{:.1} ms", us / 1e3)) }, None => "-" } }
                        }
                        td { @for departure in departures { (text(&departure["text"])) br; } }
                    }
                }
            }
            p { "Served, lost and refused: attempts of this instance in this minute and the one before." }
            h2 { "Of late" }
            table {
                @for event in recent_events {
                    tr {
                        td { (age_text(&event["at_us"], now)) }
                        td { (text(&event["pool"])) }
                        td { (text(&event["event"])) }
                        td { (text(&event["text"])) }
                    }
                }
            }
        },
    )
}

/// The page of one server's history.
pub(super) fn server(history: &Value, seconds: f64) -> String {
    let now = number(&history["now_us"]);
    let name = text(&history["name"]);
    document(
        name,
        html! {
            p { a href="/" { "all servers" } }
            h1 { (name) }
            p {
                "pool " (text(&history["pool"])) ", address " (text(&history["address"])) ", zone " (text(&history["zone"]))
                ", kind " (text(&history["kind"])) ", " (text(&history["state"]))
            }
            @for departure in list(&history["departures"]) { p { strong { (text(&departure["text"])) } } }
            p {
                @for (name, span) in SPANS {
                    @if span == seconds { strong { (name) } } @else { a href=(path(history, name)) { (name) } }
                    " "
                }
            }
            (plot::svg(history, seconds))
            h2 { "What happened" }
            table {
                @for note in list(&history["notes"]).iter().rev() {
                    tr {
                        td { (age_text(&note["at_us"], now)) }
                        td { (text(&note["text"])) }
                        td.n { @if number(&note["times"]) > 1.0 { (number(&note["times"])) " times, last " (age_text(&note["last_us"], now)) } }
                    }
                }
            }
        },
    )
}

/// The page for an unknown path or server.
pub(super) fn not_found(message: &str) -> String {
    document(
        "not found",
        html! { p { (message) } p { a href="/" { "all servers" } } },
    )
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    /// Guards against injection: names are external input and must not become markup of the page or alter its links.
    #[test]
    fn a_page_contains_no_markup_from_names() {
        let name = "<script>alert(1)</script>\"'&?#/..";
        let departure = json!({"text": name, "departure": {}});
        let history = json!({
            "name": name, "pool": name, "address": name, "zone": name, "kind": name, "state": name,
            "departures": [departure], "notes": [{"text": name, "event": name, "times": 2}],
        });
        let all = json!({"name": name, "timelines": true, "servers": [history], "shared": [{"pool": name, "text": name}]});
        let events = json!({"events": [{"pool": name, "event": name, "text": name}]});
        for page in [
            server(&history, 900.0),
            servers(&all, &events),
            not_found(name),
        ] {
            assert!(
                !page.contains("<script") && page.contains("&lt;script&gt;"),
                "{page}"
            );
        }
        let page = servers(&all, &events);
        let address = page
            .split("href=\"")
            .nth(1)
            .and_then(|rest| rest.split('"').next())
            .expect("an address");
        assert!(address.starts_with(
            "/servers/%3Cscript%3Ealert%281%29%3C%2Fscript%3E%22%27%26%3F%23%2F..?pool="
        ));
    }
}
