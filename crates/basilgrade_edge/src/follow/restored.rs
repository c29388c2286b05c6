//! What a daemon keeps when the store comes back from a copy that is older than its mirrors.

use basilgrade_adapter::configuration;
use basilgrade_adapter::evidence;
use basilgrade_adapter::store;
use basilgrade_adapter::upstream_registration;
use basilgrade_fleet::directory::latest;
use bytes::Bytes;
use compact_str::CompactString;
use indexmap::IndexMap;

use crate::follow::mirror;

/// Newest values of the keys of a topic in a mirror.
type Known = IndexMap<CompactString, Bytes>;

/// Keeps the configuration in `known`, of the version `in_force`, if that in `changes` is older.
pub(super) fn keep_configuration(changes: &mut mirror::Changes, known: &Known, in_force: u64) {
    let is_older = |key: &CompactString, value: &Bytes| {
        store::is_configuration_key(key)
            && configuration::decode(value).is_ok_and(|found| found.version < in_force)
    };
    match changes {
        mirror::Changes::Some(records) => {
            records
                .retain(|(key, value)| !value.as_ref().is_some_and(|value| is_older(key, value)));
        }
        mirror::Changes::All(records) => {
            records.retain(|(key, value)| !is_older(key, value));
            if !records
                .iter()
                .any(|(key, _)| store::is_configuration_key(key))
            {
                let kept = known
                    .iter()
                    .find(|(key, _)| store::is_configuration_key(key));
                records.extend(kept.map(|(key, value)| (key.clone(), value.clone())));
            }
        }
    }
}

/// Replaces registrations of upstreams that are older than those read before, and leaves out those
/// of upstreams that were removed.
pub(super) fn keep_registrations(
    records: &mut Vec<(CompactString, Bytes)>,
    known: &Known,
    latest: &latest::Latest,
) {
    records.retain_mut(|(key, value)| {
        let entry = upstream_registration::decode(key, value).ok();
        if !entry.is_some_and(|entry| latest.is_outdated(&entry)) {
            return true;
        }
        log::info!("event=registration-outdated upstream={key}");
        let kept = known.get(key);
        if let Some(kept) = kept {
            *value = kept.clone();
        }
        kept.is_some()
    });
}

/// Adds the evacuations that `records` lack: they were acknowledged, and only operators cancel them.
pub(super) fn keep_evacuations(records: &mut Vec<(CompactString, Bytes)>, known: &Known) {
    keep_missing(records, known, |key| store::evacuated_domain(key).is_some());
}

/// Adds the evidence that `records` lack; its owners may be gone.
pub(super) fn keep_evidence(records: &mut Vec<(CompactString, Bytes)>, known: &Known) {
    keep_missing(records, known, |key| evidence::is_key(key));
}

/// Adds the records of `known` whose keys `records` lack and `is_kept` accepts.
fn keep_missing(
    records: &mut Vec<(CompactString, Bytes)>,
    known: &Known,
    is_kept: impl Fn(&CompactString) -> bool,
) {
    let is_lost =
        |key: &CompactString| is_kept(key) && !records.iter().any(|(found, _)| found == key);
    let lost: Vec<_> = known
        .iter()
        .filter(|(key, _)| is_lost(key))
        .map(|(key, value)| (key.clone(), value.clone()))
        .collect();
    records.extend(lost);
}
