//! An operator file as it was read, to be read again with what the fleet's operators set beside it.

use crate::{ConfigErrors, OperatorConfig, Problem};
use madderloom_control_plane::settings::{Fingerprint, Key, Overlay, Value};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use toml::{Table, Value as Toml};

/// The texts of an operator file and of those that it names, as they were when it was read.
#[derive(Clone, Debug, Default)]
pub struct Source {
    file: PathBuf,
    text: String,
    named: BTreeMap<String, Result<String, String>>,
}

/// Where in the edited file a setting stands.
type Places = Vec<(String, Key)>;

impl Source {
    /// Reads the file and those that it names, and keeps what it read.
    ///
    /// # Errors
    /// All that is wrong with them.
    pub fn load(file: &Path) -> Result<(Self, OperatorConfig), ConfigErrors> {
        let text = crate::text_of(file)?;
        let named = RefCell::new(BTreeMap::new());
        let beside = crate::beside(file);
        let read = |name: &str| {
            let text = beside(name);
            named.borrow_mut().insert(name.to_string(), text.clone());
            text
        };
        let read = OperatorConfig::parse(&text, &read);
        let operator = read.map_err(|problems| ConfigErrors {
            file: file.to_path_buf(),
            problems,
        })?;
        let named = named.into_inner();
        Ok((
            Source {
                file: file.to_path_buf(),
                text,
                named,
            },
            operator.beside(file),
        ))
    }

    /// The same for the same texts.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(&(&self.text, &self.named))
    }

    /// The file with the limits and routes of an overlay in it, checked whole like any file. What else an overlay
    /// holds is passed over.
    ///
    /// # Errors
    /// The setting at fault, as `set.limit/SERVICE/LIMIT` or `set.route/NAME` with what is below it, or `set` where
    /// it is the file that no longer fits.
    pub fn apply(
        &self,
        overlay: &Overlay,
    ) -> Result<OperatorConfig, madderloom_control_plane::Problem> {
        let (text, places) = self.edited(overlay)?;
        let read = |name: &str| {
            self.named
                .get(name)
                .cloned()
                .unwrap_or_else(|| Err("was not read".into()))
        };
        let read = OperatorConfig::parse(&text, &read).map_err(|problems| told(&problems, &places));
        read.map(|operator| operator.beside(&self.file))
    }

    fn edited(
        &self,
        overlay: &Overlay,
    ) -> Result<(String, Places), madderloom_control_plane::Problem> {
        let fault = |key: &Key, problem: String| madderloom_control_plane::Problem {
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
        let mut places = Vec::new();
        for (key, value) in &overlay.0 {
            let place = match (key, value) {
                (Key::Limit { service, limit }, Value::Limit(number)) => {
                    set_limit(&mut file, (service, limit), *number)
                }
                (Key::Route(name), Value::Route(text)) => set_route(&mut file, name, text),
                _ => continue,
            };
            places.push((place.map_err(|problem| fault(key, problem))?, key.clone()));
        }
        let text = if places.is_empty() {
            self.text.clone()
        } else {
            file.to_string()
        };
        Ok((text, places))
    }
}

fn list<'f>(file: &'f mut Table, name: &str) -> Result<&'f mut Vec<Toml>, String> {
    let list = file.entry(name).or_insert_with(|| Toml::Array(Vec::new()));
    list.as_array_mut()
        .ok_or_else(|| format!("{name} of the file is no list"))
}

fn name_of(entry: &Toml) -> Option<&str> {
    entry.get("name")?.as_str()
}

fn set_limit(
    file: &mut Table,
    (service, limit): (&str, &str),
    number: u64,
) -> Result<String, String> {
    let number = i64::try_from(number).map_err(|_| format!("{number} is too much"))?;
    let pools = list(file, "pools")?;
    let at = pools
        .iter()
        .position(|pool| name_of(pool) == Some(service))
        .ok_or_else(|| {
            let known: Vec<&str> = pools.iter().filter_map(name_of).collect();
            format!("there is no pool {service}; there are {}", known.join(", "))
        })?;
    // The one figure that a count or a size has where no more is said.
    let limit = match limit {
        "open" | "bodies" | "connections" => &format!("{limit}.most"),
        other => other,
    };
    let mut table = pools.get_mut(at).and_then(Toml::as_table_mut);
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
    Ok(format!("pools[{at}].limits.{limit}"))
}

fn set_route(file: &mut Table, name: &str, text: &str) -> Result<String, String> {
    let mut route: Table = text
        .parse()
        .map_err(|e: toml::de::Error| format!("is no TOML: {}", e.message()))?;
    if route
        .get("name")
        .is_some_and(|own| own.as_str() != Some(name))
    {
        return Err(format!("has another name; leave it out, or write {name}"));
    }
    route.insert("name".to_string(), Toml::String(name.to_string()));
    let routes = list(file, "routes")?;
    let at = routes
        .iter()
        .position(|route| name_of(route) == Some(name))
        .unwrap_or(routes.len());
    match routes.get_mut(at) {
        Some(former) => *former = Toml::Table(route),
        None => routes.push(Toml::Table(route)),
    }
    Ok(format!("routes[{at}]"))
}

/// The first problem that stands where a setting does, by the setting's name; else the first one.
fn told(problems: &[Problem], places: &Places) -> madderloom_control_plane::Problem {
    let by_setting = |problem: &Problem| {
        places.iter().find_map(|(place, key)| {
            let rest = problem.field.strip_prefix(place.as_str())?;
            let below = rest.is_empty() || rest.starts_with(['.', '[']);
            below.then(|| madderloom_control_plane::Problem {
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
            problem: format!("with it, the file makes no sense: {first}"),
        }
    })
}
