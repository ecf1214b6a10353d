//! The persisted state of the instance: a file in the directory that the operator file names.

use madderloom_control_plane::PersistedInstance;
use std::path::Path;

/// The name of the file.
const KEPT: &str = "instance.json";

pub(super) fn write(directory: &Path, persisted_state: &PersistedInstance) -> std::io::Result<()> {
    std::fs::create_dir_all(directory)?;
    let next = directory.join("instance.next");
    std::fs::write(&next, serde_json::to_vec(persisted_state)?)?;
    std::fs::rename(next, directory.join(KEPT))
}

/// Loads the state that the last start persisted; the default where there is none that can be read.
pub(super) fn load(directory: Option<&Path>) -> PersistedInstance {
    let Some(file) = directory.map(|directory| directory.join(KEPT)) else {
        return PersistedInstance::default();
    };
    let read = match std::fs::read(&file) {
        Ok(text) => serde_json::from_slice(&text).map_err(|e| e.to_string()),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return PersistedInstance::default(),
        Err(e) => Err(e.to_string()),
    };
    read.unwrap_or_else(|problem| {
        tracing::warn!("control: {}: passed over: {problem}", file.display());
        PersistedInstance::default()
    })
}
