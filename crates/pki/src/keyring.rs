//! A program's keys, and whom it trusts.

use crate::authority::{URN, hexadecimal};
use crate::files;
use crate::role::Role;
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::client::{ResolvesClientCert, WebPkiServerVerifier};
use rustls::crypto::CryptoProvider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{
    CertificateDer, CertificateRevocationListDer, PrivateKeyDer, ServerName, UnixTime,
};
use rustls::server::danger::{ClientCertVerified, ClientCertVerifier};
use rustls::server::{ClientHello, ResolvesServerCert, WebPkiClientVerifier};
use rustls::sign::CertifiedKey;
use rustls::{
    AlertDescription, CertificateError, ClientConfig, DigitallySignedStruct, DistinguishedName,
    Error, RootCertStore, ServerConfig, SignatureScheme,
};
use std::fmt;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;
use x509_parser::extensions::GeneralName;

/// Where a program's keys stand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Files {
    /// Certificates of the authorities that are trusted; several while one follows another.
    pub authority: PathBuf,
    /// The program's own certificate.
    pub certificate: PathBuf,
    /// Its key.
    pub key: PathBuf,
    /// The list of what the authority has revoked; an agent should have one.
    pub revoked: Option<PathBuf>,
}

/// Whose a certificate is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The name in it.
    pub name: String,
    /// What it is for.
    pub role: Role,
    /// Its serial number, in hexadecimal digits.
    pub serial: String,
    /// Until when it is good: seconds since 1970.
    pub until: i64,
}

/// Why a certificate is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// Its time is over.
    Expired,
    /// Its time has not begun.
    TooEarly,
    /// Its authority has taken it back.
    Revoked,
    /// No authority that is trusted here has issued it.
    Foreign,
    /// It is for other hosts, or for the other side of a connection.
    Misused(String),
    /// It is none of those that `madderloom keys` issues.
    Odd(String),
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::Expired => {
                f.write_str("the certificate has expired; `madderloom keys rotate` makes a new one")
            }
            Refused::TooEarly => f.write_str("the certificate is not good yet; is a clock wrong?"),
            Refused::Revoked => f.write_str("the certificate was revoked"),
            Refused::Foreign => f.write_str("the certificate comes from another authority"),
            Refused::Misused(why) => write!(f, "the certificate is for something else: {why}"),
            Refused::Odd(why) => write!(f, "the certificate is none of madderloom's: {why}"),
        }
    }
}

impl From<&Error> for Refused {
    fn from(error: &Error) -> Self {
        let Error::InvalidCertificate(error) = error else {
            return Refused::Odd(error.to_string());
        };
        match error {
            CertificateError::Expired | CertificateError::ExpiredContext { .. } => Refused::Expired,
            CertificateError::NotValidYet | CertificateError::NotValidYetContext { .. } => {
                Refused::TooEarly
            }
            CertificateError::Revoked => Refused::Revoked,
            CertificateError::UnknownIssuer | CertificateError::BadSignature => Refused::Foreign,
            CertificateError::UnknownRevocationStatus => Refused::Foreign,
            CertificateError::InvalidPurpose
            | CertificateError::InvalidPurposeContext { .. }
            | CertificateError::NotValidForName
            | CertificateError::NotValidForNameContext { .. } => {
                Refused::Misused(error.to_string())
            }
            other => Refused::Odd(other.to_string()),
        }
    }
}

/// The certificate that the other side of a connection showed, with what was found of it.
#[derive(Debug)]
pub struct Shown {
    chain: Vec<CertificateDer<'static>>,
    /// By which files, whose, and from when it is good.
    found: Mutex<Option<(Arc<Loaded>, Peer, i64)>>,
}

impl Shown {
    /// One that was shown at a handshake.
    pub fn new(chain: &[CertificateDer<'static>]) -> Self {
        Shown {
            chain: chain.to_vec(),
            found: Mutex::new(None),
        }
    }
}

/// A failed handshake in a sentence for people: what is wrong with which side's certificate.
pub fn explain(error: &Error) -> String {
    match error {
        Error::InvalidCertificate(_) => {
            format!(
                "the other side's certificate is refused: {}",
                Refused::from(error)
            )
        }
        Error::AlertReceived(alert) => {
            let refused = match alert {
                AlertDescription::CertificateExpired => Refused::Expired,
                AlertDescription::CertificateRevoked => Refused::Revoked,
                AlertDescription::UnknownCA | AlertDescription::DecryptError => Refused::Foreign,
                AlertDescription::CertificateRequired => {
                    return "the other side wants a certificate, and none was shown".into();
                }
                AlertDescription::BadCertificate | AlertDescription::UnsupportedCertificate => {
                    Refused::Odd("the other side can't use it".into())
                }
                other => return format!("the other side ends the connection: {other:?}"),
            };
            format!("the other side refuses this program's certificate: {refused}")
        }
        other => other.to_string(),
    }
}

#[derive(Debug)]
struct Loaded {
    own: Arc<CertifiedKey>,
    own_peer: Option<Peer>,
    clients: Arc<dyn ClientCertVerifier>,
    servers: Arc<dyn ServerCertVerifier>,
    texts: [String; 4],
}

/// A program's keys and whom it trusts, as its files say. Connections that are open live on when they change, and
/// are to ask [`Keyring::check`] again.
#[derive(Debug)]
pub struct Keyring {
    files: Files,
    provider: Arc<CryptoProvider>,
    loaded: RwLock<Arc<Loaded>>,
}

impl Keyring {
    /// Reads the files.
    ///
    /// # Errors
    /// The file that can't be read or makes no sense.
    pub fn load(files: Files) -> Result<Arc<Self>, String> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let loaded = RwLock::new(Arc::new(read(&files, &provider)?));
        Ok(Arc::new(Keyring {
            files,
            provider,
            loaded,
        }))
    }

    /// Reads the files again. True if they have changed; new connections go by what they say then.
    ///
    /// # Errors
    /// The file that can't be read or makes no sense; all stays as it was.
    pub fn reload(&self) -> Result<bool, String> {
        let new = read(&self.files, &self.provider)?;
        let changed = new.texts != self.now().texts;
        if changed {
            *self.loaded.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(new);
        }
        Ok(changed)
    }

    fn now(&self) -> Arc<Loaded> {
        Arc::clone(&self.loaded.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Whose its own certificate is.
    pub fn own(&self) -> Option<Peer> {
        self.now().own_peer.clone()
    }

    /// Whose a client's certificate is, at this time: seconds since 1970. To be asked at each request, since a
    /// certificate may expire or be revoked while a connection lives.
    ///
    /// # Errors
    /// Why it is refused.
    pub fn check(&self, chain: &[CertificateDer<'_>], now: u64) -> Result<Peer, Refused> {
        let (first, rest) = chain
            .split_first()
            .ok_or_else(|| Refused::Odd("none was shown".into()))?;
        let time = UnixTime::since_unix_epoch(Duration::from_secs(now));
        self.now()
            .clients
            .verify_client_cert(first, rest, time)
            .map_err(|e| Refused::from(&e))?;
        peer(first)
    }

    /// The same for a connection, at each of its requests: signatures are looked at again only once the files have
    /// changed.
    ///
    /// # Errors
    /// Why it is refused.
    pub fn check_again(&self, shown: &Shown, now: u64) -> Result<Peer, Refused> {
        let loaded = self.now();
        let mut found = shown.found.lock().unwrap_or_else(PoisonError::into_inner);
        let time = i64::try_from(now).unwrap_or(i64::MAX);
        if let Some((by, peer, from)) = &*found
            && Arc::ptr_eq(by, &loaded)
            && (*from..=peer.until).contains(&time)
        {
            return Ok(peer.clone());
        }
        *found = None;
        let peer = self.check(&shown.chain, now)?;
        // The others of a longer chain have spans of their own.
        if let [only] = shown.chain.as_slice()
            && let Ok((_, read)) = x509_parser::parse_x509_certificate(only)
        {
            *found = Some((loaded, peer.clone(), read.validity().not_before.timestamp()));
        }
        Ok(peer)
    }

    /// For a listener: every client must show a certificate that is good at the time of the handshake.
    ///
    /// # Errors
    /// What the library does not support.
    pub fn server(self: &Arc<Self>) -> Result<Arc<ServerConfig>, String> {
        let builder = ServerConfig::builder_with_provider(Arc::clone(&self.provider));
        let builder = builder
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|e| e.to_string())?;
        let own = Arc::clone(self);
        let mut config = builder
            .with_client_cert_verifier(own.clone())
            .with_cert_resolver(own);
        config.alpn_protocols = vec![b"http/1.1".to_vec()];
        // A session that is taken up again shows no certificate again.
        config.session_storage = Arc::new(rustls::server::NoServerSessionStorage {});
        config.send_tls13_tickets = 0;
        Ok(Arc::new(config))
    }

    /// For connecting to an agent.
    ///
    /// # Errors
    /// What the library does not support.
    pub fn client(self: &Arc<Self>) -> Result<Arc<ClientConfig>, String> {
        let builder = ClientConfig::builder_with_provider(Arc::clone(&self.provider));
        let builder = builder
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|e| e.to_string())?;
        let own = Arc::clone(self);
        let builder = builder
            .dangerous()
            .with_custom_certificate_verifier(own.clone());
        let mut config = builder.with_client_cert_resolver(own);
        config.alpn_protocols = vec![b"http/1.1".to_vec()];
        config.resumption = rustls::client::Resumption::disabled();
        Ok(Arc::new(config))
    }
}

fn read(files: &Files, provider: &Arc<CryptoProvider>) -> Result<Loaded, String> {
    let at = |path: &PathBuf, problem: &dyn fmt::Display| format!("{}: {problem}", path.display());
    let authority = files::read(&files.authority)?;
    let certificate = files::read(&files.certificate)?;
    let key = files::read_secret(&files.key)?;
    let revoked = files
        .revoked
        .as_ref()
        .map(|path| files::read(path))
        .transpose()?;

    let mut roots = RootCertStore::empty();
    for root in CertificateDer::pem_slice_iter(authority.as_bytes()) {
        let root = root.map_err(|e| at(&files.authority, &e))?;
        roots.add(root).map_err(|e| at(&files.authority, &e))?;
    }
    if roots.is_empty() {
        return Err(at(&files.authority, &"holds no certificate"));
    }
    let roots = Arc::new(roots);
    let chain: Result<Vec<CertificateDer<'static>>, _> =
        CertificateDer::pem_slice_iter(certificate.as_bytes()).collect();
    let chain = chain.map_err(|e| at(&files.certificate, &e))?;
    let own_peer = chain.first().and_then(|first| peer(first).ok());
    if chain.is_empty() {
        return Err(at(&files.certificate, &"holds no certificate"));
    }
    let secret = PrivateKeyDer::from_pem_slice(key.as_bytes()).map_err(|e| at(&files.key, &e))?;
    let own = CertifiedKey::from_der(chain, secret, provider);
    let own = own.map_err(|e| {
        at(
            &files.key,
            &format!("does not fit {}: {e}", files.certificate.display()),
        )
    })?;
    let mut lists = Vec::new();
    if let (Some(path), Some(text)) = (&files.revoked, &revoked) {
        for list in CertificateRevocationListDer::pem_slice_iter(text.as_bytes()) {
            lists.push(list.map_err(|e| at(path, &e))?);
        }
        if lists.is_empty() {
            return Err(at(path, &"holds no list of revoked certificates"));
        }
    }
    let clients =
        WebPkiClientVerifier::builder_with_provider(Arc::clone(&roots), Arc::clone(provider));
    // While one authority follows another there may be a list of one of them alone.
    let clients = clients
        .with_crls(lists.clone())
        .only_check_end_entity_revocation();
    let clients = clients
        .allow_unknown_revocation_status()
        .build()
        .map_err(|e| at(&files.authority, &e))?;
    let servers = WebPkiServerVerifier::builder_with_provider(roots, Arc::clone(provider));
    let servers = servers.with_crls(lists).only_check_end_entity_revocation();
    let servers = servers
        .allow_unknown_revocation_status()
        .build()
        .map_err(|e| at(&files.authority, &e))?;
    let texts = [authority, certificate, key, revoked.unwrap_or_default()];
    Ok(Loaded {
        own: Arc::new(own),
        own_peer,
        clients,
        servers,
        texts,
    })
}

/// Whose a certificate is. Says nothing of whether it is good.
fn peer(certificate: &CertificateDer<'_>) -> Result<Peer, Refused> {
    let odd = |why: &str| Refused::Odd(why.to_string());
    let (_, read) =
        x509_parser::parse_x509_certificate(certificate).map_err(|_| odd("it can't be read"))?;
    let names = read.subject_alternative_name().ok().flatten();
    let names = names
        .map(|names| names.value.general_names.as_slice())
        .unwrap_or_default();
    let mut own = names.iter().filter_map(|name| match name {
        GeneralName::URI(uri) => uri.strip_prefix(URN),
        _ => None,
    });
    let (Some(own), None) = (own.next(), own.next()) else {
        return Err(odd("it holds no role"));
    };
    let (role, name) = own.split_once(':').ok_or_else(|| odd("it holds no name"))?;
    let role = role
        .parse()
        .map_err(|problem: String| Refused::Odd(problem))?;
    Ok(Peer {
        name: name.replace("%2A", "*"),
        role,
        serial: hexadecimal(read.raw_serial()),
        until: read.validity().not_after.timestamp(),
    })
}

impl ResolvesServerCert for Keyring {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(Arc::clone(&self.now().own))
    }
}

impl ResolvesClientCert for Keyring {
    fn resolve(&self, _: &[&[u8]], _: &[SignatureScheme]) -> Option<Arc<CertifiedKey>> {
        Some(Arc::clone(&self.now().own))
    }

    fn has_certs(&self) -> bool {
        true
    }
}

impl ClientCertVerifier for Keyring {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        // They would have to outlive a change of the files; clients have one certificate to show anyway.
        &[]
    }

    fn verify_client_cert(
        &self,
        first: &CertificateDer<'_>,
        rest: &[CertificateDer<'_>],
        now: UnixTime,
    ) -> Result<ClientCertVerified, Error> {
        self.now().clients.verify_client_cert(first, rest, now)
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.now()
            .clients
            .verify_tls12_signature(message, certificate, signature)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.now()
            .clients
            .verify_tls13_signature(message, certificate, signature)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.now().clients.supported_verify_schemes()
    }
}

impl ServerCertVerifier for Keyring {
    fn verify_server_cert(
        &self,
        first: &CertificateDer<'_>,
        rest: &[CertificateDer<'_>],
        host: &ServerName<'_>,
        stapled: &[u8],
        now: UnixTime,
    ) -> Result<ServerCertVerified, Error> {
        self.now()
            .servers
            .verify_server_cert(first, rest, host, stapled, now)
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.now()
            .servers
            .verify_tls12_signature(message, certificate, signature)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.now()
            .servers
            .verify_tls13_signature(message, certificate, signature)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.now().servers.supported_verify_schemes()
    }
}
