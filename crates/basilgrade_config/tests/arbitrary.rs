//! Property tests with random and corrupted texts: no panics, usable errors, bounded results.

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

/// Generates random lines, many of which are almost valid.
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

/// Generates random texts: joined lines of [`line`], or any Unicode text.
fn text() -> impl Strategy<Value = String> {
    prop_oneof![
        proptest::collection::vec(line(), 0..30).prop_map(|lines| lines.join("\n")),
        any::<String>(),
    ]
}

/// Replaces `length` characters of `text`, starting at a random position, by `part`.
fn corrupt(text: &str, at: prop::sample::Index, length: usize, part: &str) -> String {
    let chars: Vec<char> = text.chars().collect();
    let start = at.index(chars.len());
    let end = (start + length).min(chars.len());
    let head: String = chars[..start].iter().collect();
    let tail: String = chars[end..].iter().collect();
    format!("{head}{part}{tail}")
}

/// Asserts that a report has line numbers within the text, no empty messages and a bounded size.
fn check_report(text: &str, problems: &problem::Problems) {
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

    /// Guards against panics and unusable reports on random texts.
    #[test]
    fn parse_never_panics(text in text()) {
        if let Err(problems) = parse(&text, "any.ini") {
            check_report(&text, &problems);
        }
    }

    /// Guards against corrupted configurations that are accepted, but change when they are printed
    /// and parsed again.
    #[test]
    fn corrupted_configurations_are_rejected_or_round_trip(
        at: prop::sample::Index, length in 0..12_usize, part in line(),
    ) {
        let text = corrupt(&common::deployment(), at, length, &part);
        match parse(&text, "any.ini") {
            Ok(deployment) => {
                let again = parse(&print(&deployment), "printed.ini");
                prop_assert_eq!(again.ok(), Some(deployment));
            }
            Err(problems) => check_report(&text, &problems),
        }
    }

    /// Guards against panics and unusable reports on corrupted settings.
    #[test]
    fn parsing_corrupted_settings_never_panics(
        at: prop::sample::Index, length in 0..12_usize, part in line(), text in text(),
    ) {
        let corrupted = corrupt(&common::settings(), at, length, &part);
        for text in [corrupted, text] {
            if let Err(problems) = settings::parse(&text, "any.ini") {
                check_report(&text, &problems);
            }
        }
    }

    /// Guards against deltas that do not reproduce the new text, for random pairs of texts.
    #[test]
    fn merge_reproduces_the_new_text(base in text(), new in text()) {
        let merged = merge(&base, &delta(&base, &new));
        prop_assert_eq!(merged, Ok(new));
    }

    /// Guards against panics on corrupted deltas and against undetected corruption.
    #[test]
    fn merge_detects_corrupted_deltas(
        at: prop::sample::Index, length in 0..12_usize, part in line(), text in text(),
    ) {
        let base = common::deployment();
        let new = base.replace("burst = 80", "burst = 81");
        let good = delta(&base, &new);
        for bad in [corrupt(&good, at, length, &part), text] {
            if let Ok(merged) = merge(&base, &bad) {
                prop_assert_eq!(&merged, &new);
            }
        }
    }
}
