//! The files of an authority: who can read them, that none is overwritten, and what is on record.

use madderloom_pki::{
    Authority, CertificateRequest, CertificateState, Error, IssuedFile, KeyFiles, Keyring, Role,
};
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

/// Issues a certificate for two days into a directory.
fn issue(
    authority: &mut Authority,
    name: &str,
    role: Role,
    directory: &Path,
) -> Result<IssuedFile, Error> {
    let request = CertificateRequest {
        name,
        role,
        hosts: &[],
        days: 2,
    };
    authority.issue(request, directory, OffsetDateTime::now_utc())
}

fn created() -> (TempDir, Authority) {
    let directory = TempDir::new().expect("a directory");
    let own = directory.path().join("keys");
    Authority::create(&own, "fleet", 3_650, OffsetDateTime::now_utc()).expect("an authority");
    let authority = Authority::open(&own).expect("an authority");
    (directory, authority)
}

#[test]
fn keys_are_readable_by_their_owner_alone_from_the_beginning_and_after_a_rotation() {
    let (directory, mut authority) = created();
    let (to, now) = (directory.path(), OffsetDateTime::now_utc());
    issue(&mut authority, "alice", Role::View, to).expect("issued");
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
    let (directory, mut authority) = created();
    let to = directory.path();
    issue(&mut authority, "alice", Role::View, to).expect("issued");
    std::fs::set_permissions(to.join("alice.key"), PermissionsExt::from_mode(0o640))
        .expect("its owner may");
    let files = KeyFiles {
        authority: to.join("keys/authority.pem"),
        certificate: to.join("alice.pem"),
        key: to.join("alice.key"),
        revoked: None,
    };
    let problem = Keyring::load(files).expect_err("refused").to_string();
    assert!(
        problem.contains("alice.key: others can read this key (mode 640)"),
        "{problem}"
    );
}

#[test]
fn no_existing_file_is_overwritten() {
    let (directory, mut authority) = created();
    let (to, now) = (directory.path(), OffsetDateTime::now_utc());
    let problem = Authority::create(&to.join("keys"), "fleet", 30, now).expect_err("there is one");
    let problem = problem.to_string();
    assert!(problem.contains("not empty"), "{problem}");
    issue(&mut authority, "alice", Role::View, to).expect("issued");
    let problem = issue(&mut authority, "alice", Role::View, to).expect_err("there is one");
    let problem = problem.to_string();
    assert!(problem.contains("keys rotate"), "{problem}");
    assert_eq!(authority.issued().len(), 1);
}

#[test]
fn issued_certificates_are_on_record_with_their_state() {
    let (directory, mut authority) = created();
    let (to, now) = (directory.path(), OffsetDateTime::now_utc());
    for name in ["alice", "bob", "carol"] {
        issue(&mut authority, name, Role::Operate, to).expect("issued");
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
            .to_string()
            .contains("there are alice, bob, carol")
    );
    let again = Authority::open(&to.join("keys")).expect("an authority");
    let states = |now| {
        again
            .issued()
            .iter()
            .map(|issued| issued.state(now))
            .collect::<Vec<CertificateState>>()
    };
    assert_eq!(
        states(now),
        [
            CertificateState::Valid,
            CertificateState::Revoked,
            CertificateState::Valid
        ]
    );
    assert_eq!(
        states(now + Duration::days(3)),
        [
            CertificateState::Expired,
            CertificateState::Revoked,
            CertificateState::Expired
        ]
    );
}

#[test]
fn invalid_names_and_validities_are_rejected() {
    let (directory, mut authority) = created();
    let (to, now) = (directory.path(), OffsetDateTime::now_utc());
    for name in ["", "../alice", "a b", "shop-*", ".alice", "a/b"] {
        assert!(
            issue(&mut authority, name, Role::View, to).is_err(),
            "{name:?}"
        );
    }
    for days in [0, 40_000] {
        let request = CertificateRequest {
            name: "alice",
            role: Role::View,
            hosts: &[],
            days,
        };
        assert!(authority.issue(request, to, now).is_err(), "{days}");
    }
    assert!(
        issue(&mut authority, "agent", Role::Agent, to)
            .expect_err("no host")
            .to_string()
            .contains("--host")
    );
    assert_eq!(authority.issued().len(), 0);
}
