//! `madderloom store` as its operators meet it.

use madderloom_store::{Batch, Durability, Options, RealDisk, Store};
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::{Mutex, MutexGuard, PoisonError};

fn madderloom(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_madderloom"));
    command
        .arg("store")
        .args(arguments)
        .output()
        .expect("it runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("text")
}

/// A store with one value of each kind, and its path.
fn store() -> (tempfile::TempDir, PathBuf) {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("store");
    let mut store = Store::open(
        RealDisk::create(&path).expect("it is made"),
        Options::default(),
    )
    .expect("it opens");
    for i in 0..30 {
        let mut batch = Batch::new();
        batch.put("drain/s1", format!("by {i}")).put_until(
            [b'r', 0xff, i],
            "1",
            100 + u64::from(i),
        );
        store
            .write(&batch, Durability::Durable)
            .expect("it is written");
    }
    (directory, path)
}

fn files(path: &Path) -> Vec<(PathBuf, Vec<u8>)> {
    let entries = std::fs::read_dir(path)
        .expect("it reads")
        .map(|e| e.expect("it reads").path());
    let mut files: Vec<_> = entries
        .map(|p| (p.clone(), std::fs::read(p).expect("it reads")))
        .collect();
    files.sort();
    files
}

fn json(arguments: &[&str]) -> Value {
    let done = madderloom(&[arguments, &["--output", "json"]].concat());
    serde_json::from_slice(&done.stdout).unwrap_or_else(|e| panic!("{e}: {}", text(&done.stderr)))
}

/// One test at a time: a child that another one starts has what is open here, and its lock, until it has become the
/// program that it is to be.
fn alone() -> MutexGuard<'static, ()> {
    static ALONE: Mutex<()> = Mutex::new(());
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

#[test]
fn a_sound_store_is_verified_dumped_and_compacted() {
    let _alone = alone();
    let (_directory, path) = store();
    let at = path.to_str().expect("text");
    let before = files(&path);
    let done = madderloom(&["verify", at]);
    assert!(
        done.status.success()
            && text(&done.stdout).contains("sound: 1 segments, 30 batches, 60 records")
    );
    assert_eq!(json(&["stat", at])["keys"], 31);
    let dumped = text(&madderloom(&["dump", at]).stdout);
    let lines: Vec<&str> = dumped.lines().collect();
    assert_eq!(
        (lines.len(), lines[0], lines[1]),
        (31, "drain/s1\tby 29", "r\\xff\\x00\t1\texpires 100")
    );
    let told = json(&["dump", at, "--prefix", "drain/"]);
    assert_eq!(
        told,
        serde_json::json!({"key": "drain/s1", "value": "by 29", "expires": null})
    );
    assert_eq!(
        text(&madderloom(&["dump", at, "--prefix", "drain/", "--keys"]).stdout),
        "drain/s1\n"
    );
    assert_eq!(files(&path), before, "looking has changed it");

    let told = json(&["compact", at, "--expired-by", "110"]);
    assert_eq!(
        (&told["keys"], &told["torn_bytes"]),
        (&20.into(), &0.into())
    );
    assert!(madderloom(&["verify", at]).status.success());
}

#[test]
fn damage_is_named_and_what_can_be_read_is_saved() {
    let _alone = alone();
    let (directory, path) = store();
    let at = path.to_str().expect("text");
    let segment = path.join("00000001.seg");
    let mut bytes = std::fs::read(&segment).expect("it reads");
    let place = bytes
        .windows(4)
        .position(|w| w == b"by 7")
        .expect("it is written");
    bytes[place] ^= 1;
    std::fs::write(&segment, bytes).expect("it is written");

    let done = madderloom(&["verify", at]);
    assert_eq!(done.status.code(), Some(1));
    let offset = json(&["verify", at])["damage"]["offset"]
        .as_u64()
        .expect("a number");
    assert!(offset <= place as u64 && place as u64 - offset < 100);
    let place = format!("00000001.seg: byte {offset}: a frame does not match its checksum");
    assert!(
        text(&done.stdout).contains(&place),
        "{}",
        text(&done.stdout)
    );
    let refused = madderloom(&["stat", at]);
    assert_eq!(refused.status.code(), Some(1));
    assert!(text(&refused.stderr).contains(&place) && text(&refused.stderr).contains("salvage"));

    let saved = directory.path().join("saved");
    let into = saved.to_str().expect("text");
    let done = madderloom(&["salvage", at, into]);
    assert!(done.status.success(), "{}", text(&done.stderr));
    let told = text(&done.stdout);
    assert!(
        told.contains("29 batches, 58 records copied") && told.contains("batches 7 to 7"),
        "{told}"
    );
    assert_eq!(json(&["stat", into])["keys"], 30);
    // Not into what is there already.
    assert_eq!(madderloom(&["salvage", at, into]).status.code(), Some(1));
}

#[test]
fn what_is_no_store_is_refused_in_one_line() {
    let _alone = alone();
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().to_str().expect("text");
    let gone = format!("{path}/gone");
    let new = format!("{path}/new");
    for arguments in [
        vec!["stat", path],
        vec!["verify", path],
        vec!["dump", &gone],
        vec!["salvage", path, &new],
    ] {
        let done = madderloom(&arguments);
        assert_eq!(done.status.code(), Some(1), "{arguments:?}");
        let told = text(&done.stderr);
        assert!(
            told.lines().count() == 1 && told.contains(path),
            "{arguments:?}: {told}"
        );
    }
    assert!(files(directory.path()).is_empty());
    assert_eq!(madderloom(&["mend", path]).status.code(), Some(2));
}

#[test]
fn a_store_in_use_is_left_alone() {
    let _alone = alone();
    let (_directory, path) = store();
    let _open = Store::open(
        RealDisk::open(&path).expect("it is there"),
        Options::default(),
    )
    .expect("it opens");
    let done = madderloom(&["verify", path.to_str().expect("text")]);
    assert_eq!(done.status.code(), Some(1));
    assert!(text(&done.stderr).contains("another process has the store open"));
}
