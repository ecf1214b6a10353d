//! Keeps the text of an operator file as it was read, so that the overlay set by the fleet's operators can be applied to it.

use crate::{ConfigErrors, OperatorConfig, Problem};
use madderloom_control_plane::settings::{Fingerprint, Key, Overlay, Value};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use toml::{Table, Value as Toml};

/// The texts of an operator file and of the files that it refers to, as they were when they were read.
#[derive(Clone, Debug, Default)]
pub struct Source {
    file: PathBuf,
    text: String,
    referenced: BTreeMap<String, Result<String, String>>,
}

/// The path of each setting of the overlay in the edited file.
type SettingPaths = Vec<(String, Key)>;

impl Source {
    /// Reads the file and the files that it refers to, and keeps their texts.
    ///
    /// # Errors
    /// All problems of the files.
    pub fn load(file: &Path) -> Result<(Self, OperatorConfig), ConfigErrors> {
        let text = crate::read_operator_file(file)?;
        let referenced = RefCell::new(BTreeMap::new());
        let read_referenced = crate::referenced_file_reader(file);
        let read = |name: &str| {
            let text = read_referenced(name);
            referenced
                .borrow_mut()
                .insert(name.to_string(), text.clone());
            text
        };
        let parsed = OperatorConfig::parse(&text, &read);
        let operator = parsed.map_err(|problems| ConfigErrors {
            file: file.to_path_buf(),
            problems,
        })?;
        let referenced = referenced.into_inner();
        Ok((
            Source {
                file: file.to_path_buf(),
                text,
                referenced,
            },
            operator.resolve_paths(file),
        ))
    }

    /// Returns a fingerprint of the texts; equal texts have equal fingerprints.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(&(&self.text, &self.referenced))
    }

    /// Applies the limits and routes of an overlay to the file and checks the result like any file. Other settings of the
    /// overlay are ignored.
    ///
    /// # Errors
    /// The invalid setting, as `set.limit/SERVICE/LIMIT` or `set.route/NAME` followed by the path below it, or `set` if
    /// the file as a whole is no longer valid.
    pub fn apply(
        &self,
        overlay: &Overlay,
    ) -> Result<OperatorConfig, madderloom_control_plane::Problem> {
        let (text, paths) = self.apply_to_text(overlay)?;
        let read = |name: &str| {
            self.referenced
                .get(name)
                .cloned()
                .unwrap_or_else(|| Err("was not read".into()))
        };
        let read = OperatorConfig::parse(&text, &read)
            .map_err(|problems| setting_problem(&problems, &paths));
        read.map(|operator| operator.resolve_paths(&self.file))
    }

    fn apply_to_text(
        &self,
        overlay: &Overlay,
    ) -> Result<(String, SettingPaths), madderloom_control_plane::Problem> {
        let setting_error = |key: &Key, problem: String| madderloom_control_plane::Problem {
            field: format!("set.{key}"),
            problem,
        };
        let mut file: Table =
            self.text
                .parse()
                .map_err(|e: toml::de::Error| madderloom_control_plane::Problem {
                    field: "set".into(),
                    problem: format!("the file can't be read: {}", e.message()),
                })?;
        let mut paths = Vec::new();
        for (key, value) in &overlay.0 {
            let path = match (key, value) {
                (Key::Limit { service, limit }, Value::Limit(number)) => {
                    set_limit(&mut file, (service, limit), *number)
                }
                (Key::Route(name), Value::Route(text)) => set_route(&mut file, name, text),
                _ => continue,
            };
            paths.push((
                path.map_err(|problem| setting_error(key, problem))?,
                key.clone(),
            ));
        }
        let text = if paths.is_empty() {
            self.text.clone()
        } else {
            file.to_string()
        };
        Ok((text, paths))
    }
}

/// Returns an array of the file, creating it if it is absent.
fn array_entry<'f>(file: &'f mut Table, name: &str) -> Result<&'f mut Vec<Toml>, String> {
    let array = file.entry(name).or_insert_with(|| Toml::Array(Vec::new()));
    array
        .as_array_mut()
        .ok_or_else(|| format!("{name} of the file is not a list"))
}

fn name_of(entry: &Toml) -> Option<&str> {
    entry.get("name")?.as_str()
}

/// Sets a limit of a pool and returns the path of the limit in the file.
fn set_limit(
    file: &mut Table,
    (service, limit): (&str, &str),
    number: u64,
) -> Result<String, String> {
    let number = i64::try_from(number).map_err(|_| format!("{number} is too much"))?;
    let pools = array_entry(file, "pools")?;
    let index = pools
        .iter()
        .position(|pool| name_of(pool) == Some(service))
        .ok_or_else(|| {
            let known: Vec<&str> = pools.iter().filter_map(name_of).collect();
            format!("there is no pool {service}; there are {}", known.join(", "))
        })?;
    // Without a subfield, the name of a resource means its maximum.
    let limit = match limit {
        "open" | "bodies" | "connections" => &format!("{limit}.most"),
        other => other,
    };
    let mut table = pools.get_mut(index).and_then(Toml::as_table_mut);
    let mut steps: Vec<&str> = std::iter::once("limits").chain(limit.split('.')).collect();
    let last = steps.pop().unwrap_or_default();
    for step in steps {
        let below = table.and_then(|table| {
            table
                .entry(step)
                .or_insert(Toml::Table(Table::new()))
                .as_table_mut()
        });
        table = Some(below.ok_or_else(|| format!("{step} has nothing below it"))?);
    }
    if let Some(table) = table {
        table.insert(last.to_string(), Toml::Integer(number));
    }
    Ok(format!("pools[{index}].limits.{limit}"))
}

/// Adds or replaces a route and returns the path of the route in the file.
fn set_route(file: &mut Table, name: &str, text: &str) -> Result<String, String> {
    let mut route: Table = text
        .parse()
        .map_err(|e: toml::de::Error| format!("is no TOML: {}", e.message()))?;
    if route
        .get("name")
        .is_some_and(|route_name| route_name.as_str() != Some(name))
    {
        return Err(format!("has another name; leave it out, or write {name}"));
    }
    route.insert("name".to_string(), Toml::String(name.to_string()));
    let routes = array_entry(file, "routes")?;
    let index = routes
        .iter()
        .position(|route| name_of(route) == Some(name))
        .unwrap_or(routes.len());
    match routes.get_mut(index) {
        Some(existing) => *existing = Toml::Table(route),
        None => routes.push(Toml::Table(route)),
    }
    Ok(format!("routes[{index}]"))
}

/// Returns the first problem within the path of a setting, reported under the name of the setting. If there is none,
/// returns the first problem.
fn setting_problem(
    problems: &[Problem],
    paths: &SettingPaths,
) -> madderloom_control_plane::Problem {
    let by_setting = |problem: &Problem| {
        paths.iter().find_map(|(path, key)| {
            let rest = problem.field.strip_prefix(path.as_str())?;
            let is_inside = rest.is_empty() || rest.starts_with(['.', '[']);
            is_inside.then(|| madderloom_control_plane::Problem {
                field: format!("set.{key}{rest}"),
                problem: problem.problem.clone(),
            })
        })
    };
    problems.iter().find_map(by_setting).unwrap_or_else(|| {
        let first = problems
            .first()
            .map(|p| format!("{}: {}", p.field, p.problem))
            .unwrap_or_default();
        madderloom_control_plane::Problem {
            field: "set".into(),
            problem: format!("the file with the overlay is invalid: {first}"),
        }
    })
}
