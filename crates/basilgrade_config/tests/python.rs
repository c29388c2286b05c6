//! Tests of the Python library in clients/python against the parser; they require `python3`.

use std::fs;
use std::path;
use std::process;

use basilgrade_config::model::pool;
use basilgrade_config::model::stage;
use basilgrade_config::parse;
use basilgrade_config::print;

/// Returns the root directory of the repository.
fn root() -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Runs `python3` in clients/python.
fn python(arguments: &[&str]) -> process::Output {
    process::Command::new("python3")
        .arg("-B")
        .args(arguments)
        .current_dir(root().join("clients/python"))
        .output()
        .expect("`python3` is required for this test; install Python 3.9 or later")
}

/// Runs the example program `name` and returns the configuration that it prints.
fn example(name: &str) -> String {
    let output = python(&[&format!("examples/{name}.py")]);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{errors}");
    String::from_utf8(output.stdout).expect("expected the output to be UTF-8")
}

/// Guards against keys, units or an order of the library that differ from the canonical text.
#[test]
fn examples_round_trip() {
    for name in ["birrete", "adwenkor"] {
        let text = example(name);

        let deployment = parse(&text, name).unwrap_or_else(|problems| panic!("{problems}"));

        assert_eq!(print(&deployment), text, "{name}");
    }
}

/// Guards against values that the library omits or prints in the wrong section.
#[test]
fn printed_example_contains_the_values_of_the_program() {
    let text = example("adwenkor");

    let deployment = parse(&text, "adwenkor.ini").unwrap_or_else(|problems| panic!("{problems}"));

    let engines = deployment
        .upstreams
        .values()
        .filter(|upstream| deployment.pools[&upstream.pool].kind == pool::Kind::Engine);
    assert_eq!(engines.count(), 18);
    let stages = &deployment.pipelines["loudness-note"].stages;
    let substitute = stage::Degrade::Substitute {
        pool: "commentator".parse().expect("expected a valid name"),
        model: Some("commentator-8b".parse().expect("expected a valid name")),
    };
    assert_eq!(stages[1].degrade, substitute);
    assert_eq!(stages[1].tokens.0, 120);
    assert!((deployment.customers["northern-choir"].rate.0 - 1.5).abs() < f64::EPSILON);
    assert!((deployment.weights.cost - 4.0).abs() < f64::EPSILON);
}

/// Guards against examples in docs/examples that differ from the output of their programs.
#[test]
fn committed_examples_match_the_programs() {
    for name in ["birrete", "adwenkor"] {
        let file = root().join(format!("docs/examples/{name}.ini"));

        let committed =
            fs::read_to_string(&file).expect("expected the example to exist in `docs/examples`");

        assert_eq!(committed, example(name), "{}", file.display());
    }
}

/// Guards against a value with a line break, of which the second line would be parsed as a
/// separate key.
#[test]
fn library_rejects_values_with_line_breaks() {
    let program = "from basilgrade_config import *\n\
        pool = 'assistant\\ncapacity = 9'\n\
        print(Deployment('x', upstreams=[Upstream('u', pool, 'd', '10.0.0.1:1', 1)]))";

    let output = python(&["-c", program]);

    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success());
    assert!(errors.contains("expected printable text"), "{errors}");
}
