//! The examples in docs/configuration.md.

use std::fs;

use basilgrade_config::parse;
use basilgrade_config::settings;

mod common;

/// The first block of a language in the page.
fn block(language: &str) -> String {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/configuration.md");
    let page = fs::read_to_string(file).expect("the page is committed");
    let start = format!("```{language}\n");
    let (_, rest) = page.split_once(&start).expect("the page has the block");
    let (block, _) = rest.split_once("```").expect("the block ends");
    block.to_owned()
}

/// Guards against a documented settings file that a daemon refuses.
#[test]
fn settings_example_is_valid() {
    let text = block("ini");

    let found = settings::parse(&text, "docs/configuration.md");

    assert!(found.is_ok(), "{found:?}");
}

/// Guards against documented error messages that differ from the real ones.
#[test]
fn error_examples_are_real() {
    let text = common::deployment()
        .replace("kind = engine", "kind = engin")
        .replace("capacity = 32", "capacty = 32")
        .replace("pool = assistant\nmodel", "pool = asistant\nmodel");

    let report = parse(&text, "birrete.ini")
        .expect_err("the text is faulty")
        .to_string();

    for line in block("text").lines() {
        assert!(
            report.lines().any(|found| found == line),
            "{line}\n{report}"
        );
    }
}
