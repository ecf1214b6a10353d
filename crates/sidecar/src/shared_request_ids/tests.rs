use super::*;

const NOW: Micros = 1_000_000_000;

fn id(text: &'static str) -> HeaderValue {
    HeaderValue::from_static(text)
}

/// A directory of its own for a test.
fn directory(name: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&directory);
    directory
}

fn join(directory: &Path) -> SharedRequestIds {
    SharedRequestIds::join_directory(directory.to_path_buf()).expect("it can be written")
}

#[test]
fn an_id_conflicts_while_it_is_in_flight_and_after_it_may_have_run() {
    let directory = directory("shared-ids-conflicts");
    let (old, new) = (join(&directory), join(&directory));
    let asked = |text| new.conflict("shop", &id(text), NOW);
    assert_eq!(asked("a"), None);
    for text in ["a", "b", "c"] {
        old.record_started("shop", &id(text));
    }
    assert_eq!(asked("a"), Some(IdConflict::InFlight));
    assert_eq!(new.conflict("other", &id("a"), NOW), None);
    old.record_ended("shop", &id("a"), false, NOW);
    old.record_ended("shop", &id("b"), true, NOW);
    assert_eq!(asked("a"), None);
    assert_eq!(asked("b"), Some(IdConflict::MayHaveRun));
    // The old process is killed.
    drop(old);
    assert_eq!(asked("b"), Some(IdConflict::MayHaveRun));
    assert_eq!(asked("c"), Some(IdConflict::MayHaveRun));
    assert_eq!(new.conflict("shop", &id("c"), NOW + RETENTION), None);
    assert_eq!(
        join(&directory).conflict("shop", &id("b"), NOW),
        Some(IdConflict::MayHaveRun)
    );
    new.leave(NOW);
    let _ = fs::remove_dir_all(&directory);
}

#[test]
fn a_process_that_leaves_with_nothing_to_remember_leaves_no_file() {
    let directory = directory("shared-ids-leave");
    let (old, new) = (join(&directory), join(&directory));
    old.record_started("shop", &id("a"));
    old.record_ended("shop", &id("a"), false, NOW);
    old.leave(NOW);
    assert!(directory.exists());
    new.leave(NOW);
    assert!(!directory.exists());
}

#[test]
fn more_ids_than_the_log_holds_lose_the_oldest_alone() {
    let directory = directory("shared-ids-ring");
    let (old, new) = (join(&directory), join(&directory));
    for _ in 0..20_000 {
        old.record_ended("shop", &id("usual"), false, NOW);
    }
    old.record_ended("shop", &id("last"), true, NOW);
    assert_eq!(
        new.conflict("shop", &id("last"), NOW),
        Some(IdConflict::MayHaveRun)
    );
    let _ = fs::remove_dir_all(&directory);
}

#[test]
fn a_directory_that_others_can_write_to_is_not_used() {
    use std::os::unix::fs::PermissionsExt;
    let directory = directory("shared-ids-foreign");
    fs::create_dir(&directory).expect("it can be created");
    fs::set_permissions(&directory, fs::Permissions::from_mode(0o777)).expect("it is ours");
    assert!(SharedRequestIds::join_directory(directory.clone()).is_err());
    let _ = fs::remove_dir_all(&directory);
}

#[test]
fn directories_of_processes_that_ended_long_ago_are_removed() {
    let parent = directory("shared-ids-forgotten");
    fs::create_dir(&parent).expect("it can be created");
    let [killed, alive] = ["madderloom-1-1", "madderloom-1-2"].map(|name| parent.join(name));
    drop(join(&killed));
    let kept = join(&alive);
    let long_ago = SystemTime::now() - 2 * FORGOTTEN_AFTER;
    for directory in [&killed, &alive] {
        for entry in fs::read_dir(directory).expect("it is there").flatten() {
            set_modified(&entry.path(), long_ago);
        }
        set_modified(directory, long_ago);
    }
    remove_forgotten_directories(&parent);
    assert!(!killed.exists() && alive.exists());
    drop(kept);
    let _ = fs::remove_dir_all(&parent);
}

fn set_modified(path: &Path, at: SystemTime) {
    let file = fs::File::open(path).expect("it is there");
    file.set_modified(at).expect("it is ours");
}

/// Guards against a descriptor for each process of a crash loop.
#[test]
fn the_logs_of_processes_that_ended_long_ago_are_closed() {
    let directory = directory("shared-ids-closed");
    let new = join(&directory);
    for _ in 0..5 {
        drop(join(&directory));
    }
    assert_eq!(new.conflict("shop", &id("a"), NOW), None);
    assert_eq!(new.peers.borrow().len(), 5);
    let long_ago = SystemTime::now() - 2 * FORGOTTEN_AFTER;
    for entry in fs::read_dir(&directory).expect("it is there").flatten() {
        set_modified(&entry.path(), long_ago);
    }
    let other = join(&directory);
    assert_eq!(new.conflict("shop", &id("a"), NOW), None);
    let names: Vec<_> = new
        .peers
        .borrow()
        .iter()
        .map(|peer| peer.name().clone())
        .collect();
    assert_eq!(names, [other.own.name()]);
    let _ = fs::remove_dir_all(&directory);
}
