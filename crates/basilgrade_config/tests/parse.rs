//! Reading a configuration.

use basilgrade_config::Problem;
use basilgrade_config::limits;
use basilgrade_config::model::pool;
use basilgrade_config::model::stage;
use basilgrade_config::parse;
use basilgrade_types::clock;
use basilgrade_types::price;
use basilgrade_types::size;

mod common;

fn problems(text: &str) -> Vec<Problem> {
    parse(text, "birrete.ini")
        .expect_err("the text is faulty")
        .items
}

/// Guards against values read into the wrong field or with the wrong unit.
#[test]
fn reads_every_kind_of_section() {
    let text = common::deployment();

    let deployment = parse(&text, "birrete.ini").expect("the text is valid");

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

/// Guards against a version that is attributed to a model whose name it only begins with.
#[test]
fn weights_belong_to_the_longest_name() {
    let deployment = parse(&common::placed(), "birrete.ini").expect("the text is valid");
    let owner = |weights: &str| {
        let weights = weights.parse().expect("the name is valid");
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

/// Guards against reports that stop at the first fault or name the wrong place.
#[test]
fn reports_all_problems_with_position() {
    let text = common::deployment()
        .replace("kind = engine", "kind = engin")
        .replace("capacity = 32", "capacty = 32")
        .replace("pool = assistant\nmodel", "pool = asistant\nmodel");

    let found = problems(&text);

    let places: Vec<(usize, &str, &str)> = found
        .iter()
        .map(|problem| (problem.line, problem.section.as_str(), problem.key.as_str()))
        .collect();
    assert_eq!(
        places,
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

/// Replaces one text by another and gives the report, one problem a line.
fn report_after(from: &str, to: &str) -> String {
    let before = common::deployment();
    let text = before.replacen(from, to, 1);
    assert!(text != before, "`{from}` is in the fixture");
    parse(&text, "birrete.ini")
        .expect_err("the text is faulty")
        .to_string()
}

/// A text of the fixture, what takes its place, and a part of the report.
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
    ("rate = 40/s", "rate = 40", "expected a rate such as `40/s`"),
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

/// Guards against checks that are lost; each row breaks one rule. A second problem is possible
/// where the fault takes a name away that is used elsewhere.
#[test]
fn each_rule_has_its_own_error() {
    for (from, to, message) in RULES {
        let report = report_after(from, to);

        assert!(report.contains(message), "{to}: {report}");
        assert!(report.lines().count() <= 3, "{to}: {report}");
    }
}

/// Guards against a file of an editor that marks its byte order being refused for a reason that
/// nobody sees.
#[test]
fn a_byte_order_mark_is_accepted() {
    let marked = format!("\u{feff}{}", common::deployment());

    assert!(parse::parse(&marked, "birrete.ini").is_ok());
}

/// Guards against prices that are not taken from `[prices]`.
#[test]
fn default_prices_stand_in() {
    let text = common::deployment()
        .replace("price = 90\n", "")
        .replace("price = 10\n", "")
        + "[prices]\nlink = 7\nservice = 8\n";

    let deployment = parse(&text, "birrete.ini").expect("the text is valid");

    assert_eq!(deployment.links[0].price, price::Price(7));
    assert_eq!(deployment.pools["ticket-sales"].price, price::Price(8));
    assert_eq!(deployment.pools["assistant"].price, price::Price(400));
}

/// Guards against unbounded work and reports for hostile texts.
#[test]
fn sizes_are_bounded() {
    let long = "#".repeat(limits::TEXT + 1);
    let line = format!("[{}]", "x".repeat(limits::LINE_BYTES));
    let lines = "\n".repeat(limits::LINES + 1);
    let faults = "fault\n".repeat(10_000);

    let long = parse(&long, "x.ini").expect_err("the text is too long");
    let line = parse(&line, "x.ini").expect_err("the line is too long");
    let lines = parse(&lines, "x.ini").expect_err("the text has too many lines");
    let faults = parse(&faults, "x.ini").expect_err("the text is faulty");

    assert!(long.to_string().contains("expected at most 8388608"));
    assert!(line.to_string().contains("expected at most 4096"));
    assert!(lines.to_string().contains("expected at most 400000"));
    assert_eq!(faults.items.len(), limits::PROBLEMS);
    assert!(faults.more >= 10_000 - limits::PROBLEMS);
}

/// Guards against a comparison of every unknown name with every known one: this text took minutes,
/// because 30,000 names were compared with 500.
#[test]
fn unknown_names_are_compared_only_for_the_report() {
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

    let found = parse(&text, "x.ini").expect_err("the text is faulty");

    assert_eq!(found.items.len(), limits::PROBLEMS);
    assert!(found.items[0].expected.contains("the nearest being"));
    assert_eq!(found.items.len() + found.more, 30_000);
}
