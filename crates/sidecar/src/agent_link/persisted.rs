//! The persisted state of the instance: a file in the directory that the operator file names.

use madderloom_control_plane::PersistedInstance;
use std::path::Path;

/// The file name of the persisted state.
const STATE_FILE: &str = "instance.json";

pub(super) fn write(directory: &Path, state: &PersistedInstance) -> std::io::Result<()> {
    std::fs::create_dir_all(directory)?;
    let temporary = directory.join("instance.next");
    std::fs::write(&temporary, serde_json::to_vec(state)?)?;
    std::fs::rename(temporary, directory.join(STATE_FILE))
}

/// Loads the persisted state; the default where the file is missing or unreadable.
pub(super) fn load(directory: Option<&Path>) -> PersistedInstance {
    let Some(file) = directory.map(|directory| directory.join(STATE_FILE)) else {
        return PersistedInstance::default();
    };
    let state = match std::fs::read(&file) {
        Ok(text) => serde_json::from_slice(&text).map_err(|e| e.to_string()),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return PersistedInstance::default(),
        Err(e) => Err(e.to_string()),
    };
    state.unwrap_or_else(|problem| {
        tracing::warn!(
            "control: {}: ignoring the unreadable state: {problem}",
            file.display()
        );
        PersistedInstance::default()
    })
}
