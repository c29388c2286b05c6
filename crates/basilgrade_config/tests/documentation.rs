//! Checks the examples in docs/configuration.md.

use std::fs;

use basilgrade_config::parse;
use basilgrade_config::settings;

mod common;

/// Returns the first code block in docs/configuration.md that is marked with `language`.
fn code_block(language: &str) -> String {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/configuration.md");
    let page = fs::read_to_string(file).expect("expected `docs/configuration.md` to exist");
    let start = format!("```{language}\n");
    let (_, rest) = page
        .split_once(&start)
        .expect("expected the page to have a code block in this language");
    let (block, _) = rest
        .split_once("```")
        .expect("expected the code block to be closed");
    block.to_owned()
}

/// Guards against a documented settings file that a daemon rejects.
#[test]
fn settings_example_is_valid() {
    let text = code_block("ini");

    let found = settings::parse(&text, "docs/configuration.md");

    assert!(found.is_ok(), "{found:?}");
}

/// Guards against documented error messages that differ from those of the parser.
#[test]
fn documented_errors_match_the_parser() {
    let text = common::deployment()
        .replace("kind = engine", "kind = engin")
        .replace("capacity = 32", "capacty = 32")
        .replace("pool = assistant\nmodel", "pool = asistant\nmodel");

    let report = parse(&text, "birrete.ini")
        .expect_err("expected errors in the configuration")
        .to_string();

    for line in code_block("text").lines() {
        assert!(
            report.lines().any(|found| found == line),
            "{line}\n{report}"
        );
    }
}
