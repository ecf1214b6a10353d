//! The settings object with all its keys, as literal JSON: the settings that result from it, and from other values of a key.

use madderloom_balancer::interface::{
    Class, DeduplicationScope, Limits, Prices, RetrySafety, SafetyRules, Settings, Tenant,
};
use madderloom_balancer::settings::{Site, settings_key};
use serde_json::Value;

const EVERY_KEY: &str = r#"{
    "group_size": 4,
    "my_zone": 1,
    "period": 5000,
    "services": [
        {
            "name": "submit",
            "on_time": 600000,
            "aim_stretch": 1.5,
            "give_up": 1500000,
            "effect": "keyed",
            "key_scope": "zone",
            "window": 4000000,
            "worth": 10,
            "late_worth": 0.25
        }
    ],
    "tenants": [{"quota_per_s": 7.5}],
    "discovery": "subscribe",
    "limits": {
        "cancel": true,
        "conn_idle": 61000000,
        "connect_timeout": 251000,
        "max_open": 20001,
        "retry_after": true,
        "max_retry_after": 2000000,
        "max_attempts": 6,
        "probes": true
    },
    "load_report": {"how": "probe", "fields": ["busy", "rif", "fail_rate"]},
    "safety": {
        "ask_within": 10000001,
        "cold_from": 0.31,
        "cold": 8400000,
        "fall": 2000000,
        "drain_grace": 3000000
    },
    "tariffs": {"cross_zone": 0.02, "probe": 0.0094},
    "worth_by": "work",
    "areas": ["north", "south"],
    "kinds": ["fast", "old"]
}"#;

fn site(text: &str) -> Site {
    Site::from_json(text).unwrap_or_else(|error| panic!("{error}: {text}"))
}

/// The site settings with one value replaced, or with one key left out.
fn with_value(pointer: &str, value: Option<Value>) -> Site {
    let mut object: Value = serde_json::from_str(EVERY_KEY).expect("JSON");
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    let parent = object
        .pointer_mut(parent)
        .and_then(Value::as_object_mut)
        .expect("an object");
    let old_value = parent.remove(key);
    assert!(old_value.is_some() && old_value != value, "{pointer}");
    parent.extend(value.map(|value| (key.to_string(), value)));
    site(&object.to_string())
}

#[test]
fn every_key_is_read() {
    let expected = Settings {
        group_size: 4,
        zone: 1,
        tick: 5_000,
        classes: vec![Class {
            latency_objective: 600_000,
            latency_objective_stretch: 1.5,
            deadline: 1_500_000,
            retry_safety: RetrySafety::IdempotentWithKey {
                scope: DeduplicationScope::Zone,
                window: 4_000_000,
            },
            priority_weight: 10.0,
            late_weight_share: 0.25,
        }],
        tenants: vec![Tenant { quota: 7.5 }],
        discovery_on_request: true,
        limits: Limits {
            cancel: true,
            probes: true,
            retry_after: true,
            max_retry_after: 2_000_000,
            max_attempts: 6,
        },
        rules: SafetyRules {
            slow_start_min_share: 0.31,
            slow_start_window: 8_400_000,
            overload_window: 2_000_000,
            max_poll_interval: 10_000_001,
            drain_grace: 3_000_000,
        },
        prices: Prices {
            cross_zone: 0.02,
            probe: 0.0094,
        },
        weight_per_work: true,
    };
    let site = site(EVERY_KEY);
    assert_eq!(site.settings, expected);
    assert_eq!(site.settings.validate(), Ok(()));
    assert_eq!(
        (&*site.classes, &*site.zones),
        (
            &["submit".into()][..],
            &["north".into(), "south".into()][..]
        )
    );
    assert_eq!(site.kinds, ["fast", "old"]);
    assert_eq!(
        (site.conn_idle, site.connect_timeout, site.max_open),
        (61_000_000, 251_000, 20_001)
    );
}

#[test]
fn load_reports_are_parsed_by_their_field_names() {
    let parse_with_fields = |fields: &str, row: &str| {
        let fields = serde_json::from_str(fields).expect("JSON");
        let site = with_value("/load_report/fields", Some(fields));
        site.layout
            .parse_report(row)
            .map(|report| (report.in_flight, report.errors_per_second))
    };
    assert_eq!(
        site(EVERY_KEY)
            .layout
            .parse_report("0.5,3,0.25")
            .map(|r| (r.in_flight, r.errors_per_second)),
        Some((3.0, 0.25))
    );
    assert_eq!(
        parse_with_fields(r#"["fail_rate","rif"]"#, "0.25,3"),
        Some((3.0, 0.25))
    );
    assert_eq!(
        parse_with_fields(r#"["q","busy"]"#, "4,0.5"),
        Some((4.0, 0.0))
    );
    assert_eq!(parse_with_fields(r#"["q","rif"]"#, "4,5"), Some((5.0, 0.0)));
    assert_eq!(parse_with_fields(r#"["busy","fail_rate"]"#, "4,5"), None);
    // Probes are disabled if the report contains no field that is used.
    assert!(
        !with_value("/load_report/fields", Some(serde_json::json!(["busy"])))
            .settings
            .limits
            .probes
    );
    assert!(
        !with_value("/load_report/how", Some("none".into()))
            .settings
            .limits
            .probes
    );
    assert!(
        with_value("/load_report/how", Some("answers".into()))
            .settings
            .limits
            .probes
    );
}

#[test]
fn every_value_of_an_enumeration_is_read() {
    let retry_safety = |site: Site| site.settings.classes[0].retry_safety;
    assert_eq!(
        retry_safety(with_value("/services/0/effect", Some("safe".into()))),
        RetrySafety::Idempotent
    );
    assert_eq!(
        retry_safety(with_value("/services/0/effect", Some("unsafe".into()))),
        RetrySafety::NonIdempotent
    );
    let keyed = |scope| RetrySafety::IdempotentWithKey {
        scope,
        window: 4_000_000,
    };
    assert_eq!(
        retry_safety(with_value("/services/0/key_scope", Some("all".into()))),
        keyed(DeduplicationScope::All)
    );
    assert_eq!(
        retry_safety(with_value("/services/0/key_scope", Some("cell".into()))),
        keyed(DeduplicationScope::Cell)
    );
    assert_eq!(
        retry_safety(with_value("/services/0/key_scope", None)),
        keyed(DeduplicationScope::Cell)
    );
    assert!(
        !with_value("/discovery", Some("automatic".into()))
            .settings
            .discovery_on_request
    );
    assert!(
        !with_value("/worth_by", Some("request".into()))
            .settings
            .weight_per_work
    );
    for (pointer, known_values) in [
        ("services[0].effect", "one of `safe`, `keyed`, `unsafe`"),
        ("services[0].key_scope", "one of `all`, `zone`, `cell`"),
        ("discovery", "`automatic` or `subscribe`"),
        ("worth_by", "`request` or `work`"),
    ] {
        let mut object: Value = serde_json::from_str(EVERY_KEY).expect("JSON");
        let json_pointer = format!("/{}", pointer.replace("[0].", "/0/"));
        *object.pointer_mut(&json_pointer).expect("a value") = "odd".into();
        let error = Site::from_json(&object.to_string()).expect_err("an unknown value");
        let expected = format!("{pointer}: unknown variant `odd`, expected {known_values}");
        assert!(error.starts_with(&expected), "{error}");
    }
}

#[test]
fn optional_keys_have_their_defaults() {
    let minimal = site(
        r#"{
            "group_size": 4,
            "my_zone": 1,
            "period": 5000,
            "services": [{"on_time": 600000, "give_up": 1500000, "effect": "keyed", "worth": 10}],
            "discovery": "automatic",
            "limits": {"cancel": false, "max_attempts": 6},
            "safety": {"cold_from": 0.31, "cold": 8400000, "fall": 2000000}
        }"#,
    );
    let expected = Settings {
        group_size: 4,
        zone: 1,
        tick: 5_000,
        classes: vec![Class {
            latency_objective: 600_000,
            latency_objective_stretch: 0.0,
            deadline: 1_500_000,
            retry_safety: RetrySafety::IdempotentWithKey {
                scope: DeduplicationScope::Cell,
                window: 0,
            },
            priority_weight: 10.0,
            late_weight_share: 0.0,
        }],
        tenants: vec![],
        discovery_on_request: false,
        limits: Limits {
            cancel: false,
            probes: false,
            retry_after: false,
            max_retry_after: 0,
            max_attempts: 6,
        },
        rules: SafetyRules {
            slow_start_min_share: 0.31,
            slow_start_window: 8_400_000,
            overload_window: 2_000_000,
            max_poll_interval: 10_000_000,
            drain_grace: 0,
        },
        prices: Prices {
            cross_zone: 0.0,
            probe: 0.0,
        },
        weight_per_work: false,
    };
    assert_eq!(minimal.settings, expected);
    assert_eq!(minimal.layout, with_value("/load_report", None).layout);
    assert_eq!(minimal.layout.parse_report("1,2,3"), None);
    assert_eq!(
        (minimal.zones.len(), minimal.kinds.len(), &*minimal.classes),
        (0, 0, &[String::new()][..])
    );
    assert_eq!(
        (minimal.conn_idle, minimal.connect_timeout, minimal.max_open),
        (60_000_000, 250_000, 20_000)
    );
}

#[test]
fn an_invalid_field_is_reported_by_its_settings_key() {
    for (field, expected_key) in [
        ("group_size", "group_size"),
        ("tick", "period"),
        ("classes", "services"),
        ("classes[2].aim", "services[2].on_time"),
        ("classes[2].deadline", "services[2].give_up"),
        ("classes[2].aim_stretch", "services[2].aim_stretch"),
        ("tenants[1].quota", "tenants[1].quota_per_s"),
        ("rules.cold_from", "safety.cold_from"),
        ("prices.cross_zone", "tariffs.cross_zone"),
        ("limits.max_attempts", "limits.max_attempts"),
    ] {
        assert_eq!(settings_key(field), expected_key);
    }
}
