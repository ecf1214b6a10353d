//! Why a certificate is rejected, and failed handshakes described for operators.

use rustls::{AlertDescription, CertificateError, Error};

/// Why a certificate is rejected. The texts are shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CertificateRejection {
    /// Its validity has ended.
    #[error("the certificate has expired; `madderloom keys rotate` makes a new one")]
    Expired,
    /// Its validity has not begun.
    #[error("the certificate is not good yet; is a clock wrong?")]
    NotYetValid,
    /// Its authority has revoked it.
    #[error("the certificate was revoked")]
    Revoked,
    /// No trusted authority has issued it.
    #[error("the certificate comes from another authority")]
    UnknownAuthority,
    /// It is for other hosts, or for the other side of a connection.
    #[error("the certificate is for something else: {0}")]
    WrongPurpose(String),
    /// It is not one that `madderloom keys` issues.
    #[error("the certificate is none of madderloom's: {0}")]
    Unrecognized(String),
}

impl From<&Error> for CertificateRejection {
    fn from(error: &Error) -> Self {
        let Error::InvalidCertificate(error) = error else {
            return CertificateRejection::Unrecognized(error.to_string());
        };
        match error {
            CertificateError::Expired | CertificateError::ExpiredContext { .. } => {
                CertificateRejection::Expired
            }
            CertificateError::NotValidYet | CertificateError::NotValidYetContext { .. } => {
                CertificateRejection::NotYetValid
            }
            CertificateError::Revoked => CertificateRejection::Revoked,
            CertificateError::UnknownIssuer
            | CertificateError::BadSignature
            | CertificateError::UnknownRevocationStatus => CertificateRejection::UnknownAuthority,
            CertificateError::InvalidPurpose
            | CertificateError::InvalidPurposeContext { .. }
            | CertificateError::NotValidForName
            | CertificateError::NotValidForNameContext { .. } => {
                CertificateRejection::WrongPurpose(error.to_string())
            }
            other => CertificateRejection::Unrecognized(other.to_string()),
        }
    }
}

/// Describes a failed handshake for operators: which side's certificate was rejected, and why.
pub fn describe_handshake_error(error: &Error) -> String {
    match error {
        Error::InvalidCertificate(_) => {
            let rejection = CertificateRejection::from(error);
            format!("the other side's certificate is refused: {rejection}")
        }
        Error::AlertReceived(alert) => describe_alert(*alert),
        other => other.to_string(),
    }
}

/// Describes the alert with which the other side has ended the handshake.
fn describe_alert(alert: AlertDescription) -> String {
    let rejection = match alert {
        AlertDescription::CertificateExpired => CertificateRejection::Expired,
        AlertDescription::CertificateRevoked => CertificateRejection::Revoked,
        AlertDescription::UnknownCA | AlertDescription::DecryptError => {
            CertificateRejection::UnknownAuthority
        }
        AlertDescription::CertificateRequired => {
            return "the other side wants a certificate, and none was shown".into();
        }
        AlertDescription::BadCertificate | AlertDescription::UnsupportedCertificate => {
            CertificateRejection::Unrecognized("the other side can't use it".into())
        }
        other => return format!("the other side ends the connection: {other:?}"),
    };
    format!("the other side refuses this program's certificate: {rejection}")
}
