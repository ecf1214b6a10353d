//! What a certificate is requested with, and which requests are valid.

use crate::error::Error;
use crate::role::Role;
use rcgen::SanType;
use std::net::IpAddr;
use time::{Duration, OffsetDateTime};

/// The longest validity of a certificate.
pub(crate) const MAX_VALIDITY_DAYS: u32 = 36_500;
/// The longest name in a certificate, in bytes, without the `*` of a group.
const MAX_NAME_BYTES: usize = 64;
/// Certificates are valid from this long before they are issued, because clocks differ.
const CLOCK_TOLERANCE: Duration = Duration::hours(1);

/// A request for a certificate.
#[derive(Clone, Copy, Debug)]
pub struct CertificateRequest<'a> {
    /// The name of the holder. An instance's may end in `*`: the certificate is then valid for all names with that prefix.
    pub name: &'a str,
    /// The role of the holder.
    pub role: Role,
    /// The hosts and addresses at which an agent is reached.
    pub hosts: &'a [String],
    /// The number of days that the certificate is valid: 1 to 36,500.
    pub days: u32,
}

impl CertificateRequest<'_> {
    /// Checks what an operator can have got wrong about the hosts.
    pub(super) fn require_hosts(&self) -> Result<(), Error> {
        if self.role == Role::Agent && self.hosts.is_empty() {
            return Err(Error::MissingHost);
        }
        Ok(())
    }

    /// The hosts as alternative names of a certificate.
    pub(super) fn host_names(&self) -> Result<Vec<SanType>, Error> {
        self.hosts.iter().map(|host| host_name(host)).collect()
    }
}

fn host_name(host: &str) -> Result<SanType, Error> {
    if let Ok(address) = host.parse::<IpAddr>() {
        return Ok(SanType::IpAddress(address));
    }
    let name = host.try_into().map_err(|source| Error::InvalidHost {
        host: host.into(),
        source,
    })?;
    Ok(SanType::DnsName(name))
}

/// Checks that a name can stand in a certificate of this role.
pub(super) fn check_name(name: &str, role: Role) -> Result<(), Error> {
    let prefix = if role == Role::Instance {
        name.strip_suffix('*').unwrap_or(name)
    } else {
        name
    };
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    let is_empty = prefix.is_empty() && name != "*";
    let is_too_long = prefix.len() > MAX_NAME_BYTES;
    if is_empty || is_too_long || prefix.starts_with('.') || !prefix.chars().all(is_allowed) {
        let name = name.into();
        return Err(Error::InvalidName { name, role });
    }
    Ok(())
}

/// The time in which a certificate is valid.
pub(super) struct Validity {
    pub(super) from: OffsetDateTime,
    pub(super) until: OffsetDateTime,
}

impl Validity {
    /// The validity of a certificate that is issued now for this number of days.
    pub(super) fn new(days: u32, now: OffsetDateTime) -> Result<Self, Error> {
        if days == 0 || days > MAX_VALIDITY_DAYS {
            return Err(Error::InvalidValidity { days });
        }
        let until = now.checked_add(Duration::days(i64::from(days)));
        Ok(Validity {
            from: now - CLOCK_TOLERANCE,
            until: until.ok_or(Error::TimeOutOfRange)?,
        })
    }
}
