//! Tests of the platform's configuration with every key as literal JSON: the values that are read, and the error for each
//! misspelled key, both in the first file of a process and in a reloaded one.

use super::{Config, ConfigKeys};
use madderloom_balancer::settings::Site;
use serde_json::Value;

const EVERY_KEY: &str = r#"{
 "name": "shop-1",
 "listen": "127.0.0.1:5000",
 "control": "127.0.0.1:5100",
 "discovery": "127.0.0.1:8500",
 "seed": "8c1f30d27a5be964",
 "limits": {
  "cores": 1.0,
  "memory_mb": 192,
  "sockets": 1025
 },
 "known": {
  "index": 1,
  "snapshot": true,
  "endpoints": [
   {
    "name": "s-one",
    "address": "127.0.0.1:6001",
    "zone": "north",
    "type": "fast",
    "group": 3,
    "status": "in_service",
    "weight": 2.5,
    "since_ms": 1700000000000
   }
  ]
 },
 "settings": {
  "group_size": 4,
  "my_zone": 1,
  "period": 5000,
  "discovery": "subscribe",
  "areas": ["north", "south"],
  "kinds": ["fast", "old"],
  "services": [
   {
    "name": "submit",
    "effect": "keyed",
    "key_scope": "all",
    "window": 4000000,
    "on_time": 600000,
    "aim_stretch": 1.5,
    "give_up": 1500000,
    "worth": 10,
    "late_worth": 0.25
   }
  ],
  "tenants": [
   {
    "quota_per_s": 7.5
   }
  ],
  "limits": {
   "cancel": true,
   "conn_idle": 61000000,
   "connect_timeout": 251000,
   "max_attempts": 6,
   "max_open": 20001,
   "retry_after": true,
   "max_retry_after": 2000000,
   "probes": true
  },
  "load_report": {
   "how": "probe",
   "fields": ["rif", "busy", "fail_rate"]
  },
  "safety": {
   "ask_within": 10000001,
   "cold": 8400000,
   "cold_from": 0.31,
   "fall": 2000000,
   "drain_grace": 3000000
  },
  "tariffs": {
   "cross_zone": 0.02,
   "probe": 0.0094
  },
  "worth_by": "work"
 }
}"#;

/// The expected errors for a file with one key misspelled.
struct Misspelled {
    /// The path of the key.
    key: &'static str,
    /// The error for the first file of a process; `None` if it is accepted.
    first_error: Option<&'static str>,
    /// The key reported missing in a reloaded file; `None` if none is.
    missing_on_reload: Option<&'static str>,
}

const fn accepted(key: &'static str, missing_on_reload: Option<&'static str>) -> Misspelled {
    Misspelled {
        key,
        first_error: None,
        missing_on_reload,
    }
}

const fn rejected(
    key: &'static str,
    first_error: &'static str,
    missing_on_reload: Option<&'static str>,
) -> Misspelled {
    Misspelled {
        key,
        first_error: Some(first_error),
        missing_on_reload,
    }
}

/// All keys, in the order of the file.
const MISSPELLED: [Misspelled; 62] = [
    accepted("name", Some("name")),
    rejected(
        "listen",
        "configuration: .: missing field `listen` at line 80 column 1",
        Some("listen"),
    ),
    accepted("control", None),
    rejected(
        "discovery",
        "configuration: .: missing field `discovery` at line 80 column 1",
        Some("discovery"),
    ),
    rejected(
        "seed",
        "configuration: .: missing field `seed` at line 80 column 1",
        Some("seed"),
    ),
    accepted("limits", Some("limits")),
    accepted("limits.cores", Some("limits.cores")),
    accepted("limits.memory_mb", Some("limits.memory_mb")),
    accepted("limits.sockets", Some("limits.sockets")),
    accepted("known", None),
    rejected(
        "known.index",
        "configuration: known: missing field `index` at line 27 column 2",
        None,
    ),
    rejected(
        "known.snapshot",
        "configuration: known: missing field `snapshot` at line 27 column 2",
        None,
    ),
    rejected(
        "known.endpoints",
        "configuration: known: missing field `endpoints` at line 27 column 2",
        None,
    ),
    rejected(
        "known.endpoints[0].name",
        "configuration: known.endpoints[0]: missing field `name` at line 25 column 4",
        None,
    ),
    rejected(
        "known.endpoints[0].address",
        "configuration: known.endpoints[0]: missing field `address` at line 25 column 4",
        None,
    ),
    accepted("known.endpoints[0].zone", None),
    accepted("known.endpoints[0].type", None),
    accepted("known.endpoints[0].group", None),
    rejected(
        "known.endpoints[0].status",
        "configuration: known.endpoints[0]: missing field `status` at line 25 column 4",
        None,
    ),
    accepted("known.endpoints[0].weight", None),
    accepted("known.endpoints[0].since_ms", None),
    rejected(
        "settings",
        "configuration: .: missing field `settings` at line 80 column 1",
        Some("settings"),
    ),
    rejected(
        "settings.group_size",
        "configuration: settings: missing field `group_size` at line 79 column 2",
        Some("settings.group_size"),
    ),
    rejected(
        "settings.my_zone",
        "configuration: settings: missing field `my_zone` at line 79 column 2",
        Some("settings.my_zone"),
    ),
    rejected(
        "settings.period",
        "configuration: settings: missing field `period` at line 79 column 2",
        Some("settings.period"),
    ),
    rejected(
        "settings.discovery",
        "configuration: settings: missing field `discovery` at line 79 column 2",
        Some("settings.discovery"),
    ),
    accepted("settings.areas", Some("settings.areas")),
    accepted("settings.kinds", Some("settings.kinds")),
    rejected(
        "settings.services",
        "configuration: settings: missing field `services` at line 79 column 2",
        Some("settings.services"),
    ),
    accepted(
        "settings.services[0].name",
        Some("settings.services[0].name"),
    ),
    rejected(
        "settings.services[0].effect",
        "configuration: settings.services[0]: missing field `effect` at line 46 column 4",
        Some("settings.services[0].effect"),
    ),
    accepted(
        "settings.services[0].key_scope",
        Some("settings.services[0].key_scope"),
    ),
    accepted(
        "settings.services[0].window",
        Some("settings.services[0].window"),
    ),
    rejected(
        "settings.services[0].on_time",
        "configuration: settings.services[0]: missing field `on_time` at line 46 column 4",
        Some("settings.services[0].on_time"),
    ),
    accepted("settings.services[0].aim_stretch", None),
    rejected(
        "settings.services[0].give_up",
        "configuration: settings.services[0]: missing field `give_up` at line 46 column 4",
        Some("settings.services[0].give_up"),
    ),
    rejected(
        "settings.services[0].worth",
        "configuration: settings.services[0]: missing field `worth` at line 46 column 4",
        Some("settings.services[0].worth"),
    ),
    accepted(
        "settings.services[0].late_worth",
        Some("settings.services[0].late_worth"),
    ),
    accepted("settings.tenants", Some("settings.tenants")),
    accepted(
        "settings.tenants[0].quota_per_s",
        Some("settings.tenants[0].quota_per_s"),
    ),
    rejected(
        "settings.limits",
        "configuration: settings: missing field `limits` at line 79 column 2",
        Some("settings.limits"),
    ),
    rejected(
        "settings.limits.cancel",
        "configuration: settings.limits: missing field `cancel` at line 62 column 3",
        Some("settings.limits.cancel"),
    ),
    accepted(
        "settings.limits.conn_idle",
        Some("settings.limits.conn_idle"),
    ),
    accepted(
        "settings.limits.connect_timeout",
        Some("settings.limits.connect_timeout"),
    ),
    rejected(
        "settings.limits.max_attempts",
        "configuration: settings.limits: missing field `max_attempts` at line 62 column 3",
        Some("settings.limits.max_attempts"),
    ),
    accepted("settings.limits.max_open", Some("settings.limits.max_open")),
    accepted(
        "settings.limits.retry_after",
        Some("settings.limits.retry_after"),
    ),
    accepted(
        "settings.limits.max_retry_after",
        Some("settings.limits.max_retry_after"),
    ),
    accepted("settings.limits.probes", Some("settings.limits.probes")),
    accepted("settings.load_report", Some("settings.load_report")),
    accepted("settings.load_report.how", Some("settings.load_report.how")),
    accepted(
        "settings.load_report.fields",
        Some("settings.load_report.fields"),
    ),
    rejected(
        "settings.safety",
        "configuration: settings: missing field `safety` at line 79 column 2",
        Some("settings.safety"),
    ),
    accepted(
        "settings.safety.ask_within",
        Some("settings.safety.ask_within"),
    ),
    rejected(
        "settings.safety.cold",
        "configuration: settings.safety: missing field `cold` at line 73 column 3",
        Some("settings.safety.cold"),
    ),
    rejected(
        "settings.safety.cold_from",
        "configuration: settings.safety: missing field `cold_from` at line 73 column 3",
        Some("settings.safety.cold_from"),
    ),
    rejected(
        "settings.safety.fall",
        "configuration: settings.safety: missing field `fall` at line 73 column 3",
        Some("settings.safety.fall"),
    ),
    accepted(
        "settings.safety.drain_grace",
        Some("settings.safety.drain_grace"),
    ),
    accepted("settings.tariffs", Some("settings.tariffs")),
    accepted(
        "settings.tariffs.cross_zone",
        Some("settings.tariffs.cross_zone"),
    ),
    accepted("settings.tariffs.probe", Some("settings.tariffs.probe")),
    accepted("settings.worth_by", Some("settings.worth_by")),
];

/// The file with one key misspelled but of the same length, so that lines and columns do not change.
fn misspelled(key: &str) -> String {
    let mut offset = 0;
    let mut last = "";
    for step in key.split('.').map(|step| step.trim_end_matches("[0]")) {
        let quoted = format!("\"{step}\":");
        offset += EVERY_KEY[offset..]
            .find(&quoted)
            .unwrap_or_else(|| panic!("{key}"))
            + 1;
        last = step;
    }
    let changed = if last.ends_with('z') { "y" } else { "z" };
    let end = offset + last.len();
    format!("{}{changed}{}", &EVERY_KEY[..end - 1], &EVERY_KEY[end..])
}

fn all_keys(value: &Value, path: &str, keys: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                let key = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                keys.push(key.clone());
                all_keys(value, &key, keys);
            }
        }
        Value::Array(values) => values
            .iter()
            .for_each(|value| all_keys(value, &format!("{path}[0]"), keys)),
        Value::Null | Value::Bool(_) | Value::Number(_) | Value::String(_) => {}
    }
}

fn read(text: &str) -> Config {
    Config::from_json(text).unwrap_or_else(|problem| panic!("{problem}"))
}

#[test]
fn every_key_is_read() {
    let config = read(EVERY_KEY);
    assert_eq!(config.name, "shop-1");
    assert_eq!(config.listen.to_string(), "127.0.0.1:5000");
    assert_eq!(
        config.control.expect("an address").to_string(),
        "127.0.0.1:5100"
    );
    assert_eq!(config.discovery.to_string(), "127.0.0.1:8500");
    assert_eq!(config.seed, 0x8c1f_30d2_7a5b_e964);
    assert_eq!(
        (config.limits.sockets, config.limits.memory_mb),
        (1_025, 192)
    );
    assert_eq!(config.known.len(), 1);
    assert_eq!(
        config.summary(),
        "classes submit; zones north, south; 1 servers known"
    );
    let file: Value = serde_json::from_str(EVERY_KEY).expect("valid JSON");
    let site = Site::from_json(&file["settings"].to_string()).expect("valid settings");
    assert_eq!(config.settings, site);
}

#[test]
fn omitted_keys_have_their_defaults() {
    let mut file: Value = serde_json::from_str(EVERY_KEY).expect("valid JSON");
    for key in ["name", "control", "limits", "known"] {
        file.as_object_mut()
            .expect("an object")
            .remove(key)
            .expect("a key");
    }
    let config = read(&file.to_string());
    assert_eq!(
        (config.name.as_str(), config.control, config.known.len()),
        ("", None, 0)
    );
    assert_eq!(
        (config.limits.sockets, config.limits.memory_mb),
        (1_024, 64)
    );
    file["limits"] = serde_json::json!({});
    let limits = read(&file.to_string()).limits;
    assert_eq!((limits.sockets, limits.memory_mb), (1_024, 64));
}

#[test]
fn a_seed_that_is_not_a_hexadecimal_string_is_rejected() {
    for (seed, problem) in [
        (
            r#""z""#,
            r#"configuration: seed: invalid digit found in string: "z" at line 6 column 12"#,
        ),
        (
            "7",
            "configuration: seed: invalid type: integer `7`, expected a string at line 6 column 10",
        ),
    ] {
        let text = EVERY_KEY.replacen(r#""8c1f30d27a5be964""#, seed, 1);
        assert_eq!(
            Config::from_json(&text)
                .err()
                .expect("an error")
                .to_string(),
            problem
        );
    }
}

#[test]
fn each_misspelled_key_is_reported() {
    let mut keys = Vec::new();
    all_keys(
        &serde_json::from_str(EVERY_KEY).expect("valid JSON"),
        "",
        &mut keys,
    );
    let mut listed: Vec<&str> = MISSPELLED.iter().map(|misspelled| misspelled.key).collect();
    keys.sort_unstable();
    listed.sort_unstable();
    assert_eq!(keys, listed);
    let former = ConfigKeys::of(EVERY_KEY);
    for Misspelled {
        key,
        first_error,
        missing_on_reload,
    } in MISSPELLED
    {
        let text = misspelled(key);
        let problem = Config::from_json(&text)
            .err()
            .map(|problem| problem.to_string());
        assert_eq!(problem.as_deref(), first_error, "{key}");
        assert_eq!(
            ConfigKeys::of(&text).missing_key(&former).as_deref(),
            missing_on_reload,
            "{key}"
        );
    }
}
