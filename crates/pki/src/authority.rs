//! The authority: a directory of `authority.pem`, `authority.key`, `issued.json` and `revoked.pem`.

use crate::files::{self, Readers};
use crate::role::Role;
use rcgen::{
    BasicConstraints, CertificateParams, CertificateRevocationListParams, DistinguishedName,
    DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyIdMethod, KeyPair, KeyUsagePurpose,
    RevocationReason, RevokedCertParams, SanType, SerialNumber,
};
use serde::{Deserialize, Serialize};
use std::net::IpAddr;
use std::path::{Path, PathBuf};
use time::{Duration, OffsetDateTime};

/// The most certificates that an authority issues.
const MOST: usize = 100_000;
/// How long at most a certificate is good for, in days.
const LONGEST: u32 = 36_500;

/// The address in a certificate that holds role and name: `urn:madderloom:ROLE:NAME`.
pub(crate) const URN: &str = "urn:madderloom:";

/// A certificate that was issued.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Issued {
    /// Its serial number, in hexadecimal digits.
    pub serial: String,
    /// Whom it is for.
    pub name: String,
    /// What it is for.
    pub role: Role,
    /// Hosts and addresses under which an agent is reached.
    #[serde(default)]
    pub hosts: Vec<String>,
    /// From when it is good: seconds since 1970.
    pub from: i64,
    /// Until when: seconds since 1970.
    pub until: i64,
    /// When it was revoked: seconds since 1970.
    #[serde(default)]
    pub revoked: Option<i64>,
}

/// Whether a certificate is good.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It is.
    Valid,
    /// Its time is over.
    Expired,
    /// It was taken back.
    Revoked,
}

impl Issued {
    /// Whether it is good now.
    pub fn state(&self, now: OffsetDateTime) -> State {
        match self.revoked {
            Some(_) => State::Revoked,
            None if self.until <= now.unix_timestamp() => State::Expired,
            None => State::Valid,
        }
    }
}

/// An authority, opened.
pub struct Authority {
    directory: PathBuf,
    issuer: Issuer<'static, KeyPair>,
    issued: Vec<Issued>,
}

fn told(what: &str) -> impl Fn(rcgen::Error) -> String + '_ {
    move |e| format!("{what}: {e}")
}

/// Whether a name can stand in a certificate: as that of an instance, or with a `*` at its end.
fn check_name(name: &str, role: Role) -> Result<(), String> {
    let begin = if role == Role::Instance {
        name.strip_suffix('*').unwrap_or(name)
    } else {
        name
    };
    let odd = |c: char| !(c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-'));
    let dots = begin.starts_with('.');
    if (begin.is_empty() && name != "*") || begin.len() > 64 || begin.contains(odd) || dots {
        let star = if role == Role::Instance {
            ", with * at its end for all that begin so"
        } else {
            ""
        };
        return Err(format!(
            "{name:?}: a name has 1 to 64 letters, digits and . _ -, not a dot first{star}"
        ));
    }
    Ok(())
}

impl Authority {
    /// Founds an authority in a directory that is empty or not there.
    ///
    /// # Errors
    /// What could not be made.
    pub fn init(
        directory: &Path,
        name: &str,
        days: u32,
        now: OffsetDateTime,
    ) -> Result<(), String> {
        check_name(name, Role::Agent)?;
        let key = KeyPair::generate().map_err(told("key"))?;
        let mut params = CertificateParams::default();
        params.distinguished_name = DistinguishedName::new();
        params.distinguished_name.push(DnType::CommonName, name);
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        (params.not_before, params.not_after) = span(days, now)?;
        let certificate = params.self_signed(&key).map_err(told("certificate"))?;
        files::create_directory(directory)?;
        files::create(
            &directory.join("authority.key"),
            &key.serialize_pem(),
            Readers::Owner,
        )?;
        files::create(
            &directory.join("authority.pem"),
            &certificate.pem(),
            Readers::All,
        )?;
        files::create(&directory.join("issued.json"), "[]", Readers::Owner)?;
        Authority::open(directory)?.write_revoked(now, true)
    }

    /// Opens one that was founded.
    ///
    /// # Errors
    /// The file that is missing or makes no sense.
    pub fn open(directory: &Path) -> Result<Self, String> {
        let place = directory.join("authority.key");
        if !place.exists() {
            let name = directory.display();
            return Err(format!(
                "{name}: no authority is there; `madderloom keys init --dir {name}` founds one"
            ));
        }
        let key = files::read_secret(&place)?;
        let key = KeyPair::from_pem(&key).map_err(|e| format!("{}: {e}", place.display()))?;
        let place = directory.join("authority.pem");
        let issuer = Issuer::from_ca_cert_pem(&files::read(&place)?, key);
        let issuer = issuer.map_err(|e| format!("{}: {e}", place.display()))?;
        let place = directory.join("issued.json");
        let issued = serde_json::from_str(&files::read(&place)?);
        let issued = issued.map_err(|e| format!("{}: {e}", place.display()))?;
        Ok(Authority {
            directory: directory.to_path_buf(),
            issuer,
            issued,
        })
    }

    /// What it has issued, oldest first.
    pub fn issued(&self) -> &[Issued] {
        &self.issued
    }

    /// Where the list of what is revoked stands; it is to be copied to every agent.
    pub fn revoked_file(&self) -> PathBuf {
        self.directory.join("revoked.pem")
    }

    /// Issues a certificate into `NAME.pem` and `NAME.key` of a directory; files that are there stay as they are, and
    /// nothing is issued.
    ///
    /// # Errors
    /// What makes no sense or could not be written.
    pub fn issue(
        &mut self,
        (name, role): (&str, Role),
        hosts: &[String],
        days: u32,
        to: &Path,
        now: OffsetDateTime,
    ) -> Result<(Issued, PathBuf), String> {
        if role == Role::Agent && hosts.is_empty() {
            return Err(
                "an agent's certificate needs the hosts or addresses it is reached at (--host)"
                    .into(),
            );
        }
        let (certificate, key, issued) = self.make((name, role), hosts, days, now)?;
        let (pem, secret) = places(to, name);
        if let Some(there) = [&pem, &secret].into_iter().find(|place| place.exists()) {
            return Err(format!(
                "{}: is there already; `keys rotate` puts a new one in its place",
                there.display()
            ));
        }
        self.note(issued.clone())?;
        files::create(&secret, &key, Readers::Owner)?;
        files::create(&pem, &certificate, Readers::All)?;
        Ok((issued, pem))
    }

    /// Issues a new certificate with a new key for one that was issued, in place of its files. The former one stays
    /// good until it expires, or is revoked if that is asked for.
    ///
    /// # Errors
    /// What makes no sense or could not be written.
    pub fn rotate(
        &mut self,
        name: &str,
        days: u32,
        to: &Path,
        revoke: bool,
        now: OffsetDateTime,
    ) -> Result<Issued, String> {
        let good = |issued: &&Issued| issued.name == name && issued.state(now) != State::Revoked;
        let former = self.issued.iter().rev().find(good).cloned();
        let former = former.ok_or_else(|| self.nothing(name))?;
        let (certificate, key, issued) =
            self.make((name, former.role), &former.hosts, days, now)?;
        self.note(issued.clone())?;
        let (pem, secret) = places(to, name);
        // A program that reads both in between sees that they do not belong together, and reads again.
        files::replace(&secret, &key, Readers::Owner)?;
        files::replace(&pem, &certificate, Readers::All)?;
        if revoke {
            self.revoke(&former.serial, now)?;
        }
        Ok(issued)
    }

    /// Revokes the certificate of a serial number, or all of a name. Gives those that are newly revoked.
    ///
    /// # Errors
    /// That there is none, or what could not be written.
    pub fn revoke(&mut self, which: &str, now: OffsetDateTime) -> Result<Vec<Issued>, String> {
        let meant = |issued: &Issued| issued.serial == which || issued.name == which;
        if !self.issued.iter().any(meant) {
            return Err(self.nothing(which));
        }
        let mut revoked = Vec::new();
        for issued in self
            .issued
            .iter_mut()
            .filter(|issued| meant(issued) && issued.revoked.is_none())
        {
            issued.revoked = Some(now.unix_timestamp());
            revoked.push(issued.clone());
        }
        // The list first: whoever is on it is kept out, also where the index can't be written.
        self.write_revoked(now, false)?;
        self.write_issued()?;
        Ok(revoked)
    }

    fn nothing(&self, which: &str) -> String {
        let names: std::collections::BTreeSet<&str> =
            self.issued.iter().map(|i| i.name.as_str()).collect();
        let names: Vec<&str> = names.into_iter().take(10).collect();
        let known = if names.is_empty() {
            "nothing was issued yet".into()
        } else {
            format!("there are {}", names.join(", "))
        };
        format!("nothing that is good was issued for {which:?}; {known}")
    }

    fn make(
        &self,
        (name, role): (&str, Role),
        hosts: &[String],
        days: u32,
        now: OffsetDateTime,
    ) -> Result<(String, String, Issued), String> {
        check_name(name, role)?;
        if self.issued.len() >= MOST {
            return Err(format!(
                "{MOST} certificates were issued; found a new authority"
            ));
        }
        let key = KeyPair::generate().map_err(told("key"))?;
        let mut params = CertificateParams::default();
        params.distinguished_name = DistinguishedName::new();
        params.distinguished_name.push(DnType::CommonName, name);
        params
            .distinguished_name
            .push(DnType::OrganizationalUnitName, role.to_string());
        // The star of a group's name can't stand in an address of this kind; its letter can.
        let urn = format!("{URN}{role}:{}", name.replace('*', "%2A"));
        params.subject_alt_names = vec![SanType::URI(urn.try_into().map_err(told("name"))?)];
        for host in hosts {
            let host = match host.parse::<IpAddr>() {
                Ok(address) => SanType::IpAddress(address),
                Err(_) => SanType::DnsName(
                    host.as_str()
                        .try_into()
                        .map_err(|_| format!("{host:?}: is no host"))?,
                ),
            };
            params.subject_alt_names.push(host);
        }
        let usage = if role == Role::Agent {
            ExtendedKeyUsagePurpose::ServerAuth
        } else {
            ExtendedKeyUsagePurpose::ClientAuth
        };
        params.extended_key_usages = vec![usage];
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.use_authority_key_identifier_extension = true;
        (params.not_before, params.not_after) = span(days, now)?;
        let certificate = params
            .signed_by(&key, &self.issuer)
            .map_err(told("certificate"))?;
        let (_, read) =
            x509_parser::parse_x509_certificate(certificate.der()).map_err(|e| e.to_string())?;
        let issued = Issued {
            serial: hexadecimal(read.raw_serial()),
            name: name.to_string(),
            role,
            hosts: hosts.to_vec(),
            from: params.not_before.unix_timestamp(),
            until: params.not_after.unix_timestamp(),
            revoked: None,
        };
        Ok((certificate.pem(), key.serialize_pem(), issued))
    }

    /// What is issued is on record before it exists, so that it can be revoked whatever happens.
    fn note(&mut self, issued: Issued) -> Result<(), String> {
        self.issued.push(issued);
        self.write_issued()
    }

    fn write_issued(&self) -> Result<(), String> {
        let text = serde_json::to_string_pretty(&self.issued).map_err(|e| e.to_string())?;
        files::replace(&self.directory.join("issued.json"), &text, Readers::Owner)
    }

    fn write_revoked(&self, now: OffsetDateTime, new: bool) -> Result<(), String> {
        let revoked_certs = self
            .issued
            .iter()
            .filter_map(|issued| Some((issued, issued.revoked?)));
        let revoked_certs: Vec<RevokedCertParams> = revoked_certs
            .map(|(issued, at)| RevokedCertParams {
                serial_number: SerialNumber::from(bytes(&issued.serial)),
                revocation_time: OffsetDateTime::from_unix_timestamp(at).unwrap_or(now),
                reason_code: Some(RevocationReason::Unspecified),
                invalidity_date: None,
            })
            .collect();
        let params = CertificateRevocationListParams {
            this_update: now,
            next_update: now + Duration::days(i64::from(LONGEST)),
            crl_number: SerialNumber::from(u64::try_from(now.unix_timestamp()).unwrap_or(0)),
            issuing_distribution_point: None,
            revoked_certs,
            key_identifier_method: KeyIdMethod::Sha256,
        };
        let list = params
            .signed_by(&self.issuer)
            .map_err(told("revoked.pem"))?;
        let text = list.pem().map_err(told("revoked.pem"))?;
        let place = self.revoked_file();
        if new {
            files::create(&place, &text, Readers::All)
        } else {
            files::replace(&place, &text, Readers::All)
        }
    }
}

/// An hour before now, since clocks differ, until so many days from now.
fn span(days: u32, now: OffsetDateTime) -> Result<(OffsetDateTime, OffsetDateTime), String> {
    if days == 0 || days > LONGEST {
        return Err(format!(
            "{days} days: a certificate is good for 1 to {LONGEST} days"
        ));
    }
    let until = now.checked_add(Duration::days(i64::from(days)));
    Ok((
        now - Duration::hours(1),
        until.ok_or("the time is out of range")?,
    ))
}

/// Where certificate and key of a name stand.
fn places(to: &Path, name: &str) -> (PathBuf, PathBuf) {
    let file = name.replace('*', "any");
    (
        to.join(format!("{file}.pem")),
        to.join(format!("{file}.key")),
    )
}

pub(crate) fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hexadecimal: &str) -> Vec<u8> {
    let digit = |at: usize| {
        hexadecimal
            .get(at..at + 2)
            .and_then(|pair| u8::from_str_radix(pair, 16).ok())
    };
    (0..hexadecimal.len() / 2)
        .filter_map(|at| digit(at * 2))
        .collect()
}
