//! `madderloom keys`: a small authority of one's own, for the agent, its instances and those who operate them.

use crate::output::{Output, Table, tell};
use clap::Subcommand;
use madderloom_pki::{Authority, CertificateRequest, CertificateState, IssuedCertificate, Role};
use std::path::PathBuf;
use std::process::ExitCode;
use time::OffsetDateTime;
use time::macros::format_description;

/// Founds an authority, and issues, renews, revokes and lists certificates.
///
/// The authority is a directory. It need not be on any machine of the fleet: agents, instances and operators need
/// their own certificate and key, `authority.pem`, and agents also `revoked.pem`.
#[derive(clap::Args)]
pub(crate) struct Keys {
    /// The authority's directory
    #[arg(long, global = true, default_value = "keys", value_name = "DIRECTORY")]
    dir: PathBuf,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Founds an authority in a directory that is empty or not there
    Init {
        /// What it is called
        #[arg(long, default_value = "madderloom")]
        name: String,
        /// How many days it is good for
        #[arg(long, default_value_t = 3_650)]
        days: u32,
    },
    /// Issues a certificate, into NAME.pem and NAME.key
    Issue {
        /// Whom it is for; for instances, `shop-*` is good for all names that begin so
        name: String,
        /// What it is for: view, operate, instance or agent
        #[arg(long)]
        role: Role,
        /// A host or address that an agent is reached at; may be given again
        #[arg(long = "host", value_name = "HOST")]
        hosts: Vec<String>,
        /// How many days it is good for
        #[arg(long, default_value_t = 90)]
        days: u32,
        /// Where the files go
        #[arg(long, default_value = ".", value_name = "DIRECTORY")]
        out: PathBuf,
    },
    /// Puts a new certificate and key in place of NAME.pem and NAME.key; programs that use them go on
    Rotate {
        /// Whose
        name: String,
        /// How many days the new one is good for
        #[arg(long, default_value_t = 90)]
        days: u32,
        /// Where the files are
        #[arg(long, default_value = ".", value_name = "DIRECTORY")]
        out: PathBuf,
        /// Revoke the former one; without this it is good until it expires
        #[arg(long)]
        revoke: bool,
    },
    /// Revokes a certificate; agents heed it once they have the new revoked.pem
    Revoke {
        /// Its serial number, or a name for all of that name
        which: String,
    },
    /// Lists what was issued
    List {
        /// How the list is told
        #[arg(long, value_enum, default_value_t = Output::Text)]
        output: Output,
    },
}

impl Keys {
    pub(crate) fn run(self) -> Result<ExitCode, String> {
        let now = OffsetDateTime::now_utc();
        let dir = self.dir.display();
        match self.what {
            What::Init { name, days } => {
                Authority::create(&self.dir, &name, days, now)?;
                tell(format_args!(
                    "founded {name} in {dir}; keep {dir}/authority.key where no one else can read it"
                ));
            }
            What::Issue {
                name,
                role,
                hosts,
                days,
                out,
            } => {
                let mut authority = Authority::open(&self.dir)?;
                let request = CertificateRequest {
                    name: &name,
                    role,
                    hosts: &hosts,
                    days,
                };
                let issued = authority.issue(request, &out, now)?;
                let (until, file) = (day(issued.certificate.valid_until), issued.path.display());
                tell(format_args!(
                    "issued {file} for {name} to {role} until {until}, serial {}",
                    issued.certificate.serial
                ));
            }
            What::Rotate {
                name,
                days,
                out,
                revoke,
            } => {
                let mut authority = Authority::open(&self.dir)?;
                let issued = authority.rotate(&name, days, &out, revoke, now)?;
                let former = if revoke {
                    "is revoked"
                } else {
                    "is good until it expires"
                };
                tell(format_args!(
                    "issued anew for {name} until {}, serial {}; the former one {former}",
                    day(issued.valid_until),
                    issued.serial
                ));
            }
            What::Revoke { which } => {
                let mut authority = Authority::open(&self.dir)?;
                let revoked = authority.revoke(&which, now)?;
                if revoked.is_empty() {
                    tell(format_args!("{which} was revoked before"));
                }
                for issued in &revoked {
                    tell(format_args!("revoked {} of {}", issued.serial, issued.name));
                }
                tell(format_args!(
                    "copy {} to every agent",
                    authority.revocation_list_path().display()
                ));
            }
            What::List { output } => list(&Authority::open(&self.dir)?, output, now),
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn list(authority: &Authority, output: Output, now: OffsetDateTime) {
    if output == Output::Json {
        let told = |issued: &IssuedCertificate| {
            let mut object = serde_json::to_value(issued).unwrap_or_default();
            object["state"] = serde_json::to_value(issued.state(now)).unwrap_or_default();
            object
        };
        let all: Vec<serde_json::Value> = authority.issued().iter().map(told).collect();
        return tell(format_args!("{}", serde_json::Value::from(all)));
    }
    let mut table = Table::new(["NAME", "ROLE", "STATE", "UNTIL", "SERIAL"]);
    for issued in authority.issued() {
        let left = (issued.valid_until - now.unix_timestamp()) / 86_400;
        let state = match issued.state(now) {
            CertificateState::Valid if left < 14 => format!("valid, {left} days left"),
            CertificateState::Valid => "valid".into(),
            CertificateState::Expired => "expired".into(),
            CertificateState::Revoked => "revoked".into(),
        };
        let serial = issued.serial.clone();
        table.row([
            issued.name.clone(),
            issued.role.to_string(),
            state,
            day(issued.valid_until),
            serial,
        ]);
    }
    tell(format_args!("{table}"));
}

fn day(seconds: i64) -> String {
    let day = OffsetDateTime::from_unix_timestamp(seconds).ok();
    let day = day.and_then(|day| day.format(format_description!("[year]-[month]-[day]")).ok());
    day.unwrap_or_else(|| "?".into())
}
