//! Reading a configuration.

use basilgrade_config::Problem;
use basilgrade_config::model::pool;
use basilgrade_config::model::stage;
use basilgrade_config::parse;
use basilgrade_types::clock;
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
