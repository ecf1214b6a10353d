//! `[[routes]]`: which requests go to which pool.

use crate::names::Names;
use crate::pools::Pool;
use http::{HeaderName, HeaderValue, Method};
use madderloom_config_reader::Document;
use madderloom_routing::routes::{Clash, HeaderPattern, PathPattern, Piece, Route, Table};
use serde::{Deserialize, Deserializer, de::Error};
use std::collections::BTreeMap;
use std::fmt;

/// An entry as it is written.
#[derive(Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Section {
    name: String,
    listeners: Vec<String>,
    host: Option<String>,
    path: Option<String>,
    path_prefix: Option<String>,
    methods: Vec<String>,
    headers: BTreeMap<String, Wanted>,
    class: Option<String>,
    set_class: Option<String>,
    graphql: bool,
    pool: Option<String>,
    split: Vec<Part>,
}

#[derive(Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Part {
    pool: String,
    weight: u32,
}

/// A header's value, or `true` where any will do.
#[derive(Clone)]
struct Wanted(Option<String>);

impl<'a> Deserialize<'a> for Wanted {
    fn deserialize<D: Deserializer<'a>>(reader: D) -> Result<Self, D::Error> {
        struct Visitor;
        impl serde::de::Visitor<'_> for Visitor {
            type Value = Wanted;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a value in quotes, or true where any will do")
            }

            fn visit_str<E: Error>(self, text: &str) -> Result<Wanted, E> {
                Ok(Wanted(Some(text.to_string())))
            }

            fn visit_bool<E: Error>(self, any: bool) -> Result<Wanted, E> {
                if any {
                    Ok(Wanted(None))
                } else {
                    Err(E::custom("false is not known; leave the header out"))
                }
            }
        }
        reader.deserialize_any(Visitor)
    }
}

/// The most routes of a file.
const MOST: usize = 20_000;

pub(crate) fn check<'c>(
    document: &mut Document<'_>,
    sections: &[Section],
    listeners: &Names,
    pools: &Names,
    known: &dyn Fn(usize) -> Option<&'c Pool>,
) -> Vec<Route> {
    document.require(
        sections.len() <= MOST,
        "routes",
        format_args!("are more than {MOST}"),
    );
    // Notes what is wrong with the names; nothing refers to routes.
    let _ = Names::of(document, "routes", sections.iter().map(|r| r.name.as_str()));
    let routes: Vec<Route> = sections
        .iter()
        .enumerate()
        .map(|(at, section)| {
            check_one(
                document,
                &format!("routes[{at}]"),
                section,
                listeners,
                pools,
            )
        })
        .collect();
    for (at, route) in routes.iter().enumerate() {
        check_classes(document, &format!("routes[{at}]"), route, pools, known);
    }
    if let Err(mut clashes) = Table::new(routes.clone(), listeners.len()) {
        // Told once, however many listeners have both.
        clashes.dedup_by_key(|clash| clash.routes);
        for Clash {
            routes: (first, second),
            listener,
        } in clashes
        {
            let (line, _) = document.position(&format!("routes[{first}].name"));
            let (other, listener) = (&sections[first].name, listeners.name(listener));
            let problem = format!(
                "clashes with {other} of line {line} on listener {listener}: both match some request and neither is \
                 more specific; tell them apart by host, path, method, header or class"
            );
            document.problem(&format!("routes[{second}].name"), problem);
        }
    }
    routes
}

fn check_one(
    document: &mut Document<'_>,
    at: &str,
    section: &Section,
    listeners: &Names,
    pools: &Names,
) -> Route {
    let own = |name: &str| format!("{at}.{name}");
    let mut route = Route {
        name: section.name.clone(),
        ..Route::default()
    };
    for (place, name) in section.listeners.iter().enumerate() {
        route.listeners.extend(listeners.find(
            document,
            &own(&format!("listeners[{place}]")),
            name,
        ));
    }
    if let Some(host) = &section.host {
        match host.parse() {
            Ok(pattern) => route.host = pattern,
            Err(problem) => document.problem(&own("host"), problem),
        }
    }
    route.path = path(document, at, section);
    for (place, name) in section.methods.iter().enumerate() {
        match Method::from_bytes(name.as_bytes()) {
            Ok(method) if name.bytes().all(|b| b.is_ascii_uppercase()) => {
                route.methods.push(method)
            }
            _ => document.problem(
                &own(&format!("methods[{place}]")),
                "is no method; write one such as \"GET\"",
            ),
        }
    }
    for (name, wanted) in &section.headers {
        let field = own(&format!("headers.{name}"));
        let value = wanted.0.as_ref().map(|value| value.parse::<HeaderValue>());
        match (name.parse::<HeaderName>(), value) {
            (Ok(name), None) => route.headers.push((name, HeaderPattern::Present)),
            (Ok(name), Some(Ok(value))) => route.headers.push((name, HeaderPattern::Is(value))),
            (Err(_), _) => document.problem(&field, "is no name of a header"),
            (_, Some(Err(_))) => document.problem(&field, "is no value of a header"),
        }
    }
    let twice = |(n, (name, _)): (usize, &(HeaderName, HeaderPattern))| {
        route.headers[..n].iter().any(|h| h.0 == *name)
    };
    let twice = route.headers.iter().enumerate().any(twice);
    document.require(
        !twice,
        &own("headers"),
        "name one header twice; its case makes no difference",
    );
    (route.class, route.set_class) = (section.class.clone(), section.set_class.clone());
    route.graphql = section.graphql;
    if section.graphql && section.set_class.is_some() {
        document.problem(
            &own("set_class"),
            "is given beside graphql; the class follows from what is asked",
        );
    }
    route.to = to(document, at, section, pools);
    route
}

fn path(document: &mut Document<'_>, at: &str, section: &Section) -> PathPattern {
    let (whole, prefix) = (format!("{at}.path"), format!("{at}.path_prefix"));
    let (field, read) = match (&section.path, &section.path_prefix) {
        (Some(_), Some(_)) => (
            prefix,
            Err("is given beside path; write one of them".to_string()),
        ),
        (Some(path), None) => (whole, PathPattern::whole(path)),
        (None, Some(path)) => (prefix, PathPattern::prefix(path)),
        (None, None) => (whole, Ok(PathPattern::any())),
    };
    match read {
        Ok(pattern) => {
            let ready = pattern.pieces == [Piece::Literal("ready".to_string())];
            document.require(
                !ready,
                &field,
                "is answered by the program itself; choose another",
            );
            pattern
        }
        Err(problem) => {
            document.problem(&field, problem);
            PathPattern::any()
        }
    }
}

fn to(
    document: &mut Document<'_>,
    at: &str,
    section: &Section,
    pools: &Names,
) -> Vec<(usize, u32)> {
    let (one, several) = (format!("{at}.pool"), format!("{at}.split"));
    match &section.pool {
        Some(_) if !section.split.is_empty() => {
            document.problem(&several, "is given beside pool; write one of them")
        }
        Some(name) => {
            return pools
                .find(document, &one, name)
                .map(|pool| vec![(pool, 1)])
                .unwrap_or_default();
        }
        None if section.split.is_empty() => {
            if !document.has(&one) && !document.has(&several) {
                document.problem(
                    &one,
                    "is missing; write the name of a pool, or split between several",
                );
            }
        }
        None => {
            let all: u64 = section
                .split
                .iter()
                .map(|part| u64::from(part.weight))
                .sum();
            let read =
                (0..section.split.len()).all(|n| document.has(&format!("{several}[{n}].weight")));
            document.require(
                all > 0 || !read,
                &several,
                "has no weight above 0, so no pool would get a request",
            );
            let mut to: Vec<(usize, u32)> = Vec::new();
            for (n, part) in section.split.iter().enumerate() {
                let field = format!("{several}[{n}]");
                document.require(
                    document.has(&format!("{field}.weight")),
                    &field,
                    "has no weight; write one such as 5",
                );
                let Some(pool) = pools.find(document, &format!("{field}.pool"), &part.pool) else {
                    continue;
                };
                let twice = to.iter().any(|other| other.0 == pool);
                document.require(
                    !twice,
                    &format!("{field}.pool"),
                    "is there twice; add its weights up",
                );
                to.push((pool, part.weight));
            }
            return to;
        }
    }
    Vec::new()
}

/// A class that a route's pools do not have would turn every request away.
fn check_classes<'c>(
    document: &mut Document<'_>,
    at: &str,
    route: &Route,
    pools: &Names,
    known: &dyn Fn(usize) -> Option<&'c Pool>,
) {
    for (pool, _) in &route.to {
        if route.graphql {
            let classed = known(*pool).map_or(*pool > 0, |pool| pool.graphql.is_some());
            // One whose section can't be read has a problem of its own.
            let told = pool
                .checked_sub(1)
                .is_some_and(|at| document.has(&format!("pools[{at}].graphql")));
            let problem = format!(
                "is set, and pool {} has no [pools.graphql]; add it",
                pools.name(*pool)
            );
            document.require(classed || told, &format!("{at}.graphql"), problem);
            continue;
        }
        // The platform's classes are not known here.
        let Some(classes) = known(*pool).map(|pool| pool.site.classes.as_slice()) else {
            continue;
        };
        let first = match route.path.pieces.first() {
            Some(Piece::Literal(name)) if route.set_class.is_none() => Some(name),
            _ => None,
        };
        let wanted = [
            ("set_class", route.set_class.as_ref()),
            ("class", route.class.as_ref()),
            ("path", first),
        ];
        for (field, class) in wanted {
            // A request that is given a class may name any.
            let Some(class) = class.filter(|c| !classes.contains(c)) else {
                continue;
            };
            if field == "class" && route.set_class.is_some() {
                continue;
            }
            let (pool, known) = (pools.name(*pool), classes.join(", "));
            let hint = if field == "path" {
                "; add set_class"
            } else {
                ""
            };
            let field = if field == "path" && route.path.prefix {
                "path_prefix"
            } else {
                field
            };
            let problem = format!("pool {pool} has no class {class}, it has {known}{hint}");
            document.problem(&format!("{at}.{field}"), problem);
        }
    }
}
