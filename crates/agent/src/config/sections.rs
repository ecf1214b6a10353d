//! The sections that the files of an agent and of a relay have in common, and paths in them.

use madderloom_config_reader::{Document, Span};
use madderloom_control_plane::spread::Pace;
use madderloom_pki::KeyFiles;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The most connections at a time where the file does not say: two for each instance that an agent knows by default, and
/// some for operators.
pub const DEFAULT_MAX_CONNECTIONS: usize = 40_000;
/// The least that the most connections at a time can be set to: an instance has two, and an operator needs one.
const MIN_MAX_CONNECTIONS: usize = 4;
/// The shortest horizon of the pace of registrations, in microseconds.
const MIN_HORIZON: u64 = 1_000_000;
/// The address that stands in for one that is missing, while the other problems of the file are collected.
const MISSING_ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

/// The path that a path in a file stands for: it is relative to the directory of the file.
pub(crate) fn resolve_path(file: &Path, path: PathBuf) -> PathBuf {
    file.parent().unwrap_or(Path::new("")).join(path)
}

/// The path that a file must name. Where it is missing, that is a problem of the file.
pub(crate) fn required_path(
    document: &mut Document<'_>,
    file: &Path,
    path: Option<PathBuf>,
    field: &str,
) -> PathBuf {
    document.require(
        path.is_some(),
        field,
        "is missing; write the path of a file",
    );
    resolve_path(file, path.unwrap_or_default())
}

/// The address to listen on, which a file must name.
pub(crate) fn required_listen_address(
    document: &mut Document<'_>,
    listen: Option<SocketAddr>,
) -> SocketAddr {
    document.require(
        listen.is_some(),
        "listen",
        "is missing; write an address such as \"10.0.0.5:7070\"",
    );
    listen.unwrap_or_else(|| SocketAddr::from(MISSING_ADDRESS))
}

/// The most connections at a time.
pub(crate) fn max_connections(document: &mut Document<'_>, connections: Option<usize>) -> usize {
    let max = connections.unwrap_or(DEFAULT_MAX_CONNECTIONS);
    document.require(
        max >= MIN_MAX_CONNECTIONS,
        "connections",
        "must be 4 or more",
    );
    max
}

/// Checks the version of a file.
pub(crate) fn check_version(document: &mut Document<'_>, version: u32) {
    document.require(version == 1, "version", "must be 1");
}

/// `[keys]`: the keys of a server.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct KeysSection {
    authority: Option<PathBuf>,
    certificate: Option<PathBuf>,
    key: Option<PathBuf>,
    revoked: Option<PathBuf>,
}

impl KeysSection {
    /// The key files, of which all but the revocation list must be named.
    pub(crate) fn files(self, document: &mut Document<'_>, file: &Path) -> KeyFiles {
        let mut required = |path, field| required_path(document, file, path, field);
        KeyFiles {
            authority: required(self.authority, "keys.authority"),
            certificate: required(self.certificate, "keys.certificate"),
            key: required(self.key, "keys.key"),
            revoked: self.revoked.map(|path| resolve_path(file, path)),
        }
    }
}

/// `[registrations]`: the pace of registrations.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct RegistrationsSection {
    rate: Option<u32>,
    burst: Option<u32>,
    horizon: Option<Span>,
}

impl RegistrationsSection {
    /// The pace, by default `default`.
    pub(crate) fn pace(&self, document: &mut Document<'_>, default: Pace) -> Pace {
        let pace = Pace {
            rate: self.rate.unwrap_or(default.rate),
            burst: self.burst.unwrap_or(default.burst),
            horizon: self.horizon.map_or(default.horizon, Span::micros),
        };
        document.require(
            pace.rate > 0,
            "registrations.rate",
            "must be 1 or more a second",
        );
        document.require(
            pace.horizon >= MIN_HORIZON,
            "registrations.horizon",
            "must be 1s or more",
        );
        pace
    }
}
