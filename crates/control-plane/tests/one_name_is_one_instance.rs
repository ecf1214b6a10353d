//! Membership: leases, and who holds a name.

use madderloom_control_plane::change::Traits;
use madderloom_control_plane::membership::{Leases, Membership, Presence, Registered, Renewed};
use madderloom_control_plane::protocol::{Register, Who};
use proptest::prelude::*;

const S: u64 = 1_000_000;

fn who(name: &str, start: u64, incarnation: u64) -> Who {
    Who {
        name: name.into(),
        start,
        incarnation,
    }
}

fn register(members: &mut Membership, now: u64, start: u64, incarnation: u64) -> Registered {
    members.register(
        now,
        &Register {
            who: who("a", start, incarnation),
            traits: Traits::default(),
            term: 0,
        },
    )
}

fn presence(members: &Membership) -> Presence {
    members.get("a").expect("known").presence
}

#[test]
fn an_instance_joins_lives_is_suspected_goes_and_comes_back() {
    let mut members = Membership::new(Leases::default());
    assert_eq!(
        register(&mut members, 0, 7, 3),
        Registered::Welcome {
            incarnation: 3,
            new: true
        }
    );
    assert_eq!(presence(&members), Presence::Joining);
    assert_eq!(
        members.renew(S, &who("a", 7, 3)),
        Renewed::Renewed(Presence::Joining)
    );
    assert_eq!(presence(&members), Presence::Alive);
    assert!(members.tick(11 * S - 1).is_empty());
    assert_eq!(members.next(), Some(11 * S));
    assert_eq!(members.tick(11 * S), [("a".to_string(), Presence::Suspect)]);
    assert_eq!(
        members.renew(12 * S, &who("a", 7, 3)),
        Renewed::Renewed(Presence::Suspect)
    );
    assert_eq!(members.tick(22 * S).len(), 1);
    assert_eq!(members.tick(42 * S), [("a".to_string(), Presence::Gone)]);
    assert_eq!(members.renew(43 * S, &who("a", 7, 3)), Renewed::Unknown);
    assert_eq!(
        register(&mut members, 44 * S, 7, 3),
        Registered::Welcome {
            incarnation: 3,
            new: false
        }
    );
    assert_eq!(
        members.renew(45 * S, &who("a", 7, 3)),
        Renewed::Renewed(Presence::Joining)
    );
}

#[test]
fn a_restart_takes_the_name_over_at_once_and_the_former_start_is_turned_away() {
    let mut members = Membership::new(Leases::default());
    register(&mut members, 0, 7, 3);
    assert_eq!(
        register(&mut members, S, 8, 4),
        Registered::Welcome {
            incarnation: 4,
            new: true
        }
    );
    let again = 11 * S - 2 * S;
    assert_eq!(
        members.renew(2 * S, &who("a", 7, 3)),
        Renewed::Superseded { by: 4, again }
    );
    assert_eq!(
        members
            .get("a")
            .and_then(|member| member.rival)
            .map(|rival| (rival.start, rival.seen)),
        Some((7, 1))
    );
}

#[test]
fn an_old_incarnation_waits_until_the_holder_is_gone_and_gets_a_greater_one() {
    let mut members = Membership::new(Leases::default());
    register(&mut members, 0, 7, 30);
    for now in 1..4 {
        assert!(matches!(
            register(&mut members, now * S, 8, 2),
            Registered::Superseded { by: 30, .. }
        ));
    }
    assert_eq!(
        members
            .get("a")
            .and_then(|member| member.rival)
            .map(|rival| rival.seen),
        Some(3)
    );
    members.tick(10 * S);
    assert!(matches!(
        register(&mut members, 11 * S, 8, 2),
        Registered::Superseded { .. }
    ));
    members.tick(30 * S);
    assert_eq!(
        register(&mut members, 31 * S, 8, 2),
        Registered::Welcome {
            incarnation: 31,
            new: true
        }
    );
}

#[test]
fn names_are_bounded_and_the_one_that_is_gone_for_longest_makes_room() {
    let mut members = Membership::new(Leases {
        most: 2,
        ..Leases::default()
    });
    let register = |members: &mut Membership, now: u64, name: &str| {
        members.register(
            now,
            &Register {
                who: who(name, 1, 1),
                traits: Traits::default(),
                term: 0,
            },
        )
    };
    register(&mut members, 0, "a");
    register(&mut members, S, "b");
    assert_eq!(register(&mut members, 2 * S, "c"), Registered::Full);
    for now in [12, 40] {
        members.tick(now * S);
    }
    assert!(matches!(
        register(&mut members, 41 * S, "c"),
        Registered::Welcome { .. }
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
    /// Whatever comes in whatever order: an incarnation is never given to two starts, and grows with each new holder.
    #[test]
    fn incarnations_grow_with_each_holder(steps in proptest::collection::vec(prop_oneof![
        (0u64..4, 0u64..6).prop_map(|(start, incarnation)| Step::Register(start, incarnation)),
        (0u64..4, 0u64..9).prop_map(|(start, incarnation)| Step::Renew(start, incarnation)),
        (1u64..40).prop_map(|s| Step::Pass(s * S)),
    ], 0..60)) {
        let mut members = Membership::new(Leases::default());
        let (mut now, mut last) = (0, None::<(u64, u64)>);
        for step in steps {
            match step {
                Step::Register(start, incarnation) => {
                    if let Registered::Welcome { incarnation, .. } = register(&mut members, now, start, incarnation) {
                        if let Some((former, greatest)) = last {
                            let grows = incarnation > greatest || former == start && incarnation == greatest;
                            prop_assert!(grows);
                        }
                        last = Some((start, incarnation));
                    }
                }
                Step::Renew(start, incarnation) => {
                    if let Renewed::Renewed(_) = members.renew(now, &who("a", start, incarnation)) {
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

    /// The index of deadlines tells what a look at all members would.
    #[test]
    fn exactly_the_members_whose_time_is_over_change(steps in proptest::collection::vec(
        (0usize..5, 0u64..3, 0u8..3, 0u64..25), 0..80)) {
        let leases = Leases { most: 3, memory: 40 * S, ..Leases::default() };
        let mut members = Membership::new(leases);
        let mut now = 0;
        for (name, start, what, pass) in steps {
            let who = who(["a", "b", "c", "d", "e"][name], start, start);
            match what {
                0 => drop(members.register(now, &Register { who, traits: Traits::default(), term: 0 })),
                1 => drop(members.renew(now, &who)),
                _ => {
                    now += pass * S;
                    let due = members.iter().filter(|(_, member)| member.until <= now);
                    let due: Vec<String> = due.map(|(name, _)| name.clone()).collect();
                    let changed: Vec<String> = members.tick(now).into_iter().map(|(name, _)| name).collect();
                    prop_assert_eq!(changed, due);
                }
            }
            prop_assert_eq!(members.next(), members.iter().map(|(_, member)| member.until).min());
        }
    }
}
