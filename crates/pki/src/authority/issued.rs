//! The record of a certificate that the authority has issued.

use crate::role::Role;
use serde::{Deserialize, Serialize};
use time::OffsetDateTime;

/// A certificate that was issued, as the authority's index has it. Times are seconds since 1970.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IssuedCertificate {
    /// Its serial number, in hexadecimal digits.
    pub serial: String,
    /// The name of its holder.
    pub name: String,
    /// The role of its holder.
    pub role: Role,
    /// The hosts and addresses at which an agent is reached.
    #[serde(default)]
    pub hosts: Vec<String>,
    /// From when it is valid.
    #[serde(rename = "from")]
    pub valid_from: i64,
    /// Until when it is valid.
    #[serde(rename = "until")]
    pub valid_until: i64,
    /// When it was revoked; none if it was not.
    #[serde(default, rename = "revoked")]
    pub revoked_at: Option<i64>,
}

/// Whether an issued certificate can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CertificateState {
    /// It can.
    Valid,
    /// Its validity has ended.
    Expired,
    /// It was revoked.
    Revoked,
}

impl IssuedCertificate {
    /// Its state at this time.
    pub fn state(&self, now: OffsetDateTime) -> CertificateState {
        match self.revoked_at {
            Some(_) => CertificateState::Revoked,
            None if self.valid_until <= now.unix_timestamp() => CertificateState::Expired,
            None => CertificateState::Valid,
        }
    }
}
