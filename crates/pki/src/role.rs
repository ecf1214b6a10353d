//! Roles, and what each permits.

use crate::error::Error;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// What a certificate is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An operator who may see everything and change nothing.
    View,
    /// An operator who may see and change everything.
    Operate,
    /// An instance, which registers, reports and takes orders under its own name.
    Instance,
    /// The agent.
    Agent,
}

impl Role {
    /// All roles.
    pub const ALL: [Role; 4] = [Role::View, Role::Operate, Role::Instance, Role::Agent];

    /// Whether a certificate of this role and name permits something. The name in an instance's certificate may end in
    /// `*`: the certificate is then valid for all names with that prefix.
    pub fn permits(self, name: &str, permission: Permission<'_>) -> bool {
        match (self, permission) {
            (Role::View | Role::Operate, Permission::ViewFleet)
            | (Role::Operate, Permission::ChangeFleet) => true,
            (Role::Instance, Permission::ActAsInstance(instance)) => match name.strip_suffix('*') {
                Some(prefix) => instance.starts_with(prefix),
                None => instance == name,
            },
            _ => false,
        }
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Role::View => "view",
            Role::Operate => "operate",
            Role::Instance => "instance",
            Role::Agent => "agent",
        })
    }
}

impl FromStr for Role {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let role = Role::ALL.into_iter().find(|role| role.to_string() == text);
        role.ok_or_else(|| Error::UnknownRole { text: text.into() })
    }
}

/// What a caller asks the agent for, and needs a permission for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission<'a> {
    /// To see instances, rollouts and the history.
    ViewFleet,
    /// To push, stop or undo a change.
    ChangeFleet,
    /// To act as the instance of this name.
    ActAsInstance(&'a str),
}

impl fmt::Display for Permission<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Permission::ViewFleet => f.write_str("see the fleet"),
            Permission::ChangeFleet => f.write_str("change the fleet"),
            Permission::ActAsInstance(name) => write!(f, "be the instance {name}"),
        }
    }
}
