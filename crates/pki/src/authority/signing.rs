//! How certificates and revocation lists are made and signed.

use super::issued::IssuedCertificate;
use super::request::{CertificateRequest, MAX_VALIDITY_DAYS, Validity, check_name};
use crate::error::Error;
use crate::hexadecimal;
use crate::identity;
use crate::role::Role;
use rcgen::{
    BasicConstraints, CertificateParams, CertificateRevocationListParams, DistinguishedName,
    DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyIdMethod, KeyPair, KeyUsagePurpose,
    RevocationReason, RevokedCertParams, SanType, SerialNumber,
};
use time::{Duration, OffsetDateTime};

/// A certificate and its private key, in the PEM format.
pub(super) struct SignedCertificate {
    pub(super) certificate: String,
    pub(super) key: String,
}

/// Makes the error of a step in making `what`.
fn generate_error(what: &'static str) -> impl Fn(rcgen::Error) -> Error {
    move |source| Error::Generate { what, source }
}

/// Makes the self-signed certificate of a new authority.
pub(super) fn sign_authority(
    name: &str,
    days: u32,
    now: OffsetDateTime,
) -> Result<SignedCertificate, Error> {
    check_name(name, Role::Agent)?;
    let key = KeyPair::generate().map_err(generate_error("key"))?;
    let validity = Validity::new(days, now)?;
    let mut params = CertificateParams::default();
    params.distinguished_name = DistinguishedName::new();
    params.distinguished_name.push(DnType::CommonName, name);
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params.not_before = validity.from;
    params.not_after = validity.until;
    let certificate = params
        .self_signed(&key)
        .map_err(generate_error("certificate"))?;
    Ok(SignedCertificate {
        certificate: certificate.pem(),
        key: key.serialize_pem(),
    })
}

/// Makes a certificate with a new key, and its record for the index.
pub(super) fn sign_certificate(
    issuer: &Issuer<'static, KeyPair>,
    request: &CertificateRequest<'_>,
    now: OffsetDateTime,
) -> Result<(SignedCertificate, IssuedCertificate), Error> {
    let key = KeyPair::generate().map_err(generate_error("key"))?;
    let mut params = certificate_params(request)?;
    let validity = Validity::new(request.days, now)?;
    params.not_before = validity.from;
    params.not_after = validity.until;
    let certificate = params
        .signed_by(&key, issuer)
        .map_err(generate_error("certificate"))?;
    let (_, parsed) =
        x509_parser::parse_x509_certificate(certificate.der()).map_err(Error::ReadCertificate)?;
    let issued = IssuedCertificate {
        serial: hexadecimal::encode(parsed.raw_serial()),
        name: request.name.to_string(),
        role: request.role,
        hosts: request.hosts.to_vec(),
        valid_from: validity.from.unix_timestamp(),
        valid_until: validity.until.unix_timestamp(),
        revoked_at: None,
    };
    let signed = SignedCertificate {
        certificate: certificate.pem(),
        key: key.serialize_pem(),
    };
    Ok((signed, issued))
}

/// The content of a certificate without its validity.
fn certificate_params(request: &CertificateRequest<'_>) -> Result<CertificateParams, Error> {
    let CertificateRequest { name, role, .. } = *request;
    let mut params = CertificateParams::default();
    params.distinguished_name = DistinguishedName::new();
    params.distinguished_name.push(DnType::CommonName, name);
    params
        .distinguished_name
        .push(DnType::OrganizationalUnitName, role.to_string());
    let uri = identity::uri(role, name)
        .try_into()
        .map_err(generate_error("name"))?;
    params.subject_alt_names = vec![SanType::URI(uri)];
    params.subject_alt_names.extend(request.host_names()?);
    let usage = if role == Role::Agent {
        ExtendedKeyUsagePurpose::ServerAuth
    } else {
        ExtendedKeyUsagePurpose::ClientAuth
    };
    params.extended_key_usages = vec![usage];
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.use_authority_key_identifier_extension = true;
    Ok(params)
}

/// Makes the list of those of the issued certificates that are revoked, in the PEM format.
pub(super) fn sign_revocation_list(
    issuer: &Issuer<'static, KeyPair>,
    issued: &[IssuedCertificate],
    now: OffsetDateTime,
) -> Result<String, Error> {
    let revoked = |certificate: &IssuedCertificate| {
        let revoked_at = certificate.revoked_at?;
        Some(RevokedCertParams {
            serial_number: SerialNumber::from(hexadecimal::decode(&certificate.serial)),
            revocation_time: OffsetDateTime::from_unix_timestamp(revoked_at).unwrap_or(now),
            reason_code: Some(RevocationReason::Unspecified),
            invalidity_date: None,
        })
    };
    let params = CertificateRevocationListParams {
        this_update: now,
        next_update: now + Duration::days(i64::from(MAX_VALIDITY_DAYS)),
        crl_number: SerialNumber::from(u64::try_from(now.unix_timestamp()).unwrap_or(0)),
        issuing_distribution_point: None,
        revoked_certs: issued.iter().filter_map(revoked).collect(),
        key_identifier_method: KeyIdMethod::Sha256,
    };
    let list = params
        .signed_by(issuer)
        .map_err(generate_error("revoked.pem"))?;
    list.pem().map_err(generate_error("revoked.pem"))
}
