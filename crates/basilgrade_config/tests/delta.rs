//! Deltas between configuration texts.

use basilgrade_config::delta;
use basilgrade_config::delta::error::DeltaError;
use basilgrade_config::limits;
use basilgrade_config::merge;
use basilgrade_config::parse;
use basilgrade_config::print;

mod common;

/// A canonical text with 4,200 more customers.
fn large() -> String {
    let customers = (0..4200).map(|number| {
        let burst = 1 + number % 97;
        format!("[customer organiser-{number}]\nrate = 4/s\nburst = {burst}\ntargets = seating\n")
    });
    let text = common::deployment() + &customers.collect::<Vec<_>>().concat();
    print(&parse(&text, "large.ini").expect("the text is valid"))
}

/// Guards against deltas that grow with the number of customers: 620 changes a day are sent to
/// every daemon.
#[test]
fn one_change_among_4200_customers_is_small() {
    let base = large();
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

/// Guards against a delta applied to another revision than its own.
#[test]
fn another_base_is_an_error() {
    let base = common::deployment();
    let found = delta(&base, &base.replace("burst = 80", "burst = 81"));

    let error = merge(&base.replace("burst = 80", "burst = 82"), &found);

    assert!(matches!(error, Err(DeltaError::WrongBase(..))), "{error:?}");
}

/// Guards against a damaged delta whose result is taken as a configuration.
#[test]
fn damaged_deltas_are_errors() {
    let base = common::deployment();
    let good = delta(&base, &base.replace("burst = 80", "burst = 81"));
    let damaged = [
        good.replace("burst = 81", "burst = 91"),
        good.replace("keep", "kept"),
        good.replace("keep ", "keep 9"),
        good.replace("add ", "add 99"),
        good.replace("basilgrade-delta 1", "basilgrade-delta 2"),
        String::new(),
    ];

    for text in damaged {
        let error = merge(&base, &text);

        assert!(error.is_err(), "{text}");
    }
}

/// Guards against a first publication, reordering, removal or a missing last newline that does not
/// give the new text byte for byte.
#[test]
fn any_two_texts_have_a_delta() {
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

/// Guards against a result that exceeds the bound on texts.
#[test]
fn results_are_bounded() {
    let new = "#\n".repeat(limits::TEXT / 2 + 1);

    let error = merge("", &delta("", &new));

    assert_eq!(error, Err(DeltaError::TooLong));
}
