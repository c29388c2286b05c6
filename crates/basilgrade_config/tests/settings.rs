//! Reading the settings of a process.

use basilgrade_config::settings;
use basilgrade_types::clock;

mod common;

/// Guards against a change of the documented defaults.
#[test]
fn fills_in_defaults() {
    let text = common::settings();

    let found = settings::parse(&text, "vm-1.ini").expect("the text is valid");

    assert_eq!(found.drain.linger, clock::Millis::from_secs(5));
    assert_eq!(found.claims.autonomy, clock::Millis::from_secs(900));
    assert_eq!(found.claims.horizon, clock::Millis::from_secs(1800));
    assert_eq!(found.limits, settings::requests::Requests::default());
    assert_eq!(found.log.level, settings::log::level::Level::Info);
    assert!(found.peers.seeds.is_empty());
}

/// Guards against a secret that reaches a log through an error or a debug print.
#[test]
fn never_prints_the_secret() {
    let text = common::settings();
    let short = text.replace("0123456789abcdef", "hunter2");

    let found = settings::parse(&text, "vm-1.ini").expect("the text is valid");
    let error = settings::parse(&short, "vm-1.ini").expect_err("the secret is too short");

    assert!(!format!("{found:?}").contains("0123456789abcdef"));
    assert!(!error.to_string().contains("hunter2"));
    assert!(error.to_string().contains("at least 16 bytes"));
}
