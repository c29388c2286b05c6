//! Tests of parsing the settings of a daemon.

use basilgrade_config::settings;
use basilgrade_types::clock;

mod common;

/// Guards against defaults that differ from the documented ones.
#[test]
fn missing_keys_have_the_documented_defaults() {
    let text = common::settings();

    let found = settings::parse(&text, "vm-1.ini").expect("expected valid settings");

    assert_eq!(found.drain.linger, clock::Millis::from_secs(5));
    assert_eq!(found.claims.autonomy, clock::Millis::from_secs(900));
    assert_eq!(found.claims.horizon, clock::Millis::from_secs(1800));
    assert_eq!(
        found.limits,
        settings::request_limits::RequestLimits::default()
    );
    assert_eq!(found.log.level, settings::log::level::Level::Info);
    assert!(found.peers.seeds.is_empty());
}

/// Guards against a secret that is written to a log as part of an error or of `Debug` output.
#[test]
fn errors_and_debug_output_omit_the_secret() {
    let text = common::settings();
    let short = text.replace("0123456789abcdef", "hunter2");

    let found = settings::parse(&text, "vm-1.ini").expect("expected valid settings");
    let error =
        settings::parse(&short, "vm-1.ini").expect_err("expected the secret to be too short");

    assert!(!format!("{found:?}").contains("0123456789abcdef"));
    assert!(!error.to_string().contains("hunter2"));
    assert!(error.to_string().contains("at least 16 bytes"));
}

/// Guards against rules that are no longer checked; each row violates one rule.
#[test]
fn each_violated_rule_is_reported() {
    let rules = [
        (
            "vm = vm-1\n",
            "",
            "vm-1.ini:1: [process] `vm`: the key is missing",
        ),
        ("[platform]", "[platfrom]", "the nearest being `platform`"),
        ("secret", "sercet", "the nearest being `secret`"),
        (
            "127.0.0.1:8081",
            "127.0.0.1:8080",
            "`peer-address`: the address is also `caller-address`",
        ),
        (
            "127.0.0.1:8081",
            "peer:8081",
            "expected an IP address and a port",
        ),
        (
            "[peers]",
            "[claims]\nhorizon = 10m\n[peers]",
            "`600000ms` is below `autonomy`; expected at least 900000ms",
        ),
        (
            "[peers]",
            "[limits]\nbody-bytes = 9\n[peers]",
            "expected a size with unit",
        ),
        (
            "[peers]",
            "[limits]\nheader-bytes = 1KiB\n[peers]",
            "expected a value from 8192B",
        ),
        (
            "[peers]",
            "[log]\nlevel = loud\n[peers]",
            "expected `off`, `error`",
        ),
        (
            "[peers]",
            "[peers]\nseeds = 127.0.0.1:1, x",
            "`seeds`: `127.0.0.1:1, x` is not valid",
        ),
    ];
    for (from, to, message) in rules {
        let text = common::settings().replacen(from, to, 1);

        let error =
            settings::parse(&text, "vm-1.ini").expect_err("expected errors in the settings");

        assert!(error.to_string().contains(message), "{to}: {error}");
    }
}

/// Guards against optional settings whose values are ignored.
#[test]
fn parses_optional_settings() {
    let text = common::settings()
        + "seeds = 127.0.0.1:1, 127.0.0.1:2\n[drain]\nlinger = 0ms\n[log]\nlevel = debug\n\
           [limits]\nslow-sender = 3s\n[claims]\nautonomy = 1m\n";

    let found = settings::parse(&text, "vm-1.ini").expect("expected valid settings");

    assert_eq!(found.peers.seeds.len(), 2);
    assert_eq!(found.drain.linger, clock::Millis::ZERO);
    assert_eq!(found.log.level, settings::log::level::Level::Debug);
    assert_eq!(found.limits.slow_sender, clock::Millis::from_secs(3));
    assert_eq!(found.claims.autonomy, clock::Millis::from_secs(60));
}
