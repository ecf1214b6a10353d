//! Where a running process's admin view is, as command lines name it.

use madderloom_operator_config::{Admin, OperatorConfig};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Where the admin view is: one of these.
#[derive(clap::Args)]
#[group(required = true, multiple = false)]
pub(crate) struct Place {
    /// The operator file that the process was started with
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// The Unix socket of its admin view
    #[arg(long, value_name = "PATH")]
    socket: Option<PathBuf>,
    /// The address of its admin view
    #[arg(long, value_name = "ADDRESS")]
    listen: Option<SocketAddr>,
}

impl Place {
    pub(crate) fn find(&self) -> Result<Admin, String> {
        match (&self.operator, &self.socket, self.listen) {
            (_, Some(path), _) => Ok(Admin::Socket(path.clone())),
            (_, _, Some(address)) => Ok(Admin::Listen(address)),
            (Some(file), ..) => {
                let operator = OperatorConfig::load(file).map_err(|faults| faults.to_string())?;
                let none = || format!("{}: has no [admin]: the view is off", file.display());
                operator.admin.ok_or_else(none)
            }
            // The command line has one of them.
            _ => Err("name the operator file, the socket or the address".to_string()),
        }
    }
}

/// Waits for what is asked of an admin view.
pub(crate) fn wait_for<T>(answer: impl Future<Output = T>) -> Result<T, String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    Ok(runtime.block_on(answer))
}
