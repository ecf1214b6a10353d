//! Who may do what.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// What a certificate is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Sees everything and changes nothing.
    View,
    /// Sees and changes.
    Operate,
    /// Is an instance: registers, reports and takes orders under its own name.
    Instance,
    /// Is the agent.
    Agent,
}

impl Role {
    /// All of them.
    pub const ALL: [Role; 4] = [Role::View, Role::Operate, Role::Instance, Role::Agent];
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
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let named = Role::ALL.into_iter().find(|role| role.to_string() == text);
        named.ok_or_else(|| {
            format!("{text:?} is no role; there are view, operate, instance and agent")
        })
    }
}

/// What someone asks the agent for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb<'a> {
    /// To see instances, rollouts, the history.
    See,
    /// To push, stop or take back a change.
    Change,
    /// To be the instance of this name.
    Be(&'a str),
}

impl fmt::Display for Verb<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Verb::See => f.write_str("see the fleet"),
            Verb::Change => f.write_str("change the fleet"),
            Verb::Be(name) => write!(f, "be the instance {name}"),
        }
    }
}

/// Whether a certificate of this role and name may be used for something. The name of an instance's certificate may
/// end in `*`: it is then good for all names that begin so.
pub fn may(role: Role, name: &str, verb: Verb<'_>) -> bool {
    match (role, verb) {
        (Role::View | Role::Operate, Verb::See) | (Role::Operate, Verb::Change) => true,
        (Role::Instance, Verb::Be(wanted)) => match name.strip_suffix('*') {
            Some(begin) => wanted.starts_with(begin),
            None => wanted == name,
        },
        _ => false,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_role_may_do_its_own_and_nothing_else() {
        let may = |role, verb| may(role, "shop-1", verb);
        assert!(may(Role::View, Verb::See) && may(Role::Operate, Verb::See));
        assert!(may(Role::Operate, Verb::Change) && may(Role::Instance, Verb::Be("shop-1")));
        for (role, verb) in [
            (Role::View, Verb::Change),
            (Role::Instance, Verb::Change),
            (Role::Instance, Verb::See),
            (Role::Agent, Verb::Change),
            (Role::Agent, Verb::Be("shop-1")),
            (Role::Operate, Verb::Be("shop-1")),
            (Role::Instance, Verb::Be("shop-10")),
        ] {
            assert!(!may(role, verb), "{role} may {verb}");
        }
    }

    #[test]
    fn a_certificate_for_a_group_is_good_for_its_names_alone() {
        assert!(may(Role::Instance, "shop-*", Verb::Be("shop-10")));
        assert!(!may(Role::Instance, "shop-*", Verb::Be("till-1")));
        assert!(!may(Role::Operate, "*", Verb::Be("shop-1")));
    }
}
