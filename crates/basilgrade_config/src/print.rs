//! Prints a configuration in canonical form.

mod printer;

use std::fmt::Display;

use basilgrade_types::size;

use crate::model::customer;
use crate::model::deployment;
use crate::model::pipeline;
use crate::model::placed_model;
use crate::model::pool;
use crate::model::stage;

/// The canonical text of a configuration.
///
/// Sections are in a fixed order of kinds and sorted by name, so equal configurations give equal
/// texts and a change of one section changes only its own lines. Reading the text gives an equal
/// configuration.
pub fn print(deployment: &deployment::Deployment) -> String {
    let mut out = printer::Printer::default();
    out.header("deployment");
    out.key("name", &deployment.name);
    out.header("weights");
    out.key("attainment", deployment.weights.attainment);
    out.key("cost", deployment.weights.cost);
    for domain in sorted(deployment.domains.values(), |domain| &domain.id) {
        out.header(&format!("domain {}", domain.id));
        out.key("region", &domain.region);
    }
    for link in &deployment.links {
        out.header(&format!("link {} {}", link.from, link.to));
        out.key("price", link.price);
        out.key("latency", link.latency);
    }
    for pool in sorted(deployment.pools.values(), |pool| &pool.id) {
        print_pool(&mut out, pool);
    }
    for upstream in sorted(deployment.upstreams.values(), |upstream| &upstream.id) {
        out.header(&format!("upstream {}", upstream.id));
        out.key("pool", &upstream.pool);
        out.key("domain", &upstream.domain);
        out.key("address", upstream.address);
        out.key("capacity", upstream.capacity);
    }
    for model in sorted(deployment.models.values(), |model| &model.id) {
        print_model(&mut out, model);
    }
    for pipeline in sorted(deployment.pipelines.values(), |pipeline| &pipeline.id) {
        print_pipeline(&mut out, pipeline);
    }
    for service in sorted(deployment.services.values(), |service| &service.pool) {
        out.header(&format!("service {}", service.pool));
        out.key("deadline", service.deadline);
        out.key("idempotency", service.idempotency);
    }
    for customer in sorted(deployment.customers.values(), |customer| &customer.id) {
        print_customer(&mut out, customer);
    }
    out.text
}

fn sorted<'a, T, K: Ord + 'a>(
    items: impl Iterator<Item = &'a T>,
    key: impl Fn(&'a T) -> &'a K,
) -> Vec<&'a T> {
    let mut items: Vec<&T> = items.collect();
    items.sort_by(|a, b| key(a).cmp(key(b)));
    items
}

fn print_pool(out: &mut printer::Printer, pool: &pool::Pool) {
    out.header(&format!("pool {}", pool.id));
    out.key("kind", pool.kind);
    out.key("fencing", pool.fencing);
    out.key("keys", pool.keys);
    if pool.kind == pool::Kind::Engine {
        out.key("slots", pool.slots);
    }
    out.key("price", pool.price);
}

fn print_model(out: &mut printer::Printer, model: &placed_model::PlacedModel) {
    out.header(&format!("model {}", model.id));
    out.key("pool", &model.pool);
    if let Some(version) = model.version() {
        out.key("version", version);
    }
    out.key("least", model.least);
}

fn print_pipeline(out: &mut printer::Printer, pipeline: &pipeline::Pipeline) {
    out.header(&format!("pipeline {}", pipeline.id));
    out.key("deadline", pipeline.deadline);
    out.key(
        "stages",
        join(pipeline.stages.iter().map(|stage| &stage.id)),
    );
    for stage in &pipeline.stages {
        out.header(&format!("stage {} {}", pipeline.id, stage.id));
        print_stage(out, stage);
    }
}

fn print_stage(out: &mut printer::Printer, stage: &stage::Stage) {
    out.key("pool", &stage.pool);
    if let Some(model) = &stage.model {
        out.key("model", model);
    }
    if stage.tokens > size::TokenCount(0) {
        out.key("tokens", stage.tokens);
    }
    out.key("idempotency", stage.idempotency);
    match &stage.degrade {
        stage::Degrade::Never => {}
        stage::Degrade::Shorten(tokens) => out.key("shorten", tokens),
        stage::Degrade::Skip => out.key("skip", true),
        stage::Degrade::Substitute { pool, model } => {
            out.key("substitute", pool);
            if let Some(model) = model {
                out.key("substitute-model", model);
            }
        }
    }
}

fn print_customer(out: &mut printer::Printer, customer: &customer::Customer) {
    out.header(&format!("customer {}", customer.id));
    out.key("rate", customer.rate);
    out.key("burst", customer.burst);
    if !customer.targets.is_empty() {
        out.key("targets", join(&customer.targets));
    }
}

fn join(items: impl IntoIterator<Item = impl Display>) -> String {
    let items: Vec<String> = items.into_iter().map(|item| item.to_string()).collect();
    items.join(", ")
}
