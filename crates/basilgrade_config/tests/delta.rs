//! Deltas between configuration texts.

use basilgrade_config::delta;
use basilgrade_config::delta::error::DeltaError;
use basilgrade_config::limits;
use basilgrade_config::merge;
use basilgrade_config::parse;
use basilgrade_config::print;

mod common;

/// Returns a canonical configuration text with 4,200 customers in addition to the fixture's.
fn large_configuration() -> String {
    let customers = (0..4200).map(|number| {
        let burst = 1 + number % 97;
        format!("[customer organiser-{number}]\nrate = 4/s\nburst = {burst}\ntargets = seating\n")
    });
    let text = common::deployment() + &customers.collect::<Vec<_>>().concat();
    print(&parse(&text, "large.ini").expect("expected a valid configuration"))
}

/// Guards against deltas whose size grows with the number of customers: 620 changes a day are sent
/// to every daemon.
#[test]
fn delta_of_one_change_among_4200_customers_is_small() {
    let base = large_configuration();
    let new = base.replace(
        "[customer organiser-2100]\nrate = 4/s",
        "[customer organiser-2100]\nrate = 5/s",
    );

    let found = delta(&base, &new);

    assert!(base != new);
    assert!(found.len() < 400, "{found}");
    assert_eq!(found, delta(&base, &new));
    assert_eq!(merge(&base, &found).as_deref(), Ok(new.as_str()));
}

/// Guards against a delta that is applied to another revision than the one it was computed for.
#[test]
fn merge_rejects_a_different_base_text() {
    let base = common::deployment();
    let found = delta(&base, &base.replace("burst = 80", "burst = 81"));

    let error = merge(&base.replace("burst = 80", "burst = 82"), &found);

    assert!(matches!(error, Err(DeltaError::WrongBase(..))), "{error:?}");
}

/// Guards against a corrupted delta whose result is accepted as a configuration.
#[test]
fn merge_rejects_corrupted_deltas() {
    let base = common::deployment();
    let good = delta(&base, &base.replace("burst = 80", "burst = 81"));
    let corrupted = [
        good.replace("burst = 81", "burst = 91"),
        good.replace("keep", "kept"),
        good.replace("keep ", "keep 9"),
        good.replace("add ", "add 99"),
        good.replace("basilgrade-delta 1", "basilgrade-delta 2"),
        String::new(),
    ];

    for text in corrupted {
        let error = merge(&base, &text);

        assert!(error.is_err(), "{text}");
    }
}

/// Guards against deltas that do not reproduce the new text byte for byte, for example after a
/// first publication, reordered or removed sections, or a missing newline at the end.
#[test]
fn merge_reproduces_the_new_text_byte_for_byte() {
    let texts = [
        "",
        "\n",
        "[a]\n",
        "[b]\nx = 1\n[a]\n",
        "# note\n[a]\n[a]\n[b]",
        "[a]\r\n[c]\n ą",
    ];

    for base in texts {
        for new in texts {
            assert_eq!(merge(base, &delta(base, new)).as_deref(), Ok(new));
        }
    }
}

/// Guards against a merged text that exceeds the maximum size of a configuration text.
#[test]
fn merge_rejects_oversized_results() {
    let new = "#\n".repeat(limits::TEXT_BYTES / 2 + 1);

    let error = merge("", &delta("", &new));

    assert_eq!(error, Err(DeltaError::TooLong));
}
