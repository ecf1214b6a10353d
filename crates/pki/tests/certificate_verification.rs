//! A wrong certificate is rejected: handshakes in memory, and certificates that are verified again while a connection is
//! open.

use madderloom_pki::{
    Authority, CertificateRejection, CertificateRequest, Identity, KeyFiles, Keyring,
    PresentedCertificate, Role, describe_handshake_error,
};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, ServerName};
use rustls::{ClientConnection, ServerConnection};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tempfile::TempDir;
use time::{Duration, OffsetDateTime};

struct Fleet {
    directory: TempDir,
}

impl Fleet {
    fn new() -> Self {
        let fleet = Fleet {
            directory: TempDir::new().expect("a directory"),
        };
        for authority in ["ours", "theirs"] {
            Authority::create(&fleet.at(authority), authority, 3_650, now()).expect("an authority");
        }
        fleet.issue("ours", ("agent", Role::Agent), now());
        fleet
    }

    fn at(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    /// Issued for two days from then on.
    fn issue(&self, authority: &str, (name, role): (&str, Role), then: OffsetDateTime) -> KeyFiles {
        let hosts = if role == Role::Agent {
            vec!["localhost".to_string(), "127.0.0.1".into()]
        } else {
            vec![]
        };
        let mut issuer = Authority::open(&self.at(authority)).expect("an authority");
        let to = self.directory.path();
        let request = CertificateRequest {
            name,
            role,
            hosts: &hosts,
            days: 2,
        };
        issuer.issue(request, to, then).expect("a certificate");
        self.files(authority, name)
    }

    fn files(&self, authority: &str, name: &str) -> KeyFiles {
        KeyFiles {
            authority: self.at(authority).join("authority.pem"),
            certificate: self.at(&format!("{name}.pem")),
            key: self.at(&format!("{name}.key")),
            revoked: Some(self.at(authority).join("revoked.pem")),
        }
    }

    fn agent(&self) -> Arc<Keyring> {
        Keyring::load(self.files("ours", "agent")).expect("the agent's keys")
    }
}

fn now() -> OffsetDateTime {
    OffsetDateTime::now_utc()
}

fn unix(now: OffsetDateTime) -> u64 {
    u64::try_from(now.unix_timestamp()).expect("after 1970")
}

fn chain(path: &Path) -> Vec<CertificateDer<'static>> {
    CertificateDer::pem_file_iter(path)
        .expect("a file")
        .map(|c| c.expect("a certificate"))
        .collect()
}

/// The result of a handshake at each side.
fn shake(
    agent: &Arc<Keyring>,
    client: &Arc<Keyring>,
    host: &str,
) -> (Result<Identity, String>, Result<(), String>) {
    let mut server =
        ServerConnection::new(agent.server_config().expect("settings")).expect("a connection");
    let host = ServerName::try_from(host.to_string()).expect("a host");
    let mut client = ClientConnection::new(client.client_config().expect("settings"), host)
        .expect("a connection");
    let (mut at_server, mut at_client) = (Ok(()), Ok(()));
    for _ in 0..10 {
        let mut wire = Vec::new();
        while client.wants_write() {
            client.write_tls(&mut wire).expect("memory");
        }
        let mut read = wire.as_slice();
        while !read.is_empty() && at_server.is_ok() {
            server.read_tls(&mut read).expect("memory");
            at_server = server
                .process_new_packets()
                .map(|_| ())
                .map_err(|e| describe_handshake_error(&e));
        }
        let mut wire = Vec::new();
        while server.wants_write() {
            server.write_tls(&mut wire).expect("memory");
        }
        let mut read = wire.as_slice();
        while !read.is_empty() && at_client.is_ok() {
            client.read_tls(&mut read).expect("memory");
            at_client = client
                .process_new_packets()
                .map(|_| ())
                .map_err(|e| describe_handshake_error(&e));
        }
    }
    let peer = at_server.and_then(|()| {
        let chain = server.peer_certificates().ok_or("no certificate")?;
        agent
            .verify(chain, unix(now()))
            .map_err(|refused| refused.to_string())
    });
    (peer, at_client)
}

#[test]
fn a_good_certificate_says_who_it_is() {
    let fleet = Fleet::new();
    let client = Keyring::load(fleet.issue("ours", ("alice", Role::Operate), now())).expect("keys");
    let (peer, own) = shake(&fleet.agent(), &client, "localhost");
    let peer = peer.expect("she is let in");
    assert_eq!(
        (peer.name.as_str(), peer.role, own),
        ("alice", Role::Operate, Ok(()))
    );
    let group = Keyring::load(
        fleet
            .issue("ours", ("shop-*", Role::Instance), now())
            .at_any(),
    )
    .expect("keys");
    let (peer, _) = shake(&fleet.agent(), &group, "127.0.0.1");
    assert_eq!(peer.expect("it is let in").name, "shop-*");
}

trait AtAny {
    fn at_any(self) -> KeyFiles;
}

impl AtAny for KeyFiles {
    /// The files of a group's certificate, in whose names `*` is `any`.
    fn at_any(mut self) -> KeyFiles {
        for path in [&mut self.certificate, &mut self.key] {
            *path = PathBuf::from(path.to_string_lossy().replace('*', "any"));
        }
        self
    }
}

#[test]
fn an_expired_one_is_told_so_on_both_sides() {
    let fleet = Fleet::new();
    let client =
        Keyring::load(fleet.issue("ours", ("bob", Role::Operate), now() - Duration::days(3)))
            .expect("keys");
    let (peer, own) = shake(&fleet.agent(), &client, "localhost");
    assert!(peer.expect_err("refused").contains("has expired"));
    assert!(own.expect_err("told").contains("has expired"));
}

#[test]
fn a_revoked_one_is_told_so_as_soon_as_the_list_is_read_again() {
    let fleet = Fleet::new();
    let client = Keyring::load(fleet.issue("ours", ("bob", Role::Operate), now())).expect("keys");
    let agent = fleet.agent();
    assert!(shake(&agent, &client, "localhost").0.is_ok());
    let before = PresentedCertificate::new(&chain(&fleet.at("bob.pem")));
    assert!(agent.verify_again(&before, unix(now())).is_ok());
    let mut ours = Authority::open(&fleet.at("ours")).expect("an authority");
    assert_eq!(ours.revoke("bob", now()).expect("revoked").len(), 1);
    assert!(agent.reload().expect("read again"));
    assert!(
        !agent.reload().expect("read again"),
        "nothing has changed since"
    );
    let (peer, own) = shake(&agent, &client, "localhost");
    assert!(peer.expect_err("refused").contains("was revoked"));
    assert!(own.expect_err("told").contains("was revoked"));
    // One that was in before is found out at its next request.
    let chain = chain(&fleet.at("bob.pem"));
    assert_eq!(
        agent.verify(&chain, unix(now())),
        Err(CertificateRejection::Revoked)
    );
    assert_eq!(
        agent.verify_again(&before, unix(now())),
        Err(CertificateRejection::Revoked)
    );
}

#[test]
fn a_foreign_one_is_told_so() {
    let fleet = Fleet::new();
    let mut files = fleet.issue("theirs", ("eve", Role::Operate), now());
    files.authority = fleet.at("ours").join("authority.pem");
    let (peer, own) = shake(
        &fleet.agent(),
        &Keyring::load(files).expect("keys"),
        "localhost",
    );
    assert!(peer.expect_err("refused").contains("another authority"));
    assert!(own.expect_err("told").contains("another authority"));
}

#[test]
fn an_agent_of_another_authority_or_host_or_role_is_not_talked_to() {
    let fleet = Fleet::new();
    let mut strange = fleet.issue("theirs", ("eve", Role::Operate), now());
    strange.certificate = fleet.at("eve.pem");
    let strange = Keyring::load(strange).expect("keys");
    let (_, own) = shake(&fleet.agent(), &strange, "localhost");
    assert!(own.expect_err("refused").contains("another authority"));

    let alice = Keyring::load(fleet.issue("ours", ("alice", Role::Operate), now())).expect("keys");
    let (_, own) = shake(&fleet.agent(), &alice, "elsewhere.example");
    assert!(own.expect_err("refused").contains("for something else"));

    // An operator's certificate does not make an agent.
    let (_, own) = shake(&alice, &alice, "localhost");
    assert!(own.is_err());
}

#[test]
fn one_that_expires_while_it_is_connected_is_found_out_at_its_next_request() {
    let fleet = Fleet::new();
    fleet.issue("ours", ("alice", Role::Operate), now());
    let (agent, chain) = (fleet.agent(), chain(&fleet.at("alice.pem")));
    let peer = agent.verify(&chain, unix(now())).expect("good");
    let until = u64::try_from(peer.valid_until).expect("after 1970");
    assert!(agent.verify(&chain, until).is_ok());
    assert_eq!(
        agent.verify(&chain, until + 1),
        Err(CertificateRejection::Expired)
    );
    let shown = PresentedCertificate::new(&chain);
    for (time, good) in [
        (unix(now()), true),
        (until, true),
        (until + 1, false),
        (until, true),
        (1, false),
    ] {
        assert_eq!(agent.verify_again(&shown, time).is_ok(), good, "{time}");
    }
    assert_eq!(
        agent.verify(&chain, unix(now()) - 7_200),
        Err(CertificateRejection::NotYetValid)
    );
}

#[test]
fn a_certificate_without_a_role_is_none_of_ours() {
    let fleet = Fleet::new();
    // The authority's own: good for issuing and for nothing else.
    let chain = chain(&fleet.at("ours").join("authority.pem"));
    assert!(fleet.agent().verify(&chain, unix(now())).is_err());
}

#[test]
fn a_rotated_key_is_shown_without_a_restart_and_the_former_one_can_be_revoked() {
    let fleet = Fleet::new();
    let client = Keyring::load(fleet.issue("ours", ("alice", Role::Operate), now())).expect("keys");
    let agent = fleet.agent();
    let first = shake(&agent, &client, "localhost")
        .0
        .expect("let in")
        .serial;
    let mut ours = Authority::open(&fleet.at("ours")).expect("an authority");
    let issued = ours
        .rotate("alice", 2, fleet.directory.path(), true, now())
        .expect("a new one");
    ours.rotate("agent", 2, fleet.directory.path(), false, now())
        .expect("a new one");
    assert_ne!(issued.serial, first);
    let stale = Keyring::load(fleet.files("ours", "alice")).expect("keys");
    assert!(client.reload().expect("read again") && agent.reload().expect("read again"));
    assert_eq!(
        shake(&agent, &client, "localhost")
            .0
            .expect("let in")
            .serial,
        issued.serial
    );
    assert_eq!(
        stale.own_identity().map(|own| own.serial),
        Some(issued.serial)
    );
}

#[test]
fn a_bad_file_at_a_reload_changes_nothing() {
    let fleet = Fleet::new();
    let client = Keyring::load(fleet.issue("ours", ("alice", Role::Operate), now())).expect("keys");
    let agent = fleet.agent();
    std::fs::write(fleet.at("agent.pem"), "nothing").expect("written");
    let problem = agent.reload().expect_err("no certificate").to_string();
    assert!(
        problem.contains("agent.pem") && problem.contains("no certificate"),
        "{problem}"
    );
    assert!(shake(&agent, &client, "localhost").0.is_ok());
    let fits = std::fs::copy(fleet.at("alice.pem"), fleet.at("agent.pem"));
    assert!(
        fits.is_ok()
            && agent
                .reload()
                .expect_err("another key")
                .to_string()
                .contains("does not fit")
    );
}
