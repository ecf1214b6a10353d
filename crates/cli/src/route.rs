//! `madderloom route`: where requests go, without sending any.

use crate::output::{Output, table, tell, tell_problems};
use http::header::{HOST, HeaderName, HeaderValue};
use http::{HeaderMap, Method, Uri, Version};
use madderloom_operator_config::{OperatorConfig, PLATFORM};
use madderloom_routing::request::{Asked, split_key};
use madderloom_routing::routes::Verdict;
use serde_json::{Value, json};
use std::path::PathBuf;
use std::process::ExitCode;

/// Says where requests go.
#[derive(clap::Subcommand)]
pub(crate) enum Route {
    /// Says which route a request takes, to which pool and in which class, and which routes lose and why
    Explain(Explain),
}

/// Says which route a request takes, to which pool and in which class, and which routes lose and why.
///
/// Nothing is sent. Exits with 0 where a route takes the request, with 1 where none does or the request makes no
/// sense.
#[derive(clap::Args)]
#[command(
    after_help = "Example:\n  madderloom route explain --operator operator.toml GET http://reports.example.org/reports/7"
)]
pub(crate) struct Explain {
    /// The operator file
    #[arg(long, value_name = "FILE")]
    operator: PathBuf,
    /// The listener that the request comes to; the first of the file, unless it is named
    #[arg(long, value_name = "NAME")]
    listener: Option<String>,
    /// The request's method
    method: String,
    /// The request's target: an address, whose host goes into Host, or a path
    url: String,
    /// A header of the request, as in `-H 'X-Beta: 1'`
    #[arg(short = 'H', long = "header", value_name = "HEADER")]
    headers: Vec<String>,
    /// How the outcome is told
    #[arg(long, value_enum, default_value_t = Output::Text)]
    output: Output,
}

impl Route {
    pub(crate) fn run(self) -> Result<ExitCode, String> {
        let Route::Explain(explain) = self;
        explain.run()
    }
}

impl Explain {
    fn run(self) -> Result<ExitCode, String> {
        let operator = match OperatorConfig::load(&self.operator) {
            Ok(operator) => operator,
            Err(faults) => {
                tell_problems(&faults.file, &faults.problems, self.output);
                return Ok(ExitCode::FAILURE);
            }
        };
        let places = 0..=operator.listeners.len();
        let listener = match &self.listener {
            Some(name) => {
                let known = places
                    .clone()
                    .map(|at| operator.listener_name(at))
                    .collect::<Vec<_>>()
                    .join(", ");
                let found = places
                    .clone()
                    .find(|at| operator.listener_name(*at) == name);
                found.ok_or_else(|| format!("--listener: there is no {name}; there are {known}"))?
            }
            None => usize::from(!operator.listeners.is_empty()),
        };
        let method: Method = self.method.parse().map_err(|e| format!("METHOD: {e}"))?;
        let (uri, headers) = self.head()?;
        let (table, routes) = (operator.route_table(), &operator.routes);
        let asked = match Asked::read(&method, &uri, Version::HTTP_11, &headers) {
            Ok(asked) => asked,
            Err(fault) => {
                match self.output {
                    Output::Text => tell(format_args!("400: {fault}")),
                    Output::Json => tell(json!({"status": 400, "problem": fault.text()})),
                }
                return Ok(ExitCode::FAILURE);
            }
        };
        let verdicts = table.explain(listener, &asked);
        let taken = routes
            .iter()
            .zip(&verdicts)
            .find(|(_, v)| **v == Verdict::Taken)
            .map(|(route, _)| route);
        // What no route takes on the platform's own listener goes on as it does without a file.
        let fallback = (taken.is_none() && listener == 0).then_some(PLATFORM);
        let key = split_key(&headers);
        let pool = taken
            .map(|route| operator.pool_name(route.choose(key.unwrap_or(0))))
            .or(fallback);
        let split: Vec<(&str, u32)> = taken
            .filter(|route| route.to.len() > 1)
            .map(|route| {
                route
                    .to
                    .iter()
                    .map(|(p, weight)| (operator.pool_name(*p), *weight))
                    .collect()
            })
            .unwrap_or_default();
        let by_chance = !split.is_empty() && key.is_none();
        let by_document = taken
            .is_some_and(|route| route.graphql)
            .then(|| "by what it asks in GraphQL".to_string());
        let class = by_document.or(taken.and_then(|route| route.set_class.clone()));
        let class = class.unwrap_or_else(|| String::from_utf8_lossy(asked.class()).into_owned());
        let others = routes
            .iter()
            .zip(&verdicts)
            .filter(|(_, v)| **v != Verdict::Taken);
        match self.output {
            Output::Json => tell(json!({
                "listener": operator.listener_name(listener), "route": taken.map(|r| &r.name),
                "pool": if by_chance { None } else { pool }, "class": class,
                "split": split.iter().map(|(pool, weight)| json!({"pool": pool, "weight": weight})).collect::<Value>(),
                "others": others.map(|(r, v)| json!({"route": r.name, "why": v.to_string()})).collect::<Value>(),
            })),
            Output::Text => {
                let named = |name: Option<&str>| name.unwrap_or("none").to_string();
                let shares = split
                    .iter()
                    .map(|(p, w)| format!("{p} {w}"))
                    .collect::<Vec<_>>()
                    .join(", ");
                let pool = match (by_chance, split.is_empty()) {
                    (true, _) => format!("by the request's key: {shares}"),
                    (false, false) => format!("{} (of {shares})", named(pool)),
                    (false, true) => named(pool),
                };
                let mut rows = vec![
                    vec![
                        "listener".to_string(),
                        operator.listener_name(listener).to_string(),
                    ],
                    vec!["route".to_string(), named(taken.map(|r| r.name.as_str()))],
                    vec!["pool".to_string(), pool],
                    vec!["class".to_string(), class],
                ];
                rows.extend(
                    others.map(|(r, v)| vec![format!("not {}", r.name), format!("it {v}")]),
                );
                tell(table_of(&rows));
            }
        }
        Ok(if pool.is_some() {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        })
    }

    /// Target and headers as a client would send them.
    fn head(&self) -> Result<(Uri, HeaderMap), String> {
        let uri: Uri = self
            .url
            .parse()
            .map_err(|e| format!("URL: {}: {e}", self.url))?;
        let mut headers = HeaderMap::new();
        for header in &self.headers {
            let (name, value) = header
                .split_once(':')
                .ok_or_else(|| format!("-H: {header:?} has no colon; write 'Name: value'"))?;
            let name: HeaderName = name
                .trim()
                .parse()
                .map_err(|e| format!("-H: {header:?}: {e}"))?;
            let value: HeaderValue = value
                .trim()
                .parse()
                .map_err(|e| format!("-H: {header:?}: {e}"))?;
            headers.append(name, value);
        }
        let authority = uri.authority().cloned().filter(|_| uri.scheme().is_some());
        let Some(authority) = authority.filter(|_| !headers.contains_key(HOST)) else {
            return Ok((uri, headers));
        };
        headers.insert(
            HOST,
            authority
                .as_str()
                .parse()
                .map_err(|e| format!("URL: {}: {e}", self.url))?,
        );
        let path = uri.path_and_query().map_or("/", |p| p.as_str());
        Ok((
            path.parse()
                .map_err(|e| format!("URL: {}: {e}", self.url))?,
            headers,
        ))
    }
}

fn table_of(rows: &[Vec<String>]) -> String {
    table(rows).trim_end().to_string()
}
