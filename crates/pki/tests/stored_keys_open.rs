//! A directory of keys that an earlier program wrote opens: what was issued and revoked in it still is.

use madderloom_pki::{
    Authority, CertificateRejection, CertificateRequest, CertificateState, Identity, KeyFiles,
    Keyring, Role,
};
use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use tempfile::TempDir;
use time::{Duration, OffsetDateTime};

/// From when the certificates are good: seconds since 1970. They are good for 36,500 days.
const FROM: i64 = 1_796_221_018;
const DAY: i64 = 86_400;

/// A certificate of the fixture: serial number, name, role, host, when it was revoked.
type Row = (&'static str, &'static str, Role, &'static str, Option<i64>);

const ISSUED: [Row; 4] = [
    (
        "3d3b172898c1cbe8447128b51731d0938ecadfef",
        "agent",
        Role::Agent,
        "127.0.0.1",
        None,
    ),
    (
        "740b1811cf5858ad10b3a77843e60798e28f0573",
        "alice",
        Role::Operate,
        "",
        None,
    ),
    (
        "649a7038be2011dc4538bb47a3024ec9ee2ec56a",
        "bob",
        Role::Operate,
        "",
        Some(1_796_224_618),
    ),
    (
        "4d843b635d0b5ac563309f2e9b73337a798ec1bf",
        "shop-*",
        Role::Instance,
        "",
        None,
    ),
];

struct Stored(TempDir);

impl Stored {
    /// A copy, whose private keys are readable to the owner alone: that is not kept in the repository.
    fn copy() -> Self {
        let copy = Stored(TempDir::new().expect("a directory"));
        let fixture = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/keys-dd0b5ab");
        for entry in std::fs::read_dir(fixture).expect("the fixture") {
            let from = entry.expect("an entry").path();
            let to = copy.at(&from.file_name().expect("a name").to_string_lossy());
            std::fs::copy(&from, &to).expect("a copy");
            std::fs::set_permissions(&to, std::fs::Permissions::from_mode(0o600)).expect("its own");
        }
        copy
    }

    fn at(&self, name: &str) -> PathBuf {
        self.0.path().join(name)
    }

    fn keyring(&self, name: &str) -> std::sync::Arc<Keyring> {
        let files = KeyFiles {
            authority: self.at("authority.pem"),
            certificate: self.at(&format!("{name}.pem")),
            key: self.at(&format!("{name}.key")),
            revoked: Some(self.at("revoked.pem")),
        };
        Keyring::load(files).expect("keys")
    }

    fn certificate(&self, name: &str) -> Vec<CertificateDer<'static>> {
        let file = self.at(&format!("{name}.pem"));
        CertificateDer::pem_file_iter(file)
            .expect("a file")
            .map(|c| c.expect("a certificate"))
            .collect()
    }
}

/// A day after they were issued. No part of this test goes by the present date.
fn now() -> OffsetDateTime {
    OffsetDateTime::from_unix_timestamp(FROM).expect("a time") + Duration::days(1)
}

fn verify(
    keyring: &Keyring,
    chain: &[CertificateDer<'_>],
) -> Result<Identity, CertificateRejection> {
    keyring.verify(
        chain,
        u64::try_from(now().unix_timestamp()).expect("after 1970"),
    )
}

#[test]
fn what_was_issued_and_revoked_is_read() {
    let stored = Stored::copy();
    let authority = Authority::open(stored.0.path()).expect("an authority");
    assert_eq!(authority.issued().len(), ISSUED.len());
    for (issued, (serial, name, role, host, revoked)) in authority.issued().iter().zip(ISSUED) {
        assert_eq!(
            (issued.serial.as_str(), issued.name.as_str(), issued.role),
            (serial, name, role)
        );
        assert_eq!(
            (issued.hosts.join(" ").as_str(), issued.revoked_at),
            (host, revoked),
            "{name}"
        );
        assert_eq!(
            (
                issued.valid_from,
                (issued.valid_until - issued.valid_from) / DAY
            ),
            (FROM, 36_500),
            "{name}"
        );
        let state = if revoked.is_some() {
            CertificateState::Revoked
        } else {
            CertificateState::Valid
        };
        assert_eq!(issued.state(now()), state, "{name}");
    }
    let long_after = now() + Duration::days(40_000);
    assert_eq!(
        authority.issued()[0].state(long_after),
        CertificateState::Expired
    );
}

#[test]
fn a_certificate_is_known_and_a_revoked_one_is_refused() {
    let stored = Stored::copy();
    let agent = stored.keyring("agent");
    assert_eq!(
        agent.own_identity().map(|own| (own.name, own.role)),
        Some(("agent".to_string(), Role::Agent))
    );
    let alice = verify(&agent, &stored.certificate("alice")).expect("a good certificate");
    assert_eq!((alice.name.as_str(), alice.role), ("alice", Role::Operate));
    let refused = verify(&agent, &stored.certificate("bob")).expect_err("a revoked certificate");
    assert_eq!(refused.to_string(), "the certificate was revoked");
}

#[test]
fn its_authority_issues_and_revokes_as_before() {
    let stored = Stored::copy();
    let agent = stored.keyring("agent");
    let mut authority = Authority::open(stored.0.path()).expect("an authority");
    let request = CertificateRequest {
        name: "carol",
        role: Role::View,
        hosts: &[],
        days: 10,
    };
    authority
        .issue(request, stored.0.path(), now())
        .expect("a certificate");
    let carol = verify(&agent, &stored.certificate("carol")).expect("a good certificate");
    assert_eq!((carol.name.as_str(), carol.role), ("carol", Role::View));
    let (alice, ..) = ISSUED[1];
    let revoked = authority.revoke(alice, now()).expect("revoked");
    assert_eq!(
        revoked
            .iter()
            .map(|one| one.name.as_str())
            .collect::<Vec<_>>(),
        ["alice"]
    );
    assert!(agent.reload().expect("keys"));
    for name in ["alice", "bob"] {
        assert_eq!(
            verify(&agent, &stored.certificate(name)),
            Err(CertificateRejection::Revoked),
            "{name}"
        );
    }
    assert!(verify(&agent, &stored.certificate("carol")).is_ok());
}
