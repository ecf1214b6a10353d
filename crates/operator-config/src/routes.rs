//! `[[routes]]`: the mapping of requests to pools.

use crate::names::Names;
use crate::pools::Pool;
use http::{HeaderName, HeaderValue, Method};
use madderloom_config_reader::Document;
use madderloom_routing::routes::{Clash, HeaderPattern, PathPattern, Piece, Route, Table};
use serde::{Deserialize, Deserializer, de::Error};
use std::collections::BTreeMap;
use std::fmt;

/// An entry as written in the file.
#[derive(Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Section {
    name: String,
    listeners: Vec<String>,
    host: Option<String>,
    path: Option<String>,
    path_prefix: Option<String>,
    methods: Vec<String>,
    headers: BTreeMap<String, HeaderSection>,
    class: Option<String>,
    set_class: Option<String>,
    graphql: bool,
    pool: Option<String>,
    split: Vec<SplitSection>,
}

#[derive(Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct SplitSection {
    pool: String,
    weight: u32,
}

/// A header value, or none if any value matches (`true` in the file).
#[derive(Clone)]
struct HeaderSection(Option<String>);

impl<'a> Deserialize<'a> for HeaderSection {
    fn deserialize<D: Deserializer<'a>>(reader: D) -> Result<Self, D::Error> {
        struct Visitor;
        impl serde::de::Visitor<'_> for Visitor {
            type Value = HeaderSection;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a value in quotes, or true to match any value")
            }

            fn visit_str<E: Error>(self, text: &str) -> Result<HeaderSection, E> {
                Ok(HeaderSection(Some(text.to_string())))
            }

            fn visit_bool<E: Error>(self, any: bool) -> Result<HeaderSection, E> {
                if any {
                    Ok(HeaderSection(None))
                } else {
                    Err(E::custom("false is not allowed; remove the header"))
                }
            }
        }
        reader.deserialize_any(Visitor)
    }
}

/// Maximum number of routes of a file.
const MAX_ROUTES: usize = 20_000;

pub(crate) fn check<'c>(
    document: &mut Document<'_>,
    sections: &[Section],
    listeners: &Names,
    pools: &Names,
    pool_at: &dyn Fn(usize) -> Option<&'c Pool>,
) -> Vec<Route> {
    document.require(
        sections.len() <= MAX_ROUTES,
        "routes",
        format_args!("must be at most {MAX_ROUTES}"),
    );
    // Reports invalid names. Nothing refers to routes, so the names themselves are not needed.
    let _ = Names::of(document, "routes", sections.iter().map(|r| r.name.as_str()));
    let routes: Vec<Route> = sections
        .iter()
        .enumerate()
        .map(|(index, section)| {
            check_one(
                document,
                &format!("routes[{index}]"),
                section,
                listeners,
                pools,
            )
        })
        .collect();
    for (index, route) in routes.iter().enumerate() {
        check_classes(document, &format!("routes[{index}]"), route, pools, pool_at);
    }
    if let Err(mut clashes) = Table::new(routes.clone(), listeners.len()) {
        // A conflict is reported once, even if several listeners have both routes.
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
                 more specific; distinguish them by host, path, method, header or class"
            );
            document.problem(&format!("routes[{second}].name"), problem);
        }
    }
    routes
}

fn check_one(
    document: &mut Document<'_>,
    entry: &str,
    section: &Section,
    listeners: &Names,
    pools: &Names,
) -> Route {
    let field = |name: &str| format!("{entry}.{name}");
    let mut route = Route {
        name: section.name.clone(),
        ..Route::default()
    };
    for (index, name) in section.listeners.iter().enumerate() {
        route.listeners.extend(listeners.find(
            document,
            &field(&format!("listeners[{index}]")),
            name,
        ));
    }
    if let Some(host) = &section.host {
        match host.parse() {
            Ok(pattern) => route.host = pattern,
            Err(problem) => document.problem(&field("host"), problem),
        }
    }
    route.path = path_pattern(document, entry, section);
    for (index, name) in section.methods.iter().enumerate() {
        match Method::from_bytes(name.as_bytes()) {
            Ok(method) if name.bytes().all(|b| b.is_ascii_uppercase()) => {
                route.methods.push(method)
            }
            _ => document.problem(
                &field(&format!("methods[{index}]")),
                "is no method; write one such as \"GET\"",
            ),
        }
    }
    for (name, header) in &section.headers {
        let header_field = field(&format!("headers.{name}"));
        let value = header.0.as_ref().map(|value| value.parse::<HeaderValue>());
        match (name.parse::<HeaderName>(), value) {
            (Ok(name), None) => route.headers.push((name, HeaderPattern::Present)),
            (Ok(name), Some(Ok(value))) => route.headers.push((name, HeaderPattern::Is(value))),
            (Err(_), _) => document.problem(&header_field, "is no name of a header"),
            (_, Some(Err(_))) => document.problem(&header_field, "is not a valid header value"),
        }
    }
    let is_duplicate = |(n, (name, _)): (usize, &(HeaderName, HeaderPattern))| {
        route.headers[..n].iter().any(|h| h.0 == *name)
    };
    let has_duplicate = route.headers.iter().enumerate().any(is_duplicate);
    document.require(
        !has_duplicate,
        &field("headers"),
        "contain the same header twice; header names are case-insensitive",
    );
    (route.class, route.set_class) = (section.class.clone(), section.set_class.clone());
    route.graphql = section.graphql;
    if section.graphql && section.set_class.is_some() {
        document.problem(
            &field("set_class"),
            "is given beside graphql; the class follows from the operation",
        );
    }
    route.to = destinations(document, entry, section, pools);
    route
}

fn path_pattern(document: &mut Document<'_>, entry: &str, section: &Section) -> PathPattern {
    let (path_field, prefix_field) = (format!("{entry}.path"), format!("{entry}.path_prefix"));
    let (field, parsed) = match (&section.path, &section.path_prefix) {
        (Some(_), Some(_)) => (
            prefix_field,
            Err("cannot be combined with path; write one of them".to_string()),
        ),
        (Some(path), None) => (path_field, PathPattern::whole(path)),
        (None, Some(path)) => (prefix_field, PathPattern::prefix(path)),
        (None, None) => (path_field, Ok(PathPattern::any())),
    };
    match parsed {
        Ok(pattern) => {
            let is_ready_path = pattern.pieces == [Piece::Literal("ready".to_string())];
            document.require(
                !is_ready_path,
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

fn destinations(
    document: &mut Document<'_>,
    entry: &str,
    section: &Section,
    pools: &Names,
) -> Vec<(usize, u32)> {
    let (pool_field, split_field) = (format!("{entry}.pool"), format!("{entry}.split"));
    match &section.pool {
        Some(_) if !section.split.is_empty() => document.problem(
            &split_field,
            "cannot be combined with pool; write one of them",
        ),
        Some(name) => {
            return pools
                .find(document, &pool_field, name)
                .map(|pool| vec![(pool, 1)])
                .unwrap_or_default();
        }
        None if section.split.is_empty() => {
            if !document.has(&pool_field) && !document.has(&split_field) {
                document.problem(
                    &pool_field,
                    "is missing; write the name of a pool, or split between several",
                );
            }
        }
        None => {
            let total_weight: u64 = section
                .split
                .iter()
                .map(|split| u64::from(split.weight))
                .sum();
            let has_weights = (0..section.split.len())
                .all(|n| document.has(&format!("{split_field}[{n}].weight")));
            document.require(
                total_weight > 0 || !has_weights,
                &split_field,
                "has no weight above 0, so no pool would get a request",
            );
            let mut destinations: Vec<(usize, u32)> = Vec::new();
            for (n, split) in section.split.iter().enumerate() {
                let field = format!("{split_field}[{n}]");
                document.require(
                    document.has(&format!("{field}.weight")),
                    &field,
                    "has no weight; write one such as 5",
                );
                let Some(pool) = pools.find(document, &format!("{field}.pool"), &split.pool) else {
                    continue;
                };
                let is_duplicate = destinations.iter().any(|other| other.0 == pool);
                document.require(
                    !is_duplicate,
                    &format!("{field}.pool"),
                    "is listed twice; add its weights",
                );
                destinations.push((pool, split.weight));
            }
            return destinations;
        }
    }
    Vec::new()
}

/// Reports classes that the pools of a route do not have; every request of such a class would be rejected.
fn check_classes<'c>(
    document: &mut Document<'_>,
    entry: &str,
    route: &Route,
    pools: &Names,
    pool_at: &dyn Fn(usize) -> Option<&'c Pool>,
) {
    for (pool, _) in &route.to {
        if route.graphql {
            let has_graphql = pool_at(*pool).map_or(*pool > 0, |pool| pool.graphql.is_some());
            // An invalid section has already been reported.
            let already_reported = pool
                .checked_sub(1)
                .is_some_and(|index| document.has(&format!("pools[{index}].graphql")));
            let problem = format!(
                "is set, and pool {} has no [pools.graphql]; add it",
                pools.name(*pool)
            );
            document.require(
                has_graphql || already_reported,
                &format!("{entry}.graphql"),
                problem,
            );
            continue;
        }
        // The classes of the platform's pool are not known here.
        let Some(classes) = pool_at(*pool).map(|pool| pool.site.classes.as_slice()) else {
            continue;
        };
        let first_segment = match route.path.pieces.first() {
            Some(Piece::Literal(name)) if route.set_class.is_none() => Some(name),
            _ => None,
        };
        let referenced_classes = [
            ("set_class", route.set_class.as_ref()),
            ("class", route.class.as_ref()),
            ("path", first_segment),
        ];
        for (field, class) in referenced_classes {
            // With set_class, the class in the request is replaced and may be any.
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
            document.problem(&format!("{entry}.{field}"), problem);
        }
    }
}
