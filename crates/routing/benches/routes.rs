//! Nanoseconds for a route: `cargo bench -p madderloom-routing`.
//!
//! Tables of 10, 1,000 and 10,000 routes: a tenth of them name a host each, the others are prefixes, templates and
//! whole paths of one host, so that a request meets literal and named segments side by side.

use divan::{Bencher, black_box};
use http::{HeaderMap, Method, Uri, Version, header::HOST};
use madderloom_routing::request::Asked;
use madderloom_routing::routes::{HostPattern, PathPattern, Route, Table};

fn main() {
    divan::main();
}

fn table(size: usize) -> Table {
    let route = |at: usize| {
        let path = match at % 4 {
            0 => PathPattern::whole(&format!("/v1/area{at}/reports/{{id}}")),
            1 => PathPattern::prefix(&format!("/v1/area{at}")),
            2 => PathPattern::whole(&format!("/v1/area{at}/reports")),
            _ => PathPattern::prefix(&format!("/v1/{{tenant}}/part{at}")),
        };
        Route {
            name: format!("r{at}"),
            host: if at % 10 == 9 {
                HostPattern::Exact(format!("h{at}.example.org"))
            } else {
                HostPattern::Any
            },
            path: path.expect("a path"),
            to: vec![(at, 1)],
            ..Route::default()
        }
    };
    Table::new((0..size).map(route).collect(), 1).expect("no two clash")
}

fn headers(host: &str) -> HeaderMap {
    HeaderMap::from_iter([(HOST, host.parse().expect("a value"))])
}

/// The request's head is read and its route looked up; another request each time.
#[divan::bench(args = [10, 1_000, 10_000])]
fn read_and_find(bencher: Bencher, size: usize) {
    let table = table(size);
    let headers = headers("Service.internal:5000");
    let uris: Vec<Uri> = (0..size)
        .step_by((size / 10).max(1))
        .map(|at| {
            format!("/v1/area{}/reports/{at}?q=1", at / 4 * 4)
                .parse()
                .expect("a target")
        })
        .collect();
    let mut at = 0;
    bencher.bench_local(|| {
        at = (at + 1) % uris.len();
        let asked =
            Asked::read(&Method::GET, &uris[at], Version::HTTP_11, &headers).expect("it reads");
        black_box(table.find(0, &asked)).expect("a route")
    });
}

/// No route takes it: every branch of the trie that fits is walked to its end.
#[divan::bench(args = [10, 1_000, 10_000])]
fn read_and_find_none(bencher: Bencher, size: usize) {
    let table = table(size);
    let headers = headers("a.b.c.d.example.org");
    let uri: Uri = "/v1/nowhere/reports/7".parse().expect("a target");
    bencher.bench_local(|| {
        let asked = Asked::read(&Method::GET, &uri, Version::HTTP_11, &headers).expect("it reads");
        assert!(black_box(table.find(0, &asked)).is_none());
    });
}

/// The reading alone.
#[divan::bench]
fn read(bencher: Bencher) {
    let headers = headers("Service.internal:5000");
    let uri: Uri = "/v1/area400/reports/7?q=1".parse().expect("a target");
    bencher.bench_local(|| {
        black_box(Asked::read(&Method::GET, &uri, Version::HTTP_11, &headers).is_ok())
    });
}
