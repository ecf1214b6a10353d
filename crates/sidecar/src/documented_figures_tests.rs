//! Compares the figures in the documentation with the constants of the code.

use super::listener::{self, CLOSE_GRACE_PERIOD, ListenerSettings};
use super::{
    admin_events, client, connections, control_address, counts, list_reader, pool, process_state,
    upload,
};
use madderloom_control_plane::{bounds, protocol};

/// A duration as the pages write it, in seconds.
fn seconds(micros: u64) -> String {
    format!("{} s", micros as f64 / 1e6)
}

#[test]
fn the_figures_of_the_pages_are_those_of_the_code() {
    let on_call = include_str!("../../../docs/on-call.md");
    let readme = include_str!("../../../README.md");
    let architecture = include_str!("../../../docs/architecture.md");
    let settings = ListenerSettings::defaults();
    let mib = |bytes: u64| format!("{} MiB", bytes >> 20);
    let kib = |bytes: u64| format!("{} KiB", bytes >> 10);
    let lame_duck = CLOSE_GRACE_PERIOD.as_micros() as u64;
    for (page, expected) in [
        (
            on_call,
            format!(
                "{} callers are answered at once",
                control_address::MAX_CALLERS
            ),
        ),
        (
            on_call,
            format!("each is after {}", seconds(control_address::CALL_TIMEOUT)),
        ),
        (
            on_call,
            format!(
                "{} classes are counted apart at most",
                counts::MAX_COUNTED_CLASSES
            ),
        ),
        (
            on_call,
            format!(
                "from {} on, connections idle",
                seconds(madderloom_admin::lifecycle::IDLE_GRACE_US)
            ),
        ),
        (
            on_call,
            format!(
                "idle for {} are closed",
                seconds(madderloom_admin::lifecycle::IDLE_TIMEOUT_US)
            ),
        ),
        (
            on_call,
            format!("after {} it closes idle ones", seconds(lame_duck)),
        ),
        (
            on_call,
            format!(
                "Bodies up to {} are kept",
                mib(upload::MAX_BUFFERED_BYTES as u64)
            ),
        ),
        (
            on_call,
            format!("A client has {} for a head", seconds(settings.head_timeout)),
        ),
        (
            on_call,
            format!(
                "must write {} kB of body a second",
                upload::MIN_BYTES_PER_SECOND / 1_000
            ),
        ),
        (
            on_call,
            format!("with {} to spare", seconds(upload::READ_DELAY_ALLOWANCE)),
        ),
        (
            on_call,
            format!(
                "Answers over {} go on",
                kib(super::MAX_BUFFERED_BODY_BYTES as u64)
            ),
        ),
        (
            on_call,
            format!(
                "takes nothing of one for {} is closed",
                seconds(client::WRITE_STALL_TIMEOUT)
            ),
        ),
        (
            on_call,
            format!(
                "A turn of {} ms or more",
                madderloom_watchdog::LONG_POLL.as_millis()
            ),
        ),
        (
            readme,
            format!(
                "for {} it still takes what comes",
                seconds(CLOSE_GRACE_PERIOD.as_micros() as u64)
            ),
        ),
        (
            readme,
            format!("or is over {}", mib(settings.max_body_size as u64)),
        ),
        (
            readme,
            format!(
                "as it is {} after an answer",
                seconds(settings.idle_timeout)
            ),
        ),
        (
            architecture,
            format!("A client has {} for a head", seconds(settings.head_timeout)),
        ),
        (
            architecture,
            format!("silent or idle for {}", seconds(settings.idle_timeout)),
        ),
        (
            architecture,
            format!(
                "the second address has {} of",
                control_address::RESERVED_DESCRIPTORS
            ),
        ),
    ] {
        let words = |text: &str| text.split_whitespace().collect::<Vec<_>>().join(" ");
        assert!(words(page).contains(&expected), "no page says: {expected}");
    }
}

/// A number as tables write it: 16,384.
fn grouped(number: usize) -> String {
    let digits = number.to_string();
    let groups: Vec<&str> = digits
        .as_bytes()
        .rchunks(3)
        .rev()
        .filter_map(|group| str::from_utf8(group).ok())
        .collect();
    groups.join(",")
}

/// Guards against a table of fixed bounds that no longer matches the constants, and against bounds below 1,024 on lists of
/// servers or instances.
#[test]
fn the_table_of_bounds_is_that_of_the_code() {
    let page = include_str!("../../../docs/acceptance.md");
    let count =
        |file: &str, name: &str, value: usize| (format!("`{file}` `{name}`"), grouped(value));
    let bytes = |file: &str, name: &str, value: usize| {
        let size = if value >= 1 << 20 {
            format!("{} MiB", value >> 20)
        } else {
            format!("{} KiB", value >> 10)
        };
        (format!("`{file}` `{name}`"), size)
    };
    let lists = [
        (
            "sidecar/src/pool.rs",
            "MAX_LISTED_SERVERS",
            pool::MAX_LISTED_SERVERS,
        ),
        (
            "control-plane/src/bounds.rs",
            "MAX_SELECTED_NAMES",
            bounds::MAX_SELECTED_NAMES,
        ),
        (
            "control-plane/src/bounds.rs",
            "MAX_SETTINGS",
            bounds::MAX_SETTINGS,
        ),
        (
            "sidecar-state/src/warm_start/snapshot.rs",
            "MAX_SERVERS",
            madderloom_sidecar_state::MAX_SERVERS,
        ),
    ];
    assert!(lists.iter().all(|(.., of)| *of >= 1_024));
    assert!(madderloom_endpoint_history::Settings::default().max_endpoints >= 1_024);
    let mut bounds: Vec<_> = lists
        .iter()
        .map(|(file, name, of)| count(file, name, *of))
        .collect();
    bounds.extend([
        bytes(
            "sidecar/src/list_reader.rs",
            "MAX_OBJECT_BYTES",
            list_reader::MAX_OBJECT_BYTES,
        ),
        bytes(
            "endpoint-sharing/src/limits.rs",
            "MAX_LIST_BYTES",
            madderloom_endpoint_sharing::MAX_LIST_BYTES,
        ),
        bytes(
            "endpoint-sharing/src/limits.rs",
            "DEFAULT_ACCEPTED_LIST_BYTES",
            madderloom_endpoint_sharing::DEFAULT_ACCEPTED_LIST_BYTES,
        ),
        count(
            "endpoint-sharing/src/limits.rs",
            "MAX_LISTS",
            madderloom_endpoint_sharing::MAX_LISTS,
        ),
        bytes(
            "control-plane/src/protocol.rs",
            "MAX_REPORT_BYTES",
            protocol::MAX_REPORT_BYTES,
        ),
        bytes(
            "control-plane/src/protocol.rs",
            "MAX_ORDER_BYTES",
            protocol::MAX_ORDER_BYTES,
        ),
        count(
            "sidecar/src/process_state.rs",
            "MAX_CONNECTIONS_PER_SIDE",
            process_state::MAX_CONNECTIONS_PER_SIDE,
        ),
        bytes(
            "sidecar/src/upload.rs",
            "MAX_BUFFERED_BYTES",
            upload::MAX_BUFFERED_BYTES,
        ),
        bytes(
            "sidecar/src/lib.rs",
            "DEFAULT_MAX_BODY_BYTES",
            super::DEFAULT_MAX_BODY_BYTES,
        ),
        bytes(
            "sidecar/src/lib.rs",
            "MAX_BUFFERED_BODY_BYTES",
            super::MAX_BUFFERED_BODY_BYTES,
        ),
        count(
            "sidecar/src/listener.rs",
            "LISTEN_BACKLOG",
            listener::LISTEN_BACKLOG as usize,
        ),
        count(
            "sidecar/src/connections.rs",
            "MAX_CONNECTING_PER_SERVER",
            connections::MAX_CONNECTING_PER_SERVER,
        ),
        count(
            "sidecar/src/counts.rs",
            "MAX_COUNTED_CLASSES",
            counts::MAX_COUNTED_CLASSES,
        ),
    ]);
    for (file, value) in bounds {
        let row = page.lines().find(|line| line.contains(&file));
        let cell = row
            .and_then(|row| row.split('|').nth(3))
            .unwrap_or_default();
        assert!(
            cell.contains(&value),
            "{file} is {value}, and the page says {cell:?}"
        );
    }
    assert!(page.contains(&format!(
        "{} lines, {} KiB",
        grouped(admin_events::MAX_EVENTS),
        admin_events::MAX_TOTAL_BYTES >> 10
    )));
}
