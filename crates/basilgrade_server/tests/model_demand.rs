//! Tests of the candidates for a model and of the estimated demand for models.

use std::fmt::Write as _;
use std::sync;

use basilgrade_policy::router;
use basilgrade_server::background::placement::demands;
use basilgrade_server::view::registry;
use basilgrade_server::view::snapshot;
use basilgrade_server::view::usages;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::revision;

fn name<T: std::str::FromStr<Err = basilgrade_types::parse::ParseError>>(text: &str) -> T {
    text.parse().expect("expected a valid name")
}

/// A snapshot with three engines that report `loaded` as their loaded models.
fn view(loaded: [&[&str]; 3]) -> snapshot::Snapshot {
    let mut text = "[deployment]\nname = test\n[domain a]\nregion = r\n\
         [pool engines]\nkind = engine\nfencing = checked\nprice = 1\nslots = 2\n\
         [model big]\npool = engines\nversion = v2\n[model big.mini]\npool = engines\n\
         [pipeline seating]\ndeadline = 10s\nstages = answer\n\
         [stage seating answer]\npool = engines\nmodel = big\ntokens = 9\n\
         idempotency = idempotent\n"
        .to_owned();
    for index in 0..3 {
        let _ = write!(
            text,
            "[upstream e{index}]\npool = engines\ndomain = a\naddress = 10.0.0.1:{}\n\
             capacity = 8\n",
            9000 + index
        );
    }
    let deployment = basilgrade_config::parse(&text, "test");
    let deployment = deployment.unwrap_or_else(|problems| panic!("{problems}"));
    let settings = router::settings::ScoreSettings::new(deployment.weights);
    let build_context = snapshot::BuildContext {
        now: clock::Millis(1),
        domain: &name("a"),
        daemons: 1,
        registry: &registry::Registry::default(),
        router: sync::Arc::new(router::scored::ScoredRouter::new(settings)),
    };
    let revision = revision::Revision(1);
    let view = snapshot::Snapshot::build(revision, deployment, &build_context, None);
    for (entry, models) in view.entries.iter().zip(loaded) {
        let models: Vec<id::ModelId> = models.iter().map(|model| name(model)).collect();
        entry.stats.models.store(sync::Arc::new(models));
    }
    view
}

fn candidates(view: &snapshot::Snapshot, model: &str) -> Vec<u32> {
    let model = name(model);
    let found = view.candidates(&name("engines"), Some(&model), clock::Millis(1));
    found.iter().map(|candidate| candidate.index).collect()
}

/// Guards against calls to engines without the model, and against an outage during a version
/// change.
#[test]
fn candidates_are_engines_with_the_model_loaded() {
    let view = view([&["big.v1"], &["big.mini"], &["big.v1", "big.v2"]]);
    let weights = |index: usize| {
        let weights = view.loaded_weights(&view.entries[index], &name("big"));
        weights.map(|weights| weights.to_string())
    };

    assert_eq!(candidates(&view, "big"), [0, 2]);
    assert_eq!(candidates(&view, "big.mini"), [1]);
    assert_eq!(weights(0).as_deref(), Some("big.v1"));
    assert_eq!(weights(1), None);
    assert_eq!(weights(2).as_deref(), Some("big.v2"));
}

/// Guards against pools without candidates because their engines report no models.
#[test]
fn candidates_are_all_engines_if_none_reports_models() {
    let view = view([&[], &[], &[]]);

    assert_eq!(candidates(&view, "big"), [0, 1, 2]);
}

/// Guards against demand that omits unfinished calls or the calls of other daemons.
#[test]
fn demand_is_scaled_to_all_daemons_of_the_domain() {
    let view = view([&[], &[], &[]]);
    let (usages, model) = (usages::Usages::default(), name("big"));
    let mut demands = demands::Demands::default();
    let mut found = None;
    for second in 0..200 {
        let now = clock::Millis::from_secs(second);
        let demand = demands.update(now, &view.deployment, &usages, 3);
        found = demand.get(&model).copied();
        for call in 0..10 {
            usages.for_model(&model).start();
            if call < 5 {
                usages.for_model(&model).finish(clock::Millis(2000));
            }
        }
    }

    let found = found.expect("expected demand for the declared model `big`");
    assert!((found.rate.0 - 30.0).abs() < 0.1, "{found:?}");
    assert_eq!((found.capacity, found.deadline), (4, clock::Millis(10_000)));
    assert!(found.service_time.0.abs_diff(2000) < 20, "{found:?}");
}
