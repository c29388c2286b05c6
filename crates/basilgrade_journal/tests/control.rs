//! Acceptance and rejection of slot grants and releases.

use basilgrade_journal::control_record::ControlRecord;
use basilgrade_journal::control_record::SlotRelease;
use basilgrade_journal::control_state::ControlState;
use basilgrade_journal::grant::Grant;
use basilgrade_journal::history::History;
use basilgrade_journal::node::Node;
use basilgrade_journal::replay::Replay;
use basilgrade_types::clock::Millis;
use basilgrade_types::incarnation::Incarnation;
use basilgrade_types::offset::Offset;
use basilgrade_types::slot::Slot;
use uuid::Uuid;

fn node(number: u64, incarnation: u64) -> Node {
    Node {
        vm: format!("vm{number}")
            .parse()
            .expect("expected a valid name"),
        incarnation: Incarnation(incarnation),
    }
}

fn slot() -> Slot {
    Slot::new(9).expect("expected a valid slot number")
}

fn first_grant() -> Grant {
    Grant {
        slot: slot(),
        prev: None,
        domain: "d0".parse().expect("expected a valid name"),
        primary: node(0, 1),
        backup: Some(node(1, 1)),
        floor: Millis(100),
        ceiling: Millis(1_000),
        history: History::Lost,
    }
}

fn apply(state: &mut ControlState, offset: u64, grant: Grant) {
    let record = ControlRecord::Grants {
        id: Uuid::nil(),
        grants: vec![grant],
    };
    state.apply(&(), Offset(offset), record, &mut Vec::new());
}

/// The epoch of the slot after [`first_grant`] at offset 3 and `grant` at offset 5: 5 if `grant`
/// was accepted, 3 if it was rejected.
fn epoch_after(grant: Grant) -> u64 {
    let mut state = ControlState::default();
    apply(&mut state, 3, first_grant());
    apply(&mut state, 5, grant);
    state.slot(slot()).map_or(0, |ownership| ownership.epoch.0)
}

/// A valid grant after [`first_grant`] whose primary, the former backup, has the earlier claims.
fn kept_grant() -> Grant {
    Grant {
        prev: Some(Offset(3)),
        primary: node(1, 1),
        backup: Some(node(2, 1)),
        history: History::Kept,
        ..first_grant()
    }
}

/// A valid grant after [`first_grant`] to a daemon that does not have the earlier claims.
fn lost_grant() -> Grant {
    Grant {
        prev: Some(Offset(3)),
        primary: node(5, 1),
        floor: Millis(1_000),
        ceiling: Millis(2_000),
        ..first_grant()
    }
}

/// Guards against rejecting a valid change of the slot's primary and backup.
#[test]
fn valid_grants_take_effect() {
    assert_eq!(epoch_after(kept_grant()), 5);
    assert_eq!(epoch_after(lost_grant()), 5);
}

/// Guards against accepting a grant whose `prev` another grant has already replaced.
#[test]
fn first_grant_after_an_epoch_is_accepted() {
    let mut state = ControlState::default();
    apply(&mut state, 3, first_grant());

    apply(&mut state, 4, kept_grant());
    apply(&mut state, 5, lost_grant());

    assert_eq!(
        state.slot(slot()).map(|ownership| ownership.epoch),
        Some(Offset(4))
    );
}

/// Guards against accepting a grant of a faulty proposer that could let a request key run twice.
#[test]
fn unsafe_grants_have_no_effect() {
    let non_member = Grant {
        primary: node(7, 1),
        ..kept_grant()
    };
    let restarted_member = Grant {
        primary: node(1, 2),
        ..kept_grant()
    };
    let lower_ceiling = Grant {
        ceiling: Millis(999),
        ..kept_grant()
    };
    let lower_floor = Grant {
        floor: Millis(99),
        ..kept_grant()
    };
    let floor_below_ceiling = Grant {
        floor: Millis(999),
        ..lost_grant()
    };
    let backup_is_primary = Grant {
        backup: Some(node(1, 1)),
        ..kept_grant()
    };
    let other_domain = Grant {
        domain: "d1".parse().expect("expected a valid name"),
        ..kept_grant()
    };

    for grant in [
        non_member,
        restarted_member,
        lower_ceiling,
        lower_floor,
        floor_below_ceiling,
        backup_is_primary,
        other_domain,
    ] {
        assert_eq!(epoch_after(grant.clone()), 3, "{grant:?}");
    }
}

/// Guards against keeping the `pair` of an ownership when a member changes, and against changing it
/// when the same members are granted the slot again.
#[test]
fn pair_is_kept_only_by_renewal() {
    let mut state = ControlState::default();
    apply(&mut state, 3, first_grant());
    let renewed = Grant {
        primary: node(0, 1),
        backup: Some(node(1, 1)),
        ceiling: Millis(2_000),
        ..kept_grant()
    };
    apply(&mut state, 5, renewed);
    let after_renewal = state
        .slot(slot())
        .cloned()
        .expect("expected the slot to be granted");
    let member_change = Grant {
        prev: Some(Offset(5)),
        ceiling: Millis(2_000),
        ..kept_grant()
    };

    apply(&mut state, 7, member_change);

    let after_member_change = state.slot(slot()).expect("expected the slot to be granted");
    assert_eq!(
        (after_renewal.pair, after_renewal.former),
        (Offset(3), None)
    );
    assert_eq!(after_member_change.pair, Offset(7));
    assert_eq!(after_member_change.former, Some(Offset(3)));
}

/// Guards against accepting a grant after a release whose floor is below the released ceiling: the
/// earlier pair may have run keys between the two.
#[test]
fn floor_after_release_is_at_least_released_ceiling() {
    let mut state = ControlState::default();
    apply(&mut state, 3, first_grant());
    let release = SlotRelease {
        slot: slot(),
        prev: Offset(3),
        ceiling: Millis(500),
    };
    let record = ControlRecord::Release {
        id: Uuid::nil(),
        slots: vec![release],
    };
    state.apply(&(), Offset(4), record, &mut Vec::new());
    let grant_with_floor = |floor: u64| Grant {
        prev: Some(Offset(4)),
        floor: Millis(floor),
        ..lost_grant()
    };

    apply(&mut state, 5, grant_with_floor(499));
    let rejected = state.slot(slot()).map(|ownership| ownership.epoch);
    apply(&mut state, 6, grant_with_floor(500));

    assert_eq!(rejected, Some(Offset(4)));
    assert_eq!(
        state.slot(slot()).map(|ownership| ownership.epoch),
        Some(Offset(6))
    );
}
