//! `[admin]`: the address of the admin view.

use madderloom_config_reader::Document;
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The section as written in the file.
#[derive(Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Section {
    socket: Option<PathBuf>,
    listen: Option<SocketAddr>,
}

/// The address of the admin view, which is read-only.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admin {
    /// A Unix socket that only its owner may open.
    Socket(PathBuf),
    /// An address of the loopback interface.
    Listen(SocketAddr),
}

impl fmt::Display for Admin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Admin::Socket(path) => write!(f, "{}", path.display()),
            Admin::Listen(address) => write!(f, "{address}"),
        }
    }
}

/// Maximum length in bytes of the path of a Unix socket, including the terminating zero byte.
const MAX_SOCKET_PATH_BYTES: usize = 108;

impl Section {
    pub(crate) fn check(self, document: &mut Document<'_>) -> Admin {
        match (self.socket, self.listen) {
            (Some(_), Some(_)) => document.problem(
                "admin.listen",
                "cannot be combined with socket; write one of them",
            ),
            (Some(path), None) => {
                let is_valid =
                    !path.as_os_str().is_empty() && path.as_os_str().len() < MAX_SOCKET_PATH_BYTES;
                document.require(
                    is_valid,
                    "admin.socket",
                    "is empty or too long; write a path of up to 107 bytes",
                );
                return Admin::Socket(path);
            }
            (None, Some(address)) => {
                let problem =
                    "is not on the loopback interface; write one such as \"127.0.0.1:9901\"";
                document.require(address.ip().is_loopback(), "admin.listen", problem);
                return Admin::Listen(address);
            }
            (None, None) => {
                if !document.has("admin.socket") && !document.has("admin.listen") {
                    document.problem(
                        "admin",
                        "has no address; write socket = \"...\" or listen = \"127.0.0.1:9901\"",
                    );
                }
            }
        }
        Admin::Socket(PathBuf::new())
    }
}
