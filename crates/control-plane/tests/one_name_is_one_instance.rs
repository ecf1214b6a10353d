//! Membership: leases, and which start holds a name.

use madderloom_control_plane::membership::{
    LeaseSettings, MemberState, Membership, NameHeld, RegistrationOutcome, RenewalOutcome,
};
use madderloom_control_plane::protocol::{InstanceId, Register};
use madderloom_control_plane::selector::Attributes;
use proptest::prelude::*;

const S: u64 = 1_000_000;

fn id(name: &str, start: u64, incarnation: u64) -> InstanceId {
    InstanceId {
        name: name.into(),
        start,
        incarnation,
    }
}

fn register(
    members: &mut Membership,
    now: u64,
    start: u64,
    incarnation: u64,
) -> RegistrationOutcome {
    members.register(
        now,
        &Register {
            id: id("a", start, incarnation),
            attributes: Attributes::default(),
            term: 0,
        },
    )
}

fn state(members: &Membership) -> MemberState {
    members.get("a").expect("known").state
}

#[test]
fn an_instance_joins_is_alive_suspect_gone_and_registers_again() {
    let mut members = Membership::new(LeaseSettings::default());
    assert_eq!(
        register(&mut members, 0, 7, 3),
        RegistrationOutcome::Accepted {
            incarnation: 3,
            is_new: true
        }
    );
    assert_eq!(state(&members), MemberState::Joining);
    assert_eq!(
        members.renew(S, &id("a", 7, 3)),
        RenewalOutcome::Renewed(MemberState::Joining)
    );
    assert_eq!(state(&members), MemberState::Alive);
    assert!(members.tick(11 * S - 1).is_empty());
    assert_eq!(members.next_deadline(), Some(11 * S));
    assert_eq!(
        members.tick(11 * S),
        [("a".to_string(), MemberState::Suspect)]
    );
    assert_eq!(
        members.renew(12 * S, &id("a", 7, 3)),
        RenewalOutcome::Renewed(MemberState::Suspect)
    );
    assert_eq!(members.tick(22 * S).len(), 1);
    assert_eq!(members.tick(42 * S), [("a".to_string(), MemberState::Gone)]);
    assert_eq!(
        members.renew(43 * S, &id("a", 7, 3)),
        RenewalOutcome::NotRegistered
    );
    assert_eq!(
        register(&mut members, 44 * S, 7, 3),
        RegistrationOutcome::Accepted {
            incarnation: 3,
            is_new: false
        }
    );
    assert_eq!(
        members.renew(45 * S, &id("a", 7, 3)),
        RenewalOutcome::Renewed(MemberState::Joining)
    );
}

#[test]
fn a_restart_takes_the_name_over_at_once_and_the_former_start_is_rejected() {
    let mut members = Membership::new(LeaseSettings::default());
    register(&mut members, 0, 7, 3);
    assert_eq!(
        register(&mut members, S, 8, 4),
        RegistrationOutcome::Accepted {
            incarnation: 4,
            is_new: true
        }
    );
    let retry_after = 11 * S - 2 * S;
    assert_eq!(
        members.renew(2 * S, &id("a", 7, 3)),
        RenewalOutcome::Superseded(NameHeld {
            holder_incarnation: 4,
            retry_after
        })
    );
    assert_eq!(
        members
            .get("a")
            .and_then(|member| member.conflict)
            .map(|conflict| (conflict.start, conflict.rejections)),
        Some((7, 1))
    );
}

#[test]
fn a_lower_incarnation_waits_until_the_holder_is_gone_and_is_granted_a_greater_one() {
    let mut members = Membership::new(LeaseSettings::default());
    register(&mut members, 0, 7, 30);
    for now in 1..4 {
        assert!(matches!(
            register(&mut members, now * S, 8, 2),
            RegistrationOutcome::Superseded(NameHeld {
                holder_incarnation: 30,
                ..
            })
        ));
    }
    assert_eq!(
        members
            .get("a")
            .and_then(|member| member.conflict)
            .map(|conflict| conflict.rejections),
        Some(3)
    );
    members.tick(10 * S);
    assert!(matches!(
        register(&mut members, 11 * S, 8, 2),
        RegistrationOutcome::Superseded(_)
    ));
    members.tick(30 * S);
    assert_eq!(
        register(&mut members, 31 * S, 8, 2),
        RegistrationOutcome::Accepted {
            incarnation: 31,
            is_new: true
        }
    );
}

#[test]
fn members_are_bounded_and_the_one_that_is_gone_for_longest_is_forgotten() {
    let mut members = Membership::new(LeaseSettings {
        max_members: 2,
        ..LeaseSettings::default()
    });
    let register = |members: &mut Membership, now: u64, name: &str| {
        members.register(
            now,
            &Register {
                id: id(name, 1, 1),
                attributes: Attributes::default(),
                term: 0,
            },
        )
    };
    register(&mut members, 0, "a");
    register(&mut members, S, "b");
    assert_eq!(
        register(&mut members, 2 * S, "c"),
        RegistrationOutcome::Full
    );
    for now in [12, 40] {
        members.tick(now * S);
    }
    assert!(matches!(
        register(&mut members, 41 * S, "c"),
        RegistrationOutcome::Accepted { .. }
    ));
    assert!(members.get("a").is_none() && members.get("b").is_some());
}

#[derive(Clone, Debug)]
enum Step {
    Register(u64, u64),
    Renew(u64, u64),
    Pass(u64),
}

proptest! {
    /// For every order of registrations, renewals and pauses: an incarnation is never granted to two starts, and grows with
    /// each new holder.
    #[test]
    fn incarnations_grow_with_each_holder(steps in proptest::collection::vec(prop_oneof![
        (0u64..4, 0u64..6).prop_map(|(start, incarnation)| Step::Register(start, incarnation)),
        (0u64..4, 0u64..9).prop_map(|(start, incarnation)| Step::Renew(start, incarnation)),
        (1u64..40).prop_map(|s| Step::Pass(s * S)),
    ], 0..60)) {
        let mut members = Membership::new(LeaseSettings::default());
        let (mut now, mut last) = (0, None::<(u64, u64)>);
        for step in steps {
            match step {
                Step::Register(start, incarnation) => {
                    if let RegistrationOutcome::Accepted { incarnation, .. } = register(&mut members, now, start, incarnation) {
                        if let Some((former, greatest)) = last {
                            let grows = incarnation > greatest || former == start && incarnation == greatest;
                            prop_assert!(grows);
                        }
                        last = Some((start, incarnation));
                    }
                }
                Step::Renew(start, incarnation) => {
                    if let RenewalOutcome::Renewed(_) = members.renew(now, &id("a", start, incarnation)) {
                        prop_assert_eq!(Some((start, incarnation)), last);
                    }
                }
                Step::Pass(span) => {
                    now += span;
                    members.tick(now);
                }
            }
        }
    }

    /// The index of deadlines agrees with a scan of all members.
    #[test]
    fn exactly_the_members_whose_deadline_has_passed_change(steps in proptest::collection::vec(
        (0usize..5, 0u64..3, 0u8..3, 0u64..25), 0..80)) {
        let leases = LeaseSettings { max_members: 3, retention: 40 * S, ..LeaseSettings::default() };
        let mut members = Membership::new(leases);
        let mut now = 0;
        for (name, start, what, pass) in steps {
            let id = id(["a", "b", "c", "d", "e"][name], start, start);
            match what {
                0 => drop(members.register(now, &Register { id, attributes: Attributes::default(), term: 0 })),
                1 => drop(members.renew(now, &id)),
                _ => {
                    now += pass * S;
                    let due = members.iter().filter(|(_, member)| member.deadline <= now);
                    let due: Vec<String> = due.map(|(name, _)| name.clone()).collect();
                    let changed: Vec<String> = members.tick(now).into_iter().map(|(name, _)| name).collect();
                    prop_assert_eq!(changed, due);
                }
            }
            prop_assert_eq!(members.next_deadline(), members.iter().map(|(_, member)| member.deadline).min());
        }
    }
}
