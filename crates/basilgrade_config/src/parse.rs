//! Parses and validates a configuration.

mod coverage;
mod customers;
mod domains;
mod headers;
mod links;
mod models;
mod names;
mod pipelines;
mod pools;
mod prices;
mod services;
mod stages;
mod upstreams;
mod weights_and_name;

use crate::model::deployment;
use crate::problem;
use crate::source;

/// Parses and validates a configuration; `file` is the file name in error messages.
///
/// # Errors
///
/// All problems in the text, each with its file, line, section, key and the expected value.
pub fn parse(text: &str, file: &str) -> Result<deployment::Deployment, problem::Problems> {
    let mut source = source::Source::scan(text, file);
    let sections = headers::check(&mut source);
    let names = names::DeclaredNames::collect(&sections);
    let mut deployment = weights_and_name::read(&sections, &mut source);
    deployment.domains = domains::read(&sections, &mut source);
    let prices = prices::read(&sections, &mut source);
    deployment.links = links::read(&sections, &mut source, &deployment, &prices);
    deployment.pools = pools::read(&sections, &mut source, &prices);
    deployment.upstreams = upstreams::read(&sections, &mut source, &names);
    deployment.models = models::read(&sections, &mut source, &names, &deployment.pools);
    deployment.pipelines = pipelines::read(&sections, &mut source, &names, &deployment.pools);
    deployment.services = services::read(&sections, &mut source, &names, &deployment.pools);
    deployment.customers = customers::read(&sections, &mut source, &names);
    coverage::check(&sections, &mut source);
    source.problems.finish(deployment)
}
