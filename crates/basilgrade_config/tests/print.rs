//! Tests of printing and comparing configurations.

use basilgrade_config::diff;
use basilgrade_config::parse;
use basilgrade_config::print;

mod common;

/// Guards against values that are lost or changed when a configuration is printed.
#[test]
fn printed_configurations_round_trip() {
    for text in [common::deployment(), common::placed()] {
        let deployment = parse(&text, "birrete.ini").expect("expected a valid configuration");

        let text = print(&deployment);

        let again =
            parse(&text, "printed.ini").expect("expected the printed configuration to be valid");
        assert_eq!(again, deployment);
        assert_eq!(print(&again), text);
    }
}

/// Guards against a canonical text that depends on the order of sections in the operator's file.
#[test]
fn canonical_text_is_independent_of_section_order() {
    let text = common::deployment();
    let (first, second) = text.split_at(
        text.find("[pool assistant]")
            .expect("expected the fixture to contain `[pool assistant]`"),
    );
    let reordered =
        format!("{second}\n{first}").replace("link cordoba rosario", "link rosario cordoba");

    let one = parse(&text, "birrete.ini").expect("expected a valid configuration");
    let other = parse(&reordered, "birrete.ini").expect("expected a valid configuration");

    assert_eq!(one, other);
    assert_eq!(print(&one), print(&other));
}

/// Guards against a diff that contains unchanged sections or omits changed ones.
#[test]
fn diff_contains_only_changed_sections() {
    let old = parse(&common::deployment(), "old.ini").expect("expected a valid configuration");
    let text = common::deployment().replace("rate = 40/s", "rate = 50/s")
        + "[customer teatro]\nrate = 1/s\nburst = 2\n";
    let new = parse(&text, "new.ini").expect("expected a valid configuration");

    let found = diff(&old, &new);

    assert!(diff(&old, &old).is_empty());
    assert_eq!(
        found.to_string(),
        "  [customer graduacion-sur]\n- rate = 40/s\n+ rate = 50/s\n\
         + [customer teatro]\n+ rate = 1/s\n+ burst = 2\n"
    );
}
