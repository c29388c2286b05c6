//! Tests of parsing and validating configurations.

use basilgrade_config::Problem;
use basilgrade_config::limits;
use basilgrade_config::model::pool;
use basilgrade_config::model::stage;
use basilgrade_config::parse;
use basilgrade_types::clock;
use basilgrade_types::price;
use basilgrade_types::size;

mod common;

/// Parses an invalid configuration and returns the problems in it.
fn problems(text: &str) -> Vec<Problem> {
    parse(text, "birrete.ini")
        .expect_err("expected errors in the configuration")
        .items
}

/// Guards against values that are stored in the wrong field or with the wrong unit.
#[test]
fn parses_every_kind_of_section() {
    let text = common::deployment();

    let deployment = parse(&text, "birrete.ini").expect("expected a valid configuration");

    let pool = &deployment.pools["assistant"];
    assert_eq!(pool.kind, pool::Kind::Engine);
    assert_eq!(pool.fencing, pool::Fencing::Checked);
    let pipeline = &deployment.pipelines["seating"];
    assert_eq!(pipeline.deadline, clock::Millis(10_000));
    let degrade = stage::Degrade::Shorten(size::TokenCount(80));
    assert_eq!(pipeline.stages[0].degrade, degrade);
    assert_eq!(deployment.links[0].latency, clock::Millis(9));
    assert_eq!(deployment.upstreams["assistant-1"].capacity, 32);
    let service = &deployment.services["ticket-sales"];
    assert_eq!(service.idempotency, stage::Idempotency::NonIdempotent);
    let customer = &deployment.customers["graduacion-sur"];
    assert_eq!(customer.targets, ["seating", "ticket-sales"]);
}

/// Guards against weights that are attributed to another model whose name is also a prefix of
/// theirs.
#[test]
fn weights_match_the_model_with_the_longest_name() {
    let deployment =
        parse(&common::placed(), "birrete.ini").expect("expected a valid configuration");
    let owner = |weights: &str| {
        let weights = weights.parse().expect("expected a valid name");
        let model = deployment.model_for_weights(&weights);
        model.map(|model| model.id.as_str())
    };

    assert_eq!(owner("asistente-8b.v1"), Some("asistente-8b"));
    assert_eq!(owner("asistente-8b.mini.v1"), Some("asistente-8b.mini"));
    assert_eq!(owner("asistente-8bit"), None);
    let model = &deployment.models["asistente-8b"];
    assert_eq!(model.weights.as_str(), "asistente-8b.v2");
    assert_eq!((model.least, deployment.pools["assistant"].slots), (1, 2));
}

/// Guards against reports that stop at the first problem or give a wrong line, section or key.
#[test]
fn reports_all_problems_with_positions() {
    let text = common::deployment()
        .replace("kind = engine", "kind = engin")
        .replace("capacity = 32", "capacty = 32")
        .replace("pool = assistant\nmodel", "pool = asistant\nmodel");

    let found = problems(&text);

    let positions: Vec<(usize, &str, &str)> = found
        .iter()
        .map(|problem| (problem.line, problem.section.as_str(), problem.key.as_str()))
        .collect();
    assert_eq!(
        positions,
        [
            (14, "pool assistant", "kind"),
            (21, "upstream assistant-1", "capacity"),
            (25, "upstream assistant-1", "capacty"),
            (36, "stage seating answer", "pool"),
        ]
    );
    assert!(found[2].expected.contains("`capacity`"));
    assert!(found[3].expected.contains("`assistant`"));
}

/// Replaces `from` by `to` in the fixture and returns the report, with one problem per line.
fn report_after_replacing(from: &str, to: &str) -> String {
    let before = common::deployment();
    let text = before.replacen(from, to, 1);
    assert!(text != before, "expected the fixture to contain `{from}`");
    parse(&text, "birrete.ini")
        .expect_err("expected errors in the configuration")
        .to_string()
}

/// Replacements that each violate one rule: a part of the fixture, its replacement, and a part of
/// the expected report.
const RULES: &[(&str, &str, &str)] = &[
    (
        "[pipeline seating]",
        "[model asistente-8b]\npool = ticket-sales\n[pipeline seating]",
        "`pool`: `ticket-sales` is a pool of kind `service`; expected a pool of kind `engine`",
    ),
    (
        "[pipeline seating]",
        "[model asistente-9b]\npool = assistant\n[pipeline seating]",
        "[stage seating answer] `model`: model `asistente-8b` is not placed in pool `assistant`; \
         expected a model of the pool, the nearest being `asistente-9b`",
    ),
    (
        "kind = service",
        "kind = service\nslots = 2",
        "`slots`: only engines load models; expected the key only for a pool of engines",
    ),
    (
        "shorten = 80",
        "substitute-model = asistente-1b",
        "`substitute-model`: `substitute` is missing; expected the key only beside `substitute`",
    ),
    (
        "name = birrete",
        "name = ñ/",
        "birrete.ini:2: [deployment] `name`: `ñ/` is not valid",
    ),
    (
        "[deployment]\nname = birrete",
        "",
        "birrete.ini:1: [deployment] the section is missing",
    ),
    (
        "[deployment]",
        "name = x\n[deployment]",
        "birrete.ini:1: `name`: a key before any section",
    ),
    (
        "[deployment]",
        "[weights]\nattainment = 0\ncost = 0\n[deployment]",
        "both weights are 0",
    ),
    (
        "[link cordoba rosario]\nprice = 90\nlatency = 9ms\n",
        "",
        "birrete.ini:7: [domain rosario-a] `region`: no link between `cordoba` and `rosario`",
    ),
    (
        "[link cordoba rosario]",
        "[link cordoba cordoba]",
        "birrete.ini:9: [link cordoba cordoba] both ends are the same region",
    ),
    (
        "[link cordoba rosario]",
        "[link cordoba rosari]",
        "no failure domain lies in region `rosari`; expected the region of a failure domain, the nearest being `rosario`",
    ),
    (
        "[link cordoba rosario]",
        "[link rosario cordoba]\nprice = 1\nlatency = 9ms\n[link cordoba rosario]",
        "birrete.ini:12: [link cordoba rosario] the link is already on line 9",
    ),
    (
        "latency = 9ms",
        "latency = 9",
        "birrete.ini:11: [link cordoba rosario] `latency`: `9` is not valid; expected a time with unit",
    ),
    (
        "latency = 9ms",
        "latency = 0ms",
        "expected a value from 1ms",
    ),
    (
        "fencing = checked\n",
        "",
        "birrete.ini:13: [pool assistant] `fencing`: the key is missing; expected `checked` or `ignored`",
    ),
    ("price = 400", "price = -4", "`price`: `-4` is not valid"),
    (
        "kind = service\nprice = 10",
        "kind = service",
        "`price`: the key is missing",
    ),
    (
        "domain = cordoba-a",
        "domain = cordoba-b",
        "domain `cordoba-b` is not declared; expected a declared domain, the nearest being `cordoba-a`",
    ),
    (
        "10.0.2.1:9000",
        "10.0.1.1:9000",
        "`10.0.1.1:9000` is also the address of [upstream assistant-1]",
    ),
    (
        "10.0.2.1:9000",
        "tickets:9000",
        "expected an IP address and a port",
    ),
    (
        "capacity = 8",
        "capacity = 0",
        "expected a whole number from 1 to 65536",
    ),
    (
        "pool = ticket-sales",
        "pool = assistant",
        "pool `ticket-sales` has no upstream",
    ),
    (
        "stages = answer",
        "stages = answer, rank",
        "stage `rank` is not declared",
    ),
    (
        "stages = answer",
        "stages = answer, answer",
        "stage `answer` is listed twice",
    ),
    ("stages = answer", "stages =", "expected 1 to 16 stages"),
    (
        "stages = answer",
        "stages = answers",
        "pipeline `seating` does not list the stage",
    ),
    (
        "[stage seating answer]",
        "[stage seatings answer]",
        "pipeline `seatings` is not declared",
    ),
    (
        "tokens = 300\n",
        "",
        "`tokens`: the key is missing, but `assistant` is a pool of engines",
    ),
    (
        "shorten = 80",
        "shorten = 300",
        "`300` does not shorten 300 tokens",
    ),
    (
        "shorten = 80",
        "shorten = 80\nskip = true",
        "one of `skip`, `shorten` and `substitute`",
    ),
    (
        "shorten = 80",
        "substitute = assistant",
        "the substitute is the pool itself",
    ),
    (
        "shorten = 80",
        "substitute = ticket-sales",
        "expected a pool of kind `engine`",
    ),
    (
        "shorten = 80",
        "substitute = asistant",
        "the nearest being `assistant`",
    ),
    (
        "[service ticket-sales]",
        "[service assistant]",
        "expected a pool of kind `service`",
    ),
    (
        "[service ticket-sales]",
        "[pipeline ticket-sales]\ndeadline = 1s\nstages = a\n[stage ticket-sales a]\n\
             pool = ticket-sales\nidempotency = idempotent\n[service ticket-sales]",
        "`ticket-sales` is also the name of a pipeline",
    ),
    (
        "\nidempotency = non-idempotent",
        "",
        "`idempotency`: the key is missing; expected `idempotent` or `non-idempotent`",
    ),
    (
        "rate = 40/s",
        "rate = 40",
        "expected a request rate with unit, such as `40/s`",
    ),
    ("rate = 40/s", "rate = 0/s", "expected a rate above 0"),
    (
        "targets = seating,",
        "targets = seting,",
        "the nearest being `seating`",
    ),
    (
        "targets = seating,",
        "targets = ,",
        "items separated by single commas",
    ),
    (
        "[customer graduacion-sur]",
        "[custmer graduacion-sur]",
        "the nearest being `customer`",
    ),
    (
        "[customer graduacion-sur]",
        "[customer graduacion sur]",
        "expected `[customer NAME]`",
    ),
    (
        "[customer graduacion-sur]",
        "[pool assistant]",
        "the section is already on line 13",
    ),
    (
        "burst = 80",
        "burst = 80\nburst = 81",
        "the key is already on line 48",
    ),
    (
        "burst = 80",
        "burst 80",
        "birrete.ini:48: [customer graduacion-sur] the line has no known form",
    ),
    ("burst = 80", "[burst", "the line has no known form"),
    ("burst = 80", "burst = 80\0", "a control character"),
];

/// Guards against rules that are no longer checked.
///
/// Each row of [`RULES`] violates one rule. Up to three problems are accepted, because a
/// replacement may remove a name that is used elsewhere.
#[test]
fn each_violated_rule_is_reported() {
    for (from, to, message) in RULES {
        let report = report_after_replacing(from, to);

        assert!(report.contains(message), "{to}: {report}");
        assert!(report.lines().count() <= 3, "{to}: {report}");
    }
}

/// Guards against rejecting files that start with a byte-order mark, which editors do not show.
#[test]
fn accepts_a_byte_order_mark() {
    let marked = format!("\u{feff}{}", common::deployment());

    assert!(parse::parse(&marked, "birrete.ini").is_ok());
}

/// Guards against links and pools without a price that do not get the default of `[prices]`.
#[test]
fn missing_prices_default_to_the_prices_section() {
    let text = common::deployment()
        .replace("price = 90\n", "")
        .replace("price = 10\n", "")
        + "[prices]\nlink = 7\nservice = 8\n";

    let deployment = parse(&text, "birrete.ini").expect("expected a valid configuration");

    assert_eq!(deployment.links[0].price, price::Price(7));
    assert_eq!(deployment.pools["ticket-sales"].price, price::Price(8));
    assert_eq!(deployment.pools["assistant"].price, price::Price(400));
}

/// Guards against unbounded work and unbounded reports for hostile texts.
#[test]
fn rejects_texts_above_the_size_limits() {
    let long = "#".repeat(limits::TEXT_BYTES + 1);
    let line = format!("[{}]", "x".repeat(limits::LINE_BYTES));
    let lines = "\n".repeat(limits::LINES + 1);
    let faults = "fault\n".repeat(10_000);

    let long = parse(&long, "x.ini").expect_err("expected the text to be too long");
    let line = parse(&line, "x.ini").expect_err("expected the line to be too long");
    let lines = parse(&lines, "x.ini").expect_err("expected the text to have too many lines");
    let faults = parse(&faults, "x.ini").expect_err("expected a syntax error on every line");

    assert!(long.to_string().contains("expected at most 8388608"));
    assert!(line.to_string().contains("expected at most 4096"));
    assert!(lines.to_string().contains("expected at most 400000"));
    assert_eq!(faults.items.len(), limits::PROBLEMS);
    assert!(faults.more >= 10_000 - limits::PROBLEMS);
}

/// Guards against comparing every undeclared name with every declared one: parsing this text took
/// minutes, because 30,000 names were compared with 500.
#[test]
fn suggestions_are_computed_only_for_reported_problems() {
    let targets: Vec<String> = (0..100)
        .map(|number| format!("no-target-{number}"))
        .collect();
    let targets = targets.join(",");
    let customers = (0..300).map(|number| {
        format!("[customer c{number}]\nrate = 4/s\nburst = 8\ntargets = {targets}\n")
    });
    let pipelines = (0..500).map(|number| {
        let name = format!("some-pipeline-name-{number}");
        format!(
            "[pipeline {name}]\ndeadline = 1s\nstages = a\n\
             [stage {name} a]\npool = ticket-sales\nidempotency = idempotent\n"
        )
    });
    let text = common::deployment() + &customers.chain(pipelines).collect::<String>();

    let found = parse(&text, "x.ini").expect_err("expected the targets not to be declared");

    assert_eq!(found.items.len(), limits::PROBLEMS);
    assert!(found.items[0].expected.contains("the nearest being"));
    assert_eq!(found.items.len() + found.more, 30_000);
}
