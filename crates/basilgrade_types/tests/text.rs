//! Text forms of ids, sizes, rates and keys.

use std::fmt;
use std::str;

use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::key;
use basilgrade_types::slot;
use basilgrade_types::verdict;
use proptest::prelude::*;

fn returns<T>(value: &T) -> bool
where
    T: fmt::Display + PartialEq + str::FromStr,
{
    value
        .to_string()
        .parse()
        .is_ok_and(|read: T| read == *value)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: prop::test_runner::RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against text that is read back as another value: a key that moves to another slot
    /// could run twice.
    #[test]
    fn text_is_read_back(number in 0_u8..slot::SLOT_COUNT, millis in 0_u64..1 << 48, random in any::<u128>()) {
        let slot = slot::Slot::new(number).expect("it exists");
        let key = key::RequestKey::mint(slot, clock::Millis(millis), random);
        prop_assert!(returns(&slot));
        prop_assert!(returns(&key));
        prop_assert!(returns(&clock::Millis(millis)));
        prop_assert_eq!(key.created(), clock::Millis(millis));
        prop_assert_eq!(key.slot(), slot);
    }

    /// Guards against panics and long errors on any text.
    #[test]
    fn any_text_is_read_or_refused(text in "\\PC{0,120}") {
        let errors = [
            text.parse::<key::RequestKey>().err(),
            text.parse::<slot::Slot>().err(),
            text.parse::<clock::Millis>().err(),
            text.parse::<id::CustomerId>().err(),
            text.parse::<verdict::Verdict>().err(),
        ];
        for error in errors.into_iter().flatten() {
            prop_assert!(error.to_string().chars().count() < 200);
        }
    }
}

/// Guards against slots that do not exist, from records and messages.
#[test]
fn a_slot_above_the_last_is_refused() {
    for number in [slot::SLOT_COUNT, u8::MAX] {
        let refused = slot::Slot::try_from(number).expect_err("it does not exist");
        assert!(refused.to_string().contains("0 to 63"));
    }
}
