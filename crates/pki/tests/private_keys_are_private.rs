//! The files of an authority.

use madderloom_pki::{Authority, Files, Keyring, Role, State};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use tempfile::TempDir;
use time::{Duration, OffsetDateTime};

fn mode(path: &Path) -> u32 {
    std::fs::metadata(path)
        .expect("a file")
        .permissions()
        .mode()
        & 0o777
}

fn founded() -> (TempDir, Authority) {
    let directory = TempDir::new().expect("a directory");
    let own = directory.path().join("keys");
    Authority::init(&own, "fleet", 3_650, OffsetDateTime::now_utc()).expect("an authority");
    let authority = Authority::open(&own).expect("an authority");
    (directory, authority)
}

#[test]
fn keys_are_readable_by_their_owner_alone_from_the_beginning_and_after_a_rotation() {
    let (directory, mut authority) = founded();
    let (to, now) = (directory.path(), OffsetDateTime::now_utc());
    authority
        .issue(("alice", Role::View), &[], 2, to, now)
        .expect("issued");
    authority
        .rotate("alice", 2, to, false, now)
        .expect("rotated");
    for secret in ["keys/authority.key", "keys/issued.json", "alice.key"] {
        assert_eq!(mode(&to.join(secret)), 0o600, "{secret}");
    }
    assert_eq!(mode(&to.join("keys")), 0o700);
}

#[test]
fn a_key_that_others_can_read_is_not_used() {
    let (directory, mut authority) = founded();
    let (to, now) = (directory.path(), OffsetDateTime::now_utc());
    authority
        .issue(("alice", Role::View), &[], 2, to, now)
        .expect("issued");
    std::fs::set_permissions(to.join("alice.key"), PermissionsExt::from_mode(0o640))
        .expect("its owner may");
    let files = Files {
        authority: to.join("keys/authority.pem"),
        certificate: to.join("alice.pem"),
        key: to.join("alice.key"),
        revoked: None,
    };
    let problem = Keyring::load(files).expect_err("refused");
    assert!(
        problem.contains("alice.key: others can read this key (mode 640)"),
        "{problem}"
    );
}

#[test]
fn nothing_that_is_there_is_written_over() {
    let (directory, mut authority) = founded();
    let (to, now) = (directory.path(), OffsetDateTime::now_utc());
    let problem = Authority::init(&to.join("keys"), "fleet", 30, now).expect_err("there is one");
    assert!(problem.contains("not empty"), "{problem}");
    authority
        .issue(("alice", Role::View), &[], 2, to, now)
        .expect("issued");
    let problem = authority
        .issue(("alice", Role::View), &[], 2, to, now)
        .expect_err("there is one");
    assert!(problem.contains("keys rotate"), "{problem}");
    assert_eq!(authority.issued().len(), 1);
}

#[test]
fn what_was_issued_is_on_record_with_its_state() {
    let (directory, mut authority) = founded();
    let (to, now) = (directory.path(), OffsetDateTime::now_utc());
    for name in ["alice", "bob", "carol"] {
        authority
            .issue((name, Role::Operate), &[], 2, to, now)
            .expect("issued");
    }
    let bob = authority.issued()[1].serial.clone();
    assert_eq!(authority.revoke(&bob, now).expect("revoked").len(), 1);
    assert_eq!(
        authority.revoke("bob", now).expect("known").len(),
        0,
        "revoked twice is revoked once"
    );
    assert!(
        authority
            .revoke("dave", now)
            .expect_err("nobody")
            .contains("there are alice, bob, carol")
    );
    let again = Authority::open(&to.join("keys")).expect("an authority");
    let states = |now| {
        again
            .issued()
            .iter()
            .map(|issued| issued.state(now))
            .collect::<Vec<State>>()
    };
    assert_eq!(states(now), [State::Valid, State::Revoked, State::Valid]);
    assert_eq!(
        states(now + Duration::days(3)),
        [State::Expired, State::Revoked, State::Expired]
    );
}

#[test]
fn names_and_spans_that_make_no_sense_are_refused() {
    let (directory, mut authority) = founded();
    let (to, now) = (directory.path(), OffsetDateTime::now_utc());
    for name in ["", "../alice", "a b", "shop-*", ".alice", "a/b"] {
        assert!(
            authority
                .issue((name, Role::View), &[], 2, to, now)
                .is_err(),
            "{name:?}"
        );
    }
    for days in [0, 40_000] {
        assert!(
            authority
                .issue(("alice", Role::View), &[], days, to, now)
                .is_err(),
            "{days}"
        );
    }
    assert!(
        authority
            .issue(("agent", Role::Agent), &[], 2, to, now)
            .expect_err("no host")
            .contains("--host")
    );
    assert_eq!(authority.issued().len(), 0);
}
