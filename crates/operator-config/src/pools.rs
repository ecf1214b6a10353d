//! `[[pools]]`: the servers of a service and how requests are distributed over them.

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

/// An entry as written in the file.
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

/// The settings in the operator file itself, and the names in them that are not known.
#[derive(Clone)]
struct Settings {
    site: Site,
    unknown_names: Vec<String>,
}

impl<'a> Deserialize<'a> for Settings {
    fn deserialize<D: Deserializer<'a>>(reader: D) -> Result<Self, D::Error> {
        let mut unknown_names = Vec::new();
        let site = serde_ignored::deserialize(reader, |path| unknown_names.push(path.to_string()))?;
        Ok(Settings {
            site,
            unknown_names,
        })
    }
}

/// A pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Name of the pool.
    pub name: String,
    /// Address of the discovery service that lists its servers. If absent, `servers` is the list.
    pub discovery: Option<SocketAddr>,
    /// Its servers, or the initial servers until discovery has answered.
    pub servers: Vec<Server>,
    /// Its classes, zones and settings of the decision module.
    pub site: Site,
    /// Limits that all its requests share.
    pub limits: ResourceLimits,
    /// Its degradation levels; if absent, it never degrades.
    pub levels: Option<LevelPlan>,
    /// How its GraphQL operations are classified, if it serves any.
    pub graphql: Option<Policy>,
    /// The state of the pool that is persisted across restarts.
    pub persistence: PersistenceOptions,
}

/// A server in the operator file.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Name of the server; must be the same at every instance.
    pub name: String,
    /// Address of the server.
    pub address: SocketAddr,
    /// Name of its zone in the settings.
    pub zone: String,
    /// Name of its machine kind in the settings.
    pub kind: String,
    /// Cell of the server.
    pub group: u32,
    /// Its capacity relative to the other servers.
    pub weight: f64,
}

/// Returns the pools by index. A pool with invalid settings is `None`, and its problem is reported.
pub(crate) fn check(
    document: &mut Document<'_>,
    sections: Vec<Section>,
    state: Option<&State>,
    read: &dyn Fn(&str) -> Result<String, String>,
) -> Vec<Option<Pool>> {
    let pools = sections.into_iter().enumerate();
    pools
        .map(|(index, section)| {
            check_one(document, &format!("pools[{index}]"), section, state, read)
        })
        .collect()
}

fn check_one(
    document: &mut Document<'_>,
    entry: &str,
    section: Section,
    state: Option<&State>,
    read: &dyn Fn(&str) -> Result<String, String>,
) -> Option<Pool> {
    let persistence = PoolSection {
        ledger: section.ledger,
        warm_start: section.warm_start,
    };
    let persistence = persistence.check(document, entry, state);
    let limits = section.limits.check(document, &format!("{entry}.limits"));
    if !document.has(&format!("{entry}.discovery")) && !document.has(&format!("{entry}.servers")) {
        let problem =
            "has neither discovery nor servers; write one such as discovery = \"127.0.0.1:8500\"";
        document.problem(entry, problem);
    }
    let servers = check_servers(document, entry, section.servers);
    let site = read_settings(
        document,
        entry,
        section.settings_file,
        section.settings,
        read,
    )?;
    for (index, server) in servers.iter().enumerate() {
        for (name, given, known) in [
            ("zone", &server.zone, &site.zones),
            ("kind", &server.kind, &site.kinds),
        ] {
            let is_known = given.is_empty() || known.contains(given);
            let known = known.join(", ");
            let problem = format!("there is no {given} in the settings; there are {known}");
            document.require(
                is_known,
                &format!("{entry}.servers[{index}].{name}"),
                problem,
            );
        }
    }
    let classes = class_infos(&site);
    let graphql = section
        .graphql
        .and_then(|graphql| graphql.check(document, &format!("{entry}.graphql"), &classes));
    let levels = section
        .levels
        .map(|levels| levels.check(document, &format!("{entry}.levels"), &class_traits(&site)));
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

/// Returns the properties of the classes that the check of degradation levels needs.
fn class_traits(site: &Site) -> Vec<ClassTraits> {
    let classes = site.classes.iter().zip(&site.settings.classes);
    let traits = classes.map(|(name, class)| ClassTraits {
        name: name.clone(),
        is_idempotent: class.retry_safety != RetrySafety::NonIdempotent,
    });
    traits.collect()
}

fn check_servers(
    document: &mut Document<'_>,
    entry: &str,
    sections: Vec<ServerSection>,
) -> Vec<Server> {
    let mut servers: Vec<Server> = Vec::new();
    for (index, section) in sections.into_iter().enumerate() {
        let field = |name: &str| format!("{entry}.servers[{index}].{name}");
        if !is_name(&section.name) && (section.name.is_empty() || document.has(&field("name"))) {
            document.problem(
                &field("name"),
                "is missing or not a name; use letters, digits, `-`, `_` and `.`",
            );
        }
        let is_duplicate = servers.iter().any(|s| s.name == section.name);
        document.require(
            !is_duplicate,
            &field("name"),
            "is there twice; names are unique in a pool",
        );
        if section.address.is_none() && !document.has(&field("address")) {
            document.problem(
                &field("address"),
                "is missing; write one such as \"127.0.0.1:6001\"",
            );
        }
        let weight = section.weight.unwrap_or(1.0);
        document.require(
            weight.is_finite() && weight > 0.0,
            &field("weight"),
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

/// Reads the settings from the operator file itself or from the file that it refers to.
fn read_settings(
    document: &mut Document<'_>,
    entry: &str,
    file: Option<String>,
    inline: Option<Settings>,
    read: &dyn Fn(&str) -> Result<String, String>,
) -> Option<Site> {
    let (file_field, inline_field) = (
        format!("{entry}.settings_file"),
        format!("{entry}.settings"),
    );
    let (field, site, prefix) = match (file, inline) {
        (Some(_), Some(_)) => {
            document.problem(
                &file_field,
                "cannot be combined with settings; write one of them",
            );
            return None;
        }
        (Some(name), None) => match read_settings_file(&name, read) {
            Ok(site) => (file_field, site, format!("{name}: ")),
            Err(problem) => {
                document.problem(&file_field, problem);
                return None;
            }
        },
        (None, Some(settings)) => {
            for name in &settings.unknown_names {
                // serde_ignored writes list indexes with dots.
                let path = bracket_indexes(name);
                document.problem(
                    &format!("{inline_field}.{path}"),
                    "is no setting that is read; take it out",
                );
            }
            (inline_field, settings.site, String::new())
        }
        (None, None) => {
            // Settings that are present but invalid have already been reported.
            if !document.has(&file_field) && !document.has(&inline_field) {
                document.problem(
                    entry,
                    "has no settings; write settings_file = \"...\" or [pools.settings]",
                );
            }
            return None;
        }
    };
    if let Err(problem) = site.settings.validate() {
        let inner = settings_key(&problem.field);
        let (field, inner) = if prefix.is_empty() {
            (format!("{field}.{inner}"), String::new())
        } else {
            (field, inner + ": ")
        };
        document.problem(&field, format_args!("{prefix}{inner}{}", problem.problem));
        return None;
    }
    Some(site)
}

/// Returns the properties of the classes that the classification of GraphQL operations needs.
fn class_infos(site: &Site) -> Vec<ClassInfo> {
    let classes = site.classes.iter().zip(&site.settings.classes);
    let info = |(name, class): (&String, &madderloom_balancer::Class)| ClassInfo {
        name: name.clone(),
        effect: class.retry_safety,
        aim: class.latency_objective,
    };
    classes.map(info).collect()
}

/// Reads a settings object, or the settings of a complete sidecar configuration.
fn read_settings_file(
    name: &str,
    read: &dyn Fn(&str) -> Result<String, String>,
) -> Result<Site, String> {
    #[derive(Deserialize)]
    struct Configuration<'t> {
        #[serde(borrow)]
        settings: Option<&'t serde_json::value::RawValue>,
    }
    let text = read(name).map_err(|e| format!("{name}: {e}"))?;
    let configuration: Configuration<'_> =
        serde_json::from_str(&text).map_err(|e| format!("{name}: {e}"))?;
    let error = |e: String| format!("{name}: {}", e.replace(['\n', '\r'], " "));
    Site::from_json(
        configuration
            .settings
            .map_or(text.as_str(), |settings| settings.get()),
    )
    .map_err(error)
}

/// Converts a path such as `a.0.b` to `a[0].b`.
fn bracket_indexes(path: &str) -> String {
    let mut bracketed = String::new();
    for step in path.split('.') {
        match step.parse::<usize>() {
            Ok(number) => bracketed += &format!("[{number}]"),
            Err(_) if bracketed.is_empty() => bracketed += step,
            Err(_) => bracketed += &format!(".{step}"),
        }
    }
    bracketed
}
