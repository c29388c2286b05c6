//! Parsing and printing of request keys, slots, times, ids and verdicts.

use std::fmt;
use std::str;

use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::key;
use basilgrade_types::slot;
use basilgrade_types::verdict;
use proptest::prelude::*;

fn parses_back<T>(value: &T) -> bool
where
    T: fmt::Display + PartialEq + str::FromStr,
{
    value
        .to_string()
        .parse()
        .is_ok_and(|parsed: T| parsed == *value)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: prop::test_runner::RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a printed value that parses as another value: a request whose key moves to
    /// another slot could run twice.
    #[test]
    fn printed_values_parse_back(number in 0_u8..slot::SLOT_COUNT, millis in 0_u64..1 << 48, random in any::<u128>()) {
        let slot = slot::Slot::new(number).expect("the number is below `SLOT_COUNT`");
        let key = key::RequestKey::mint(slot, clock::Millis(millis), random);
        prop_assert!(parses_back(&slot));
        prop_assert!(parses_back(&key));
        prop_assert!(parses_back(&clock::Millis(millis)));
        prop_assert_eq!(key.created(), clock::Millis(millis));
        prop_assert_eq!(key.slot(), slot);
    }

    /// Guards against names of services that share an id, or whose id is read back as another one.
    #[test]
    fn names_of_any_text_are_told_apart_by_their_ids(name in "[^\0]{1,80}", other in "[a%20-]{1,5}") {
        let encode = |text: &str| id::PoolId::encode(text).expect("the name is valid");
        let ids = [encode(&name), encode(&other), encode(encode(&name).as_str())];
        for id in &ids {
            prop_assert_eq!(id::PoolId::decode(id.as_str()), Ok(id.clone()));
            let is_word = |c: char| c.is_alphanumeric() || "-_.%".contains(c);
            prop_assert!(id.as_str().chars().all(is_word));
        }
        prop_assert_eq!(name == other, ids[0] == ids[1]);
        prop_assert_eq!(encode(&name).as_str() == name, ids[0] == ids[2]);
        let long = "%".repeat(id::POOL_NAME_LIMIT);
        prop_assert!(id::PoolId::encode(&long).is_ok());
        for invalid in ["", "a\0b", &format!("{long}%")] {
            prop_assert!(id::PoolId::encode(invalid).is_err());
        }
    }

    /// Guards against panics and error messages of unbounded length when arbitrary text is parsed.
    #[test]
    fn parsing_arbitrary_text_gives_short_errors(text in "\\PC{0,120}") {
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

/// Guards against a slot number above 63 in a malformed record or message that is accepted.
#[test]
fn slot_number_above_maximum_is_rejected() {
    for number in [slot::SLOT_COUNT, u8::MAX] {
        let error = slot::Slot::try_from(number).expect_err("the number is not below `SLOT_COUNT`");
        assert!(error.to_string().contains("0 to 63"));
    }
}
