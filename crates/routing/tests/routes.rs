//! The route that the table finds is the one that the stated order gives, found here by trying every route.

use http::{HeaderMap, HeaderName, Method, Uri, Version};
use madderloom_routing::request::Asked;
use madderloom_routing::routes::{
    Clash, HeaderPattern, HostPattern, PathPattern, Piece, Route, Table, Verdict,
};
use proptest::prelude::*;
use proptest::sample::{select, subsequence};
use std::cmp::Ordering;

const LISTENERS: usize = 2;

/// Whether a route wants this request, from the words of its documentation.
fn wants(
    route: &Route,
    listener: usize,
    host: &str,
    path: &str,
    method: &Method,
    headers: &HeaderMap,
) -> bool {
    let listener = route.listeners.is_empty() || route.listeners.contains(&listener);
    let host = match route.host.to_string().as_str() {
        "*" => true,
        pattern => match pattern.strip_prefix('*') {
            Some(suffix) => host.ends_with(suffix) && host != suffix,
            None => host == pattern,
        },
    };
    let asked: Vec<&str> = path[1..].split('/').collect();
    let fits = |at: usize| match &route.path.pieces[at] {
        Piece::Literal(text) => asked[at] == text,
        Piece::Named(_) => !asked[at].is_empty(),
    };
    let (wanted, given) = (route.path.pieces.len(), asked.len());
    let path = (wanted == given || (route.path.prefix && wanted < given)) && (0..wanted).all(fits);
    let method = route.methods.is_empty() || route.methods.contains(method);
    let headers = route.headers.iter().all(|(name, pattern)| {
        let values: Vec<_> = headers.get_all(name).iter().collect();
        match pattern {
            HeaderPattern::Present => !values.is_empty(),
            HeaderPattern::Is(value) => values == [value],
        }
    });
    let class = route.class.as_ref().is_none_or(|class| asked[0] == class);
    listener && host && path && method && headers && class
}

/// Which of two routes goes before the other, line by line of the stated order.
fn compare(a: &Route, b: &Route) -> Ordering {
    let host = |route: &Route| match &route.host {
        HostPattern::Exact(_) => usize::MAX,
        HostPattern::Suffix(suffix) => suffix.len(),
        HostPattern::Any => 0,
    };
    let piece = |route: &Route, at: usize| match route.path.pieces.get(at) {
        Some(Piece::Literal(_)) => 3,
        Some(Piece::Named(_)) => 2,
        None if !route.path.prefix => 1,
        None => 0,
    };
    let longest = a.path.pieces.len().max(b.path.pieces.len()) + 1;
    let path: Vec<_> = (0..longest)
        .map(|at| piece(a, at).cmp(&piece(b, at)))
        .collect();
    let values = |route: &Route| {
        route
            .headers
            .iter()
            .filter(|h| h.1 != HeaderPattern::Present)
            .count()
    };
    let lines = [
        (!a.listeners.is_empty()).cmp(&!b.listeners.is_empty()),
        host(a).cmp(&host(b)),
        path.into_iter()
            .find(|o| o.is_ne())
            .unwrap_or(Ordering::Equal),
        (!a.methods.is_empty()).cmp(&!b.methods.is_empty()),
        a.headers.len().cmp(&b.headers.len()),
        values(a).cmp(&values(b)),
        a.class.is_some().cmp(&b.class.is_some()),
    ];
    lines
        .into_iter()
        .find(|o| o.is_ne())
        .unwrap_or(Ordering::Equal)
}

fn path() -> impl Strategy<Value = PathPattern> {
    let piece = prop_oneof![3 => select(vec!["a", "b", "submit"]).prop_map(str::to_string), 1 => Just("{x}".into())];
    (prop::collection::vec(piece, 0..4), any::<bool>()).prop_map(|(pieces, prefix)| {
        let text = format!("/{}", pieces.join("/"));
        if prefix {
            PathPattern::prefix(&text)
        } else {
            PathPattern::whole(&text)
        }
        .expect("a path")
    })
}

fn route() -> impl Strategy<Value = Route> {
    let host = select(vec![
        "",
        "",
        "a.org",
        "x.a.org",
        "*.a.org",
        "*.x.a.org",
        "*.org",
    ])
    .prop_map(|host| {
        if host.is_empty() {
            HostPattern::Any
        } else {
            host.parse().expect("a host")
        }
    });
    let pattern = prop_oneof![
        Just(HeaderPattern::Present),
        select(vec!["1", "2"]).prop_map(|v| HeaderPattern::Is(v.parse().expect("a value")))
    ];
    let header = |name: &'static str| (Just(HeaderName::from_static(name)), pattern.clone());
    let headers = (header("x-a"), header("x-b")).prop_map(|(a, b)| vec![a, b]);
    let headers = prop_oneof![2 => Just(Vec::new()), 1 => headers.clone(), 1 => headers.prop_map(|mut h| h.split_off(1))];
    let methods = subsequence(vec![Method::GET, Method::POST, Method::PUT], 0..3);
    let class = prop_oneof![3 => Just(None), 1 => select(vec!["a", "submit"]).prop_map(|c| Some(c.to_string()))];
    let listeners = subsequence(vec![0, 1], 0..=2);
    (listeners, host, path(), methods, headers, class).prop_map(
        |(listeners, host, path, methods, headers, class)| Route {
            listeners,
            host,
            path,
            methods,
            headers,
            class,
            to: vec![(0, 1)],
            ..Route::default()
        },
    )
}

fn request() -> impl Strategy<
    Value = (
        usize,
        &'static str,
        String,
        Method,
        Vec<(&'static str, &'static str)>,
    ),
> {
    let hosts = select(vec!["a.org", "x.a.org", "y.x.a.org", "b.org", "org"]);
    let segments = prop::collection::vec(select(vec!["a", "b", "submit", "z"]), 0..5);
    let path = (segments, any::<bool>()).prop_map(|(s, slash)| {
        let end = if slash && !s.is_empty() { "/" } else { "" };
        format!("/{}{end}", s.join("/"))
    });
    let method = select(vec![Method::GET, Method::POST, Method::PUT, Method::DELETE]);
    let headers = subsequence(
        vec![("x-a", "1"), ("x-a", "2"), ("x-b", "1"), ("x-c", "1")],
        0..4,
    );
    (0..LISTENERS, hosts, path, method, headers)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn the_table_finds_what_trying_every_route_finds(
        routes in prop::collection::vec(route(), 1..24),
        requests in prop::collection::vec(request(), 1..12),
    ) {
        // Those that clash are taken out, as an operator would.
        let mut kept = routes;
        let table = loop {
            match Table::new(kept.clone(), LISTENERS) {
                Ok(table) => break table,
                Err(clashes) => {
                    let Clash { routes: (first, second), .. } = clashes[0];
                    prop_assert_eq!(compare(&kept[first], &kept[second]), Ordering::Equal);
                    kept.remove(second);
                }
            }
        };
        for (listener, host, path, method, values) in requests {
            let uri: Uri = path.parse().expect("a target");
            let mut headers = HeaderMap::from_iter([(http::header::HOST, host.parse().expect("a value"))]);
            values.iter().for_each(|(name, value)| {
                headers.append(*name, value.parse().expect("a value"));
            });
            let asked = Asked::read(&method, &uri, Version::HTTP_11, &headers).expect("it reads");
            let fits = |at: &usize| wants(&kept[*at], listener, host, &path, &method, &headers);
            let mut fitting: Vec<usize> = (0..kept.len()).filter(fits).collect();
            fitting.sort_by(|a, b| compare(&kept[*b], &kept[*a]));
            if let [first, second, ..] = fitting[..] {
                // Else the order would not be total where it is used, and loading would have refused both.
                prop_assert_ne!(compare(&kept[first], &kept[second]), Ordering::Equal);
            }
            let found = table.find(listener, &asked);
            prop_assert_eq!(found, fitting.first().copied(), "{} {} {} {:?}", method, host, path, &headers);
            // What is explained agrees with what is done.
            for (at, verdict) in table.explain(listener, &asked).into_iter().enumerate() {
                prop_assert_eq!(verdict == Verdict::Taken, found == Some(at));
                let fitting = fitting.contains(&at);
                prop_assert_eq!(matches!(verdict, Verdict::Taken | Verdict::LessSpecific(_)), fitting);
            }
        }
    }

    #[test]
    fn a_split_stays_with_its_key_and_keeps_to_its_weights(weights in prop::collection::vec(0u32..20, 1..5), salt: u64) {
        prop_assume!(weights.iter().any(|w| *w > 0));
        let to: Vec<_> = weights.iter().copied().enumerate().collect();
        let route = Route { name: format!("r{salt}"), to, ..Route::default() };
        let mut seen = vec![0u32; weights.len()];
        for key in 0..4_000u64 {
            let pool = route.choose(key.wrapping_mul(salt | 1));
            prop_assert_eq!(pool, route.choose(key.wrapping_mul(salt | 1)));
            seen[pool] += 1;
        }
        let all: u32 = weights.iter().sum();
        for (seen, weight) in seen.into_iter().zip(weights) {
            let part = f64::from(weight) / f64::from(all);
            // Six standard deviations.
            let most = 6.0 * (4_000.0 * part * (1.0 - part)).sqrt();
            prop_assert!((f64::from(seen) - 4_000.0 * part).abs() <= most);
        }
    }

    #[test]
    fn no_pattern_is_too_odd(text in "\\PC{0,24}") {
        let _ = (PathPattern::whole(&text), PathPattern::prefix(&text), text.parse::<HostPattern>());
    }
}

/// A canary that grows takes keys from the others, and gives none back.
#[test]
fn a_weight_that_changes_moves_no_more_keys_than_it_must() {
    let of = |stable, canary| Route {
        name: "r".into(),
        to: vec![(0, stable), (1, canary)],
        ..Route::default()
    };
    let (before, after) = (of(95, 5), of(90, 10));
    let moved = (0..10_000)
        .filter(|key| before.choose(*key) != after.choose(*key))
        .count();
    assert!((0..10_000).all(|key| before.choose(key) == 0 || after.choose(key) == 1));
    assert!((350..650).contains(&moved), "{moved}");
}

#[test]
fn routes_of_one_rank_that_a_request_could_match_both_are_refused() {
    let route = |path: &str| Route {
        path: PathPattern::whole(path).expect("a path"),
        ..Route::default()
    };
    let clash = |a: Route, b: Route| Table::new(vec![a, b], 1).is_err();
    assert!(clash(route("/reports/{id}"), route("/reports/{name}")));
    assert!(!clash(route("/reports/{id}"), route("/reports/latest")));
    let of = |methods: &[Method]| Route {
        methods: methods.to_vec(),
        ..route("/a")
    };
    assert!(clash(of(&[Method::GET, Method::POST]), of(&[Method::POST])));
    assert!(
        !clash(of(&[Method::GET]), of(&[Method::POST])) && !clash(of(&[]), of(&[Method::POST]))
    );
    let with = |name: &'static str, value: &'static str| Route {
        headers: vec![(
            HeaderName::from_static(name),
            HeaderPattern::Is(value.parse().expect("a value")),
        )],
        ..route("/a")
    };
    assert!(clash(with("x-a", "1"), with("x-b", "1")));
    assert!(!clash(with("x-a", "1"), with("x-a", "2")));
    let classed = |class: &str| Route {
        class: Some(class.into()),
        ..Route {
            path: PathPattern::any(),
            ..Route::default()
        }
    };
    assert!(clash(classed("a"), classed("a")) && !clash(classed("a"), classed("b")));
}
