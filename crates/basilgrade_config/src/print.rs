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

/// Returns the canonical text of a configuration.
///
/// Sections are ordered by kind, then by name, so equal configurations have equal texts and a
/// change of one section changes only its own lines. Parsing the text returns an equal
/// configuration.
pub fn print(deployment: &deployment::Deployment) -> String {
    let mut out = printer::Printer::default();
    out.header("deployment");
    out.entry("name", &deployment.name);
    out.header("weights");
    out.entry("attainment", deployment.weights.attainment);
    out.entry("cost", deployment.weights.cost);
    for domain in sorted_by_key(deployment.domains.values(), |domain| &domain.id) {
        out.header(&format!("domain {}", domain.id));
        out.entry("region", &domain.region);
    }
    for link in &deployment.links {
        out.header(&format!("link {} {}", link.from, link.to));
        out.entry("price", link.price);
        out.entry("latency", link.latency);
    }
    for pool in sorted_by_key(deployment.pools.values(), |pool| &pool.id) {
        print_pool(&mut out, pool);
    }
    for upstream in sorted_by_key(deployment.upstreams.values(), |upstream| &upstream.id) {
        out.header(&format!("upstream {}", upstream.id));
        out.entry("pool", &upstream.pool);
        out.entry("domain", &upstream.domain);
        out.entry("address", upstream.address);
        out.entry("capacity", upstream.capacity);
    }
    for model in sorted_by_key(deployment.models.values(), |model| &model.id) {
        print_model(&mut out, model);
    }
    for pipeline in sorted_by_key(deployment.pipelines.values(), |pipeline| &pipeline.id) {
        print_pipeline(&mut out, pipeline);
    }
    for service in sorted_by_key(deployment.services.values(), |service| &service.pool) {
        out.header(&format!("service {}", service.pool));
        out.entry("deadline", service.deadline);
        out.entry("idempotency", service.idempotency);
    }
    for customer in sorted_by_key(deployment.customers.values(), |customer| &customer.id) {
        print_customer(&mut out, customer);
    }
    out.text
}

fn sorted_by_key<'a, T, K: Ord + 'a>(
    items: impl Iterator<Item = &'a T>,
    key: impl Fn(&'a T) -> &'a K,
) -> Vec<&'a T> {
    let mut items: Vec<&T> = items.collect();
    items.sort_by(|a, b| key(a).cmp(key(b)));
    items
}

fn print_pool(out: &mut printer::Printer, pool: &pool::Pool) {
    out.header(&format!("pool {}", pool.id));
    out.entry("kind", pool.kind);
    out.entry("fencing", pool.fencing);
    out.entry("keys", pool.keys);
    if pool.kind == pool::Kind::Engine {
        out.entry("slots", pool.slots);
    }
    out.entry("price", pool.price);
}

fn print_model(out: &mut printer::Printer, model: &placed_model::PlacedModel) {
    out.header(&format!("model {}", model.id));
    out.entry("pool", &model.pool);
    if let Some(version) = model.version() {
        out.entry("version", version);
    }
    out.entry("least", model.least);
}

fn print_pipeline(out: &mut printer::Printer, pipeline: &pipeline::Pipeline) {
    out.header(&format!("pipeline {}", pipeline.id));
    out.entry("deadline", pipeline.deadline);
    out.entry(
        "stages",
        join(pipeline.stages.iter().map(|stage| &stage.id)),
    );
    for stage in &pipeline.stages {
        out.header(&format!("stage {} {}", pipeline.id, stage.id));
        print_stage(out, stage);
    }
}

fn print_stage(out: &mut printer::Printer, stage: &stage::Stage) {
    out.entry("pool", &stage.pool);
    if let Some(model) = &stage.model {
        out.entry("model", model);
    }
    if stage.tokens > size::TokenCount(0) {
        out.entry("tokens", stage.tokens);
    }
    out.entry("idempotency", stage.idempotency);
    match &stage.degrade {
        stage::Degrade::Never => {}
        stage::Degrade::Shorten(tokens) => out.entry("shorten", tokens),
        stage::Degrade::Skip => out.entry("skip", true),
        stage::Degrade::Substitute { pool, model } => {
            out.entry("substitute", pool);
            if let Some(model) = model {
                out.entry("substitute-model", model);
            }
        }
    }
}

fn print_customer(out: &mut printer::Printer, customer: &customer::Customer) {
    out.header(&format!("customer {}", customer.id));
    out.entry("rate", customer.rate);
    out.entry("burst", customer.burst);
    if !customer.targets.is_empty() {
        out.entry("targets", join(&customer.targets));
    }
}

fn join(items: impl IntoIterator<Item = impl Display>) -> String {
    let items: Vec<String> = items.into_iter().map(|item| item.to_string()).collect();
    items.join(", ")
}
