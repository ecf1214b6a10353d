//! The identity in a certificate: a role and a name, as a URI among its alternative names.

use crate::hexadecimal;
use crate::rejection::CertificateRejection;
use crate::role::Role;
use rustls::pki_types::CertificateDer;
use x509_parser::extensions::GeneralName;

/// The beginning of the URI that holds role and name: `urn:madderloom:ROLE:NAME`.
const URI_PREFIX: &str = "urn:madderloom:";
/// How the URI holds the `*` of a group's name, which may not stand in it.
const ESCAPED_STAR: &str = "%2A";

/// Who a certificate was issued to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The name of the holder.
    pub name: String,
    /// The role of the holder.
    pub role: Role,
    /// The serial number of the certificate, in hexadecimal digits.
    pub serial: String,
    /// Until when the certificate is valid: seconds since 1970.
    pub valid_until: i64,
}

impl Identity {
    /// Reads the identity in a certificate. Does not verify the certificate.
    pub(crate) fn read(certificate: &CertificateDer<'_>) -> Result<Self, CertificateRejection> {
        let unrecognized = |why: &str| CertificateRejection::Unrecognized(why.to_string());
        let (_, parsed) = x509_parser::parse_x509_certificate(certificate)
            .map_err(|_| unrecognized("it can't be read"))?;
        let names = parsed.subject_alternative_name().ok().flatten();
        let names = names
            .map(|names| names.value.general_names.as_slice())
            .unwrap_or_default();
        let mut identities = names.iter().filter_map(|name| match name {
            GeneralName::URI(uri) => uri.strip_prefix(URI_PREFIX),
            _ => None,
        });
        let (Some(identity), None) = (identities.next(), identities.next()) else {
            return Err(unrecognized("it holds no role"));
        };
        let (role, name) = identity
            .split_once(':')
            .ok_or_else(|| unrecognized("it holds no name"))?;
        let role = role
            .parse::<Role>()
            .map_err(|error| unrecognized(&error.to_string()))?;
        Ok(Identity {
            name: name.replace(ESCAPED_STAR, "*"),
            role,
            serial: hexadecimal::encode(parsed.raw_serial()),
            valid_until: parsed.validity().not_after.timestamp(),
        })
    }
}

/// The URI that holds a role and a name.
pub(crate) fn uri(role: Role, name: &str) -> String {
    format!("{URI_PREFIX}{role}:{}", name.replace('*', ESCAPED_STAR))
}
