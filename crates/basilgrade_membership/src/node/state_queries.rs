//! Queries of the membership state.

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
    /// Identity and address of this daemon. The incarnation may change until the daemon has joined,
    /// if a former run of the VM had a later one.
    pub fn record(&self) -> &node_record::NodeRecord {
        &self.settings.record
    }

    /// Position of this daemon in the log streams.
    pub fn progress(&self) -> progress::Progress {
        self.own().progress()
    }

    /// Returns whether this daemon may report that it is ready.
    ///
    /// Once ready, a daemon stays ready while it pulls a newer revision. After a pause of
    /// [`timing::DEAD_AFTER`] or more, it has to catch up first.
    pub fn readiness(&mut self, now: clock::Millis) -> readiness::Readiness {
        let held = self.own().progress().revision;
        if self.superseded || self.own().status == status::Status::Leaving {
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

    /// Status of a VM in the view of this daemon. A VM that only the VM list names is suspect.
    pub fn status(&self, vm: &id::VmId) -> Option<status::Status> {
        self.newest_member(vm)
            .map(|member| member.status)
            .or_else(|| self.remote_record(vm).map(|(_, status)| status))
            .or_else(|| self.vm_hints.get(vm).map(|_| status::Status::Suspect))
    }

    /// Time since a member of the own domain last incremented its heartbeat counter.
    pub fn silence(&self, now: clock::Millis, vm: &id::VmId) -> Option<clock::Millis> {
        self.newest_member(vm)
            .map(|member| now.since(member.last_alive))
    }

    /// The members of the own domain, including this daemon, with their status.
    pub fn members(&self) -> impl Iterator<Item = (&node_record::NodeRecord, status::Status)> {
        self.members
            .values()
            .map(|member| (&member.record, member.status))
    }

    /// The daemons that the summary of `domain` lists, with their status.
    pub fn members_of(
        &self,
        domain: &id::DomainId,
    ) -> impl Iterator<Item = (&node_record::NodeRecord, status::Status)> {
        self.summaries
            .get(&tag::Tag::of(domain.as_str()))
            .into_iter()
            .flat_map(crate::summary::Summary::members)
    }

    /// The domains that have a summary, with their positions in the log streams.
    pub fn domains(&self) -> impl Iterator<Item = (&id::DomainId, progress::Progress)> {
        self.summaries
            .values()
            .map(|summary| (&summary.domain, summary.progress()))
    }

    /// The worst health of an upstream that any daemon or domain summary has reported recently.
    pub fn health(&self, now: clock::Millis, upstream: &id::UpstreamId) -> health::Health {
        self.unhealthy(now)
            .get(&tag::Tag::of(upstream.as_str()))
            .copied()
            .unwrap_or_default()
    }

    /// The upstreams that any daemon or domain summary has recently reported as unhealthy, by the
    /// hash of their name.
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

    /// Load total of a pool in `domain`, if the summary of the domain contains one.
    pub fn load(&self, domain: &id::DomainId, pool: &id::PoolId) -> Option<load_total::LoadTotal> {
        let key = item_key::ItemKey::Load(tag::Tag::of(pool.as_str()));
        let summary = self.summaries.get(&tag::Tag::of(domain.as_str()))?;
        match &summary.items.get(key)?.item {
            item::Item::Load { total, .. } => Some(*total),
            _ => None,
        }
    }

    /// Request rate of a customer, in the own domain and in all domains.
    pub fn demand(&self, customer: &id::CustomerId) -> demand::CustomerDemand {
        let customer = tag::Tag::of(customer.as_str());
        let key = item_key::ItemKey::Demand(customer);
        let rate_in = |items: &item_set::ItemSet| match items.get(key).map(|held| &held.item) {
            Some(item::Item::Demand { rate, .. }) => f64::from(*rate) / 10.0,
            _ => 0.0,
        };
        let own = self.customer_demand.get(&customer).map_or_else(
            || rate_in(&self.own().items),
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

    /// The hints of members of the own domain about which upstreams cache a prefix.
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
