//! Arbitrary and damaged texts: no panic, a clear error, bounded results.

use basilgrade_config::delta;
use basilgrade_config::limits;
use basilgrade_config::merge;
use basilgrade_config::parse;
use basilgrade_config::print;
use basilgrade_config::problem;
use basilgrade_config::settings;
use proptest::prelude::*;
use proptest::test_runner;

mod common;

const SEED: u64 = 20_261_204;

fn config() -> test_runner::Config {
    test_runner::Config {
        cases: 512,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(SEED),
        ..test_runner::Config::default()
    }
}

/// Lines that are often nearly right.
fn line() -> impl Strategy<Value = String> {
    let word = prop_oneof![
        "[a-z]{1,8}",
        Just("pool".to_owned()),
        Just("region".to_owned()),
        Just("stages".to_owned()),
        Just("cordoba".to_owned()),
        Just("\u{85}\u{2028}".to_owned()),
    ];
    prop_oneof![
        ".{0,40}",
        (word.clone(), ".{0,20}").prop_map(|(key, value)| format!("{key} = {value}")),
        (word.clone(), word.clone(), word).prop_map(|(a, b, c)| format!("[{a} {b} {c}]")),
        Just("basilgrade-delta 1".to_owned()),
        (any::<u64>()).prop_map(|count| format!("keep {count}\nadd {count}")),
    ]
}

fn text() -> impl Strategy<Value = String> {
    prop_oneof![
        proptest::collection::vec(line(), 0..30).prop_map(|lines| lines.join("\n")),
        any::<String>(),
    ]
}

/// A valid text with one part replaced.
fn damage(text: &str, at: prop::sample::Index, length: usize, part: &str) -> String {
    let chars: Vec<char> = text.chars().collect();
    let start = at.index(chars.len());
    let end = (start + length).min(chars.len());
    let head: String = chars[..start].iter().collect();
    let tail: String = chars[end..].iter().collect();
    format!("{head}{part}{tail}")
}

/// A report that an operator can use: positions within the text and bounded size.
fn check(text: &str, problems: &problem::Problems) {
    assert!(!problems.items.is_empty());
    assert!(problems.items.len() <= limits::PROBLEMS);
    for problem in &problems.items {
        assert!(problem.line >= 1 && problem.line <= text.lines().count().max(1));
        assert!(!problem.found.is_empty() && !problem.expected.is_empty());
        assert!(problem.to_string().len() < 2000, "{problem}");
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against panics and unusable reports on any text.
    #[test]
    fn parse_never_panics(text in text()) {
        if let Err(problems) = parse(&text, "any.ini") {
            check(&text, &problems);
        }
    }

    /// Guards against damage that is accepted with a model that cannot be printed and read again.
    #[test]
    fn damaged_configurations_are_reported_or_round_trip(
        at: prop::sample::Index, length in 0..12_usize, part in line(),
    ) {
        let text = damage(&common::deployment(), at, length, &part);
        match parse(&text, "any.ini") {
            Ok(deployment) => {
                let again = parse(&print(&deployment), "printed.ini");
                prop_assert_eq!(again.ok(), Some(deployment));
            }
            Err(problems) => check(&text, &problems),
        }
    }

    /// Guards against panics and unusable reports on damaged settings.
    #[test]
    fn damaged_settings_are_reported(
        at: prop::sample::Index, length in 0..12_usize, part in line(), text in text(),
    ) {
        let damaged = damage(&common::settings(), at, length, &part);
        for text in [damaged, text] {
            if let Err(problems) = settings::parse(&text, "any.ini") {
                check(&text, &problems);
            }
        }
    }

    /// Guards against deltas that do not give the new text, for any pair of texts.
    #[test]
    fn merge_gives_the_new_text(base in text(), new in text()) {
        let merged = merge(&base, &delta(&base, &new));
        prop_assert_eq!(merged, Ok(new));
    }

    /// Guards against panics on damaged deltas, and against damage that goes unnoticed.
    #[test]
    fn merge_notices_damage(
        at: prop::sample::Index, length in 0..12_usize, part in line(), text in text(),
    ) {
        let base = common::deployment();
        let new = base.replace("burst = 80", "burst = 81");
        let good = delta(&base, &new);
        for bad in [damage(&good, at, length, &part), text] {
            if let Ok(merged) = merge(&base, &bad) {
                prop_assert_eq!(&merged, &new);
            }
        }
    }
}
