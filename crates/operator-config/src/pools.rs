//! `[[pools]]`: the servers of a service, and how requests are distributed over them.

use crate::limits::{MemberSection, ResourceLimits};
use crate::names::is_name;
use crate::state::{PersistenceOptions, PoolSection, State};
use madderloom_balancer::RetrySafety;
use madderloom_balancer::settings::{Site, settings_key};
use madderloom_config_reader::Document;
use madderloom_degradation::{ClassTraits, LevelPlan, LevelsSection};
use madderloom_graphql::{ClassInfo, Policy};
use madderloom_sidecar_state::IdempotencyMode;
use serde::{Deserialize, Deserializer};
use std::net::SocketAddr;

/// An entry as it is written.
#[derive(Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Section {
    pub(crate) name: String,
    discovery: Option<SocketAddr>,
    servers: Vec<ServerSection>,
    settings_file: Option<String>,
    settings: Option<Settings>,
    limits: MemberSection,
    levels: Option<LevelsSection>,
    graphql: Option<madderloom_graphql::Section>,
    ledger: Option<IdempotencyMode>,
    warm_start: Option<bool>,
}

#[derive(Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ServerSection {
    name: String,
    address: Option<SocketAddr>,
    zone: String,
    kind: String,
    group: u32,
    weight: Option<f64>,
}

/// The settings object in the file itself, and the names in it that nothing reads.
#[derive(Clone)]
struct Settings {
    site: Site,
    unread: Vec<String>,
}

impl<'a> Deserialize<'a> for Settings {
    fn deserialize<D: Deserializer<'a>>(reader: D) -> Result<Self, D::Error> {
        let mut unread = Vec::new();
        let site = serde_ignored::deserialize(reader, |path| unread.push(path.to_string()))?;
        Ok(Settings { site, unread })
    }
}

/// A pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// Where its list of servers comes from; without it, `servers` is the list.
    pub discovery: Option<SocketAddr>,
    /// Its servers, or those that are known until discovery tells.
    pub servers: Vec<Server>,
    /// Its classes, zones and all that its decision module is told.
    pub site: Site,
    /// What its requests may hold together.
    pub limits: ResourceLimits,
    /// What it gives up when; it always gives full service where there are none.
    pub levels: Option<LevelPlan>,
    /// How its GraphQL operations are classed, if it has any.
    pub graphql: Option<Policy>,
    /// What of it outlasts the process.
    pub persistence: PersistenceOptions,
}

/// A server that the file names.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its name; the same at every instance, so that instances agree on it.
    pub name: String,
    /// Where it is.
    pub address: SocketAddr,
    /// Its zone, by the name in the settings.
    pub zone: String,
    /// The kind of machine, by the name in the settings.
    pub kind: String,
    /// Its cell.
    pub group: u32,
    /// Its capacity beside the others'.
    pub weight: f64,
}

/// The pools by their places; none where its settings can't be read, which is noted.
pub(crate) fn check(
    document: &mut Document<'_>,
    sections: Vec<Section>,
    state: Option<&State>,
    read: &dyn Fn(&str) -> Result<String, String>,
) -> Vec<Option<Pool>> {
    let pools = sections.into_iter().enumerate();
    pools
        .map(|(at, section)| check_one(document, &format!("pools[{at}]"), section, state, read))
        .collect()
}

fn check_one(
    document: &mut Document<'_>,
    at: &str,
    section: Section,
    state: Option<&State>,
    read: &dyn Fn(&str) -> Result<String, String>,
) -> Option<Pool> {
    let persistence = PoolSection {
        ledger: section.ledger,
        warm_start: section.warm_start,
    };
    let persistence = persistence.check(document, at, state);
    let limits = section.limits.check(document, &format!("{at}.limits"));
    if !document.has(&format!("{at}.discovery")) && !document.has(&format!("{at}.servers")) {
        let problem =
            "has neither discovery nor servers; write one such as discovery = \"127.0.0.1:8500\"";
        document.problem(at, problem);
    }
    let servers = check_servers(document, at, section.servers);
    let site = site(document, at, section.settings_file, section.settings, read)?;
    for (place, server) in servers.iter().enumerate() {
        for (name, given, known) in [
            ("zone", &server.zone, &site.zones),
            ("kind", &server.kind, &site.kinds),
        ] {
            let sound = given.is_empty() || known.contains(given);
            let known = known.join(", ");
            let problem = format!("there is no {given} in the settings; there are {known}");
            document.require(sound, &format!("{at}.servers[{place}].{name}"), problem);
        }
    }
    let classes = class_infos(&site);
    let graphql = section
        .graphql
        .and_then(|graphql| graphql.check(document, &format!("{at}.graphql"), &classes));
    let levels = section
        .levels
        .map(|levels| levels.check(document, &format!("{at}.levels"), &facts(&site)));
    let (name, discovery) = (section.name, section.discovery);
    Some(Pool {
        name,
        discovery,
        servers,
        site,
        limits,
        levels,
        graphql,
        persistence,
    })
}

/// What levels need to know of the classes.
fn facts(site: &Site) -> Vec<ClassTraits> {
    let classes = site.classes.iter().zip(&site.settings.classes);
    let facts = classes.map(|(name, class)| ClassTraits {
        name: name.clone(),
        is_idempotent: class.retry_safety != RetrySafety::NonIdempotent,
    });
    facts.collect()
}

fn check_servers(
    document: &mut Document<'_>,
    at: &str,
    sections: Vec<ServerSection>,
) -> Vec<Server> {
    let mut servers: Vec<Server> = Vec::new();
    for (place, section) in sections.into_iter().enumerate() {
        let own = |name: &str| format!("{at}.servers[{place}].{name}");
        if !is_name(&section.name) && (section.name.is_empty() || document.has(&own("name"))) {
            document.problem(
                &own("name"),
                "is missing or no name; use letters, digits, `-`, `_` and `.`",
            );
        }
        let twice = servers.iter().any(|s| s.name == section.name);
        document.require(
            !twice,
            &own("name"),
            "is there twice; names are unique in a pool",
        );
        if section.address.is_none() && !document.has(&own("address")) {
            document.problem(
                &own("address"),
                "is missing; write one such as \"127.0.0.1:6001\"",
            );
        }
        let weight = section.weight.unwrap_or(1.0);
        document.require(
            weight.is_finite() && weight > 0.0,
            &own("weight"),
            "must be above 0",
        );
        let address = section
            .address
            .unwrap_or(SocketAddr::from(([0, 0, 0, 0], 0)));
        let ServerSection {
            name,
            zone,
            kind,
            group,
            ..
        } = section;
        servers.push(Server {
            name,
            address,
            zone,
            kind,
            group,
            weight,
        });
    }
    servers
}

/// The settings, from the file itself or from the one that it names.
fn site(
    document: &mut Document<'_>,
    at: &str,
    file: Option<String>,
    inline: Option<Settings>,
    read: &dyn Fn(&str) -> Result<String, String>,
) -> Option<Site> {
    let (in_file, in_place) = (format!("{at}.settings_file"), format!("{at}.settings"));
    let (field, site, prefix) = match (file, inline) {
        (Some(_), Some(_)) => {
            document.problem(&in_file, "is given beside settings; write one of them");
            return None;
        }
        (Some(name), None) => match from_json(&name, read) {
            Ok(site) => (in_file, site, format!("{name}: ")),
            Err(problem) => {
                document.problem(&in_file, problem);
                return None;
            }
        },
        (None, Some(settings)) => {
            for name in &settings.unread {
                // Of a list, the path is written with dots.
                let name = bracketed(name);
                document.problem(
                    &format!("{in_place}.{name}"),
                    "is no setting that is read; take it out",
                );
            }
            (in_place, settings.site, String::new())
        }
        (None, None) => {
            // Settings that can't be read have been told of.
            if !document.has(&in_file) && !document.has(&in_place) {
                document.problem(
                    at,
                    "has no settings; write settings_file = \"...\" or [pools.settings]",
                );
            }
            return None;
        }
    };
    if let Err(problem) = site.settings.validate() {
        let inner = settings_key(&problem.field);
        let (at, inner) = if prefix.is_empty() {
            (format!("{field}.{inner}"), String::new())
        } else {
            (field, inner + ": ")
        };
        document.problem(&at, format_args!("{prefix}{inner}{}", problem.problem));
        return None;
    }
    Some(site)
}

/// The classes of the settings, as far as GraphQL operations are given them.
fn class_infos(site: &Site) -> Vec<ClassInfo> {
    let classes = site.classes.iter().zip(&site.settings.classes);
    let info = |(name, class): (&String, &madderloom_balancer::Class)| ClassInfo {
        name: name.clone(),
        effect: class.retry_safety,
        aim: class.latency_objective,
    };
    classes.map(info).collect()
}

/// A settings object, or a whole configuration of a sidecar that holds one.
fn from_json(name: &str, read: &dyn Fn(&str) -> Result<String, String>) -> Result<Site, String> {
    #[derive(Deserialize)]
    struct Configuration<'t> {
        #[serde(borrow)]
        settings: Option<&'t serde_json::value::RawValue>,
    }
    let text = read(name).map_err(|e| format!("{name}: {e}"))?;
    let whole: Configuration<'_> =
        serde_json::from_str(&text).map_err(|e| format!("{name}: {e}"))?;
    let told = |e: String| format!("{name}: {}", e.replace(['\n', '\r'], " "));
    Site::from_json(
        whole
            .settings
            .map_or(text.as_str(), |settings| settings.get()),
    )
    .map_err(told)
}

/// `a.0.b` as `a[0].b`.
fn bracketed(path: &str) -> String {
    let mut written = String::new();
    for step in path.split('.') {
        match step.parse::<usize>() {
            Ok(number) => written += &format!("[{number}]"),
            Err(_) if written.is_empty() => written += step,
            Err(_) => written += &format!(".{step}"),
        }
    }
    written
}
