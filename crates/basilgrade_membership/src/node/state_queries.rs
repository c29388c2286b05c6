//! What the daemon asks of its membership.

use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::rate;
use indexmap::IndexMap;

use crate::demand;
use crate::health;
use crate::item;
use crate::item_key;
use crate::item_set;
use crate::load_total;
use crate::node;
use crate::node_record;
use crate::phase;
use crate::prefix_hint;
use crate::progress;
use crate::readiness;
use crate::status;
use crate::tag;
use crate::timing;

impl node::Node {
    /// This daemon's own record. Its incarnation may change until it has joined, if a former run
    /// of the VM had a later one.
    pub fn record(&self) -> &node_record::NodeRecord {
        &self.settings.record
    }

    /// This daemon's own progress.
    pub fn progress(&self) -> progress::Progress {
        self.local().progress()
    }

    /// Whether this daemon may report ready.
    ///
    /// Once ready, a daemon stays ready while it pulls a newer revision; after a pause longer than
    /// [`timing::DEAD_AFTER`] it has to catch up first.
    pub fn readiness(&mut self, now: clock::Millis) -> readiness::Readiness {
        let held = self.local().progress().revision;
        if self.superseded || self.local().status == status::Status::Leaving {
            return readiness::Readiness::Leaving;
        }
        if !matches!(self.phase, phase::JoinPhase::Joined) {
            return readiness::Readiness::Joining;
        }
        if held.0 == 0 {
            return readiness::Readiness::NoRevision;
        }
        let newest = self.newest_progress(now).revision;
        if !self.ready && newest > held {
            return readiness::Readiness::Behind(newest);
        }
        self.ready = true;
        readiness::Readiness::Ready
    }

    /// The status of a VM in this daemon's view. A VM that is only listed is suspect.
    pub fn status(&self, vm: &id::VmId) -> Option<status::Status> {
        self.newest_member(vm)
            .map(|member| member.status)
            .or_else(|| self.remote_record(vm).map(|(_, status)| status))
            .or_else(|| self.vm_hints.get(vm).map(|_| status::Status::Suspect))
    }

    /// How long ago a member of the own domain last raised its version.
    pub fn silence(&self, now: clock::Millis, vm: &id::VmId) -> Option<clock::Millis> {
        self.newest_member(vm)
            .map(|member| now.since(member.last_alive))
    }

    /// The members of the own domain with their status, this daemon among them.
    pub fn members(&self) -> impl Iterator<Item = (&node_record::NodeRecord, status::Status)> {
        self.members
            .values()
            .map(|member| (&member.record, member.status))
    }

    /// The daemons of another domain, as its summary states them.
    pub fn members_of(
        &self,
        domain: &id::DomainId,
    ) -> impl Iterator<Item = (&node_record::NodeRecord, status::Status)> {
        self.summaries
            .get(&tag::Tag::of(domain.as_str()))
            .into_iter()
            .flat_map(crate::summary::DomainSummary::members)
    }

    /// The domains that have a summary, with their progress.
    pub fn domains(&self) -> impl Iterator<Item = (&id::DomainId, progress::Progress)> {
        self.summaries
            .values()
            .map(|summary| (&summary.domain, summary.progress()))
    }

    /// The worst health of an upstream that anybody has reported recently.
    pub fn health(&self, now: clock::Millis, upstream: &id::UpstreamId) -> health::Health {
        self.unhealthy(now)
            .get(&tag::Tag::of(upstream.as_str()))
            .copied()
            .unwrap_or_default()
    }

    /// All upstreams that anybody has recently reported as not healthy, by the tag of their name.
    pub fn unhealthy(&self, now: clock::Millis) -> IndexMap<tag::Tag, health::Health> {
        let mut worst = IndexMap::new();
        let item_sets = self
            .members
            .values()
            .map(|member| &member.items)
            .chain(self.remote_summaries().map(|summary| &summary.items));
        for held in item_sets.flat_map(item_set::ItemSet::iter) {
            if let item::Item::Health { upstream, health } = held.item
                && !held.item.is_tombstone()
                && now.since(held.set_at) < timing::HEALTH_TTL
            {
                let entry = worst.entry(upstream).or_insert(health);
                *entry = health.max(*entry);
            }
        }
        worst
    }

    /// The load total of a pool in another domain, if its summary states one.
    pub fn load(&self, domain: &id::DomainId, pool: &id::PoolId) -> Option<load_total::LoadTotal> {
        let key = item_key::ItemKey::Load(tag::Tag::of(pool.as_str()));
        let summary = self.summaries.get(&tag::Tag::of(domain.as_str()))?;
        match &summary.items.get(key)?.item {
            item::Item::Load { total, .. } => Some(*total),
            _ => None,
        }
    }

    /// The demand of a customer in the own domain and in all domains.
    pub fn demand(&self, customer: &id::CustomerId) -> demand::CustomerDemand {
        let customer = tag::Tag::of(customer.as_str());
        let key = item_key::ItemKey::Demand(customer);
        let rate_in = |items: &item_set::ItemSet| match items.get(key).map(|held| &held.item) {
            Some(item::Item::Demand { rate, .. }) => f64::from(*rate) / 10.0,
            _ => 0.0,
        };
        let own = self.customer_demand.get(&customer).map_or_else(
            || rate_in(&self.local().items),
            |rate| f64::from(*rate) / 10.0,
        );
        let domain = own
            + self
                .other_members()
                .filter(|(_, member)| member.status != status::Status::Dead)
                .map(|(_, member)| rate_in(&member.items))
                .sum::<f64>();
        let remote: f64 = self
            .remote_summaries()
            .map(|summary| rate_in(&summary.items))
            .sum();
        demand::CustomerDemand {
            domain: rate::RequestRate(domain),
            fleet: rate::RequestRate(domain + remote),
        }
    }

    /// The upstreams that members of the domain have reported to hold a prefix.
    pub fn prefix_hints(&self, prefix: tag::Tag) -> Vec<prefix_hint::PrefixHint> {
        let key = item_key::ItemKey::Prefix(prefix);
        self.members
            .values()
            .filter_map(|member| match &member.items.get(key)?.item {
                item::Item::Prefix(hint) if hint.tokens > 0 => Some(*hint),
                _ => None,
            })
            .collect()
    }
}
