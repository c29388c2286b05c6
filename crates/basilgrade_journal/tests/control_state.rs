//! Which grants and releases take effect.

use basilgrade_journal::control_record::ControlRecord;
use basilgrade_journal::control_record::SlotRelease;
use basilgrade_journal::control_state::ControlState;
use basilgrade_journal::grant::Grant;
use basilgrade_journal::history::History;
use basilgrade_journal::node::Node;
use basilgrade_journal::stream_state::StreamState;
use basilgrade_types::clock::Millis;
use basilgrade_types::incarnation::Incarnation;
use basilgrade_types::offset::Offset;
use basilgrade_types::slot::Slot;
use uuid::Uuid;

fn node(number: u64, incarnation: u64) -> Node {
    Node {
        vm: format!("vm{number}").parse().expect("a name"),
        incarnation: Incarnation(incarnation),
    }
}

fn slot() -> Slot {
    Slot::new(9).expect("a slot")
}

fn first() -> Grant {
    Grant {
        slot: slot(),
        prev: None,
        domain: "d0".parse().expect("a name"),
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

/// The state after the first grant at offset 3, and the epoch after `grant` at offset 5.
fn epoch_after(grant: Grant) -> u64 {
    let mut state = ControlState::default();
    apply(&mut state, 3, first());
    apply(&mut state, 5, grant);
    state.slot(slot()).map_or(0, |held| held.epoch.0)
}

fn kept() -> Grant {
    Grant {
        prev: Some(Offset(3)),
        primary: node(1, 1),
        backup: Some(node(2, 1)),
        history: History::Kept,
        ..first()
    }
}

fn lost() -> Grant {
    Grant {
        prev: Some(Offset(3)),
        primary: node(5, 1),
        floor: Millis(1_000),
        ceiling: Millis(2_000),
        ..first()
    }
}

/// Guards against a valid change of the pair being refused.
#[test]
fn valid_grants_take_effect() {
    assert_eq!(epoch_after(kept()), 5);
    assert_eq!(epoch_after(lost()), 5);
}

/// Guards against a second record taking effect after another one replaced its `prev`.
#[test]
fn first_record_wins() {
    let mut state = ControlState::default();
    apply(&mut state, 3, first());

    apply(&mut state, 4, kept());
    apply(&mut state, 5, lost());

    assert_eq!(state.slot(slot()).map(|held| held.epoch), Some(Offset(4)));
}

/// Guards against grants that a faulty proposer makes and that could let a key run twice.
#[test]
fn unsafe_grants_have_no_effect() {
    let stranger = Grant {
        primary: node(7, 1),
        ..kept()
    };
    let restarted = Grant {
        primary: node(1, 2),
        ..kept()
    };
    let lowered = Grant {
        ceiling: Millis(999),
        ..kept()
    };
    let forgetful = Grant {
        floor: Millis(99),
        ..kept()
    };
    let early = Grant {
        floor: Millis(999),
        ..lost()
    };
    let alone = Grant {
        backup: Some(node(1, 1)),
        ..kept()
    };
    let moved = Grant {
        domain: "d1".parse().expect("a name"),
        ..kept()
    };

    for grant in [stranger, restarted, lowered, forgetful, early, alone, moved] {
        assert_eq!(epoch_after(grant.clone()), 3, "{grant:?}");
    }
}

/// Guards against a pair continuing across a change of member, or ending at a renewal.
#[test]
fn pair_outlasts_renewals_only() {
    let mut state = ControlState::default();
    apply(&mut state, 3, first());
    let renewed = Grant {
        primary: node(0, 1),
        backup: Some(node(1, 1)),
        ceiling: Millis(2_000),
        ..kept()
    };
    apply(&mut state, 5, renewed);
    let after_renewal = state.slot(slot()).cloned().expect("granted");
    let takeover = Grant {
        prev: Some(Offset(5)),
        ceiling: Millis(2_000),
        ..kept()
    };

    apply(&mut state, 7, takeover);

    let after_takeover = state.slot(slot()).expect("granted");
    assert_eq!(
        (after_renewal.pair, after_renewal.former),
        (Offset(3), None)
    );
    assert_eq!(after_takeover.pair, Offset(7));
    assert_eq!(after_takeover.former, Some(Offset(3)));
}

/// Guards against a grant after a release starting below the keys that the old pair may have run.
#[test]
fn released_slot_starts_at_the_released_ceiling() {
    let mut state = ControlState::default();
    apply(&mut state, 3, first());
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
    let at = |floor: u64| Grant {
        prev: Some(Offset(4)),
        floor: Millis(floor),
        ..lost()
    };

    apply(&mut state, 5, at(499));
    let refused = state.slot(slot()).map(|held| held.epoch);
    apply(&mut state, 6, at(500));

    assert_eq!(refused, Some(Offset(4)));
    assert_eq!(state.slot(slot()).map(|held| held.epoch), Some(Offset(6)));
}
