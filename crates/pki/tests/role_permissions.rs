//! Each role permits what it is for and nothing else.

use madderloom_pki::{Permission, Role};

#[test]
fn each_role_may_do_its_own_and_nothing_else() {
    let permits = |role: Role, permission| role.permits("shop-1", permission);
    assert!(permits(Role::View, Permission::ViewFleet));
    assert!(permits(Role::Operate, Permission::ViewFleet));
    assert!(permits(Role::Operate, Permission::ChangeFleet));
    assert!(permits(Role::Instance, Permission::ActAsInstance("shop-1")));
    for (role, permission) in [
        (Role::View, Permission::ChangeFleet),
        (Role::Instance, Permission::ChangeFleet),
        (Role::Instance, Permission::ViewFleet),
        (Role::Agent, Permission::ChangeFleet),
        (Role::Agent, Permission::ActAsInstance("shop-1")),
        (Role::Operate, Permission::ActAsInstance("shop-1")),
        (Role::Instance, Permission::ActAsInstance("shop-10")),
    ] {
        assert!(!permits(role, permission), "{role} may {permission}");
    }
}

#[test]
fn a_certificate_for_a_group_is_valid_for_its_names_alone() {
    let instance = Role::Instance;
    assert!(instance.permits("shop-*", Permission::ActAsInstance("shop-10")));
    assert!(!instance.permits("shop-*", Permission::ActAsInstance("till-1")));
    assert!(!Role::Operate.permits("*", Permission::ActAsInstance("shop-1")));
}
