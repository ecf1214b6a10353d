//! Keys are reloaded while the program runs, so that a renewed certificate or a revocation needs no restart.

use madderloom_pki::Keyring;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// The interval at which the key files are read.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Reloads keys whenever their files have changed. Never completes. Keys that cannot be read stay as they are; each reason
/// is logged once in a row.
pub(crate) async fn reload_changed_keys(keyring: Arc<Keyring>) {
    let mut last_error = None;
    loop {
        sleep(CHECK_INTERVAL).await;
        match keyring.reload() {
            Ok(true) => tracing::info!("keys reloaded"),
            Ok(false) => {}
            Err(error) => {
                let error = error.to_string();
                if last_error.as_ref() != Some(&error) {
                    tracing::warn!(%error, "keys not reloaded");
                    last_error = Some(error);
                }
            }
        }
    }
}
