//! Settings of the edge role.

use basilgrade_edge::settings;
use basilgrade_types::clock;

const TEXT: &str = "[vm]\nname = edge-a-1\ndomain = a\n[regions]\na = north\nb = south\n\
    [listen]\ncallers = 10.0.0.1:80\nreadiness = 10.0.0.1:81\npeers = 10.0.0.1:82\nmetrics = 9100\n\
    [peers]\nseeds = 10.0.0.1:82,10.0.0.2:82\n[platform]\naddress = 10.9.0.1:90\n\
    [shutdown]\ngrace = 8.5s\n[retries]\nratio = 0.2\nfloor = 58\nwindow = 10s\n";

/// Guards against values that end up under another key or unit.
#[test]
fn settings_are_read() {
    let settings = settings::parse(TEXT).expect("they are valid");

    assert_eq!(settings.name.as_str(), "edge-a-1");
    assert_eq!(settings.regions.len(), 2);
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(
        settings
            .metrics
            .map(|address| address.to_string())
            .as_deref(),
        Some("10.0.0.1:9100")
    );
    assert_eq!(settings.grace, clock::Millis(8500));
    assert_eq!(settings.retries.window, clock::Millis(10_000));
    assert_eq!(settings.level, log::LevelFilter::Info);
}

/// Guards against a daemon whose log cannot be made more or less detailed.
#[test]
fn the_log_level_is_read() {
    let settings = settings::parse(&format!("{TEXT}[log]\nlevel = debug\n"));

    assert_eq!(
        settings.expect("they are valid").level,
        log::LevelFilter::Debug
    );
    let error = settings::parse(&format!("{TEXT}[log]\nlevel = loud\n"));
    let error = error.expect_err("`loud` is no level").to_string();
    assert!(error.contains("`loud` does not fit `level`"), "{error}");
}

/// Guards against a deployment with one VM whose template leaves values empty.
#[test]
fn optional_values_may_be_empty() {
    let text = TEXT
        .replace("metrics = 9100", "metrics =")
        .replace("10.0.0.1:82,10.0.0.2:82", "");

    let settings = settings::parse(&text).expect("they are valid");

    assert!(settings.seeds.is_empty() && settings.metrics.is_none());
}

/// Guards against a daemon that starts with values it has guessed.
#[test]
fn errors_name_section_and_key() {
    let cases = [
        (
            "name = edge-a-1\n",
            "",
            "`name` is missing in section `[vm]`",
        ),
        (
            "callers = 10.0.0.1:80",
            "callers = here",
            "`here` does not fit `callers`",
        ),
        ("grace = 8.5s", "grace = 8", "`8` does not fit `grace`"),
        ("grace = 8.5s", "grace = -1s", "`-1s` does not fit `grace`"),
        ("10.0.0.2:82", "10.0.0.2", "`10.0.0.2` does not fit `seeds`"),
        ("b = south", "b = so uth", "`so uth` does not fit `b`"),
        ("[vm]", "[other]", "`name` is missing in section `[vm]`"),
        ("[vm]\nname", "name", "`name` is missing in section `[vm]`"),
    ];
    for (from, to, expected) in cases {
        let error = settings::parse(&TEXT.replace(from, to)).expect_err(expected);
        assert!(error.to_string().contains(expected), "{error}");
    }
}
