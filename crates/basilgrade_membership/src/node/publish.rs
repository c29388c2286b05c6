//! Publication of this daemon's items and of the summary of its domain.

use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::rate;
use indexmap::IndexMap;

use crate::health;
use crate::item;
use crate::item_key;
use crate::item_set;
use crate::limits;
use crate::load_total;
use crate::node;
use crate::prefix_hint;
use crate::progress;
use crate::status;
use crate::summary;
use crate::tag;
use crate::term;
use crate::timing;

/// Age above which a prefix hint is dropped.
const PREFIX_HINT_TTL: clock::Millis = clock::Millis(120_000);

impl node::Node {
    /// Reports the health of an upstream as this daemon observes it.
    ///
    /// The report of an unhealthy upstream is republished, because other daemons ignore it after
    /// [`timing::HEALTH_TTL`].
    pub fn set_health(
        &mut self,
        now: clock::Millis,
        upstream: &id::UpstreamId,
        health: health::Health,
    ) {
        let upstream = tag::Tag::of(upstream.as_str());
        let key = item_key::ItemKey::Health(upstream);
        let item = item::Item::Health { upstream, health };
        let held = self.own().items.get(key).map(|held| &held.item);
        if held == Some(&item) || held.is_none() && item.is_tombstone() {
            return;
        }
        self.own_mut().items.set(now, item);
        self.schedule_urgent(now);
    }

    /// Sets the load total of a pool in the own domain, as polled by this daemon. The total is
    /// disseminated to other domains while this daemon writes the summary of its domain.
    pub fn set_load(&mut self, pool: &id::PoolId, total: load_total::LoadTotal) {
        let pool = tag::Tag::of(pool.as_str());
        if self.pool_loads.len() < limits::MAX_PENDING_ITEMS || self.pool_loads.contains_key(&pool)
        {
            self.pool_loads.insert(pool, total);
        }
    }

    /// Sets the request rate of a customer at this daemon. The caller reports customers above a
    /// tenth of their quota, and reports zero once when the rate of a customer falls below that.
    pub fn set_demand(&mut self, customer: &id::CustomerId, rate: rate::RequestRate) {
        let customer = tag::Tag::of(customer.as_str());
        if self.customer_demand.len() < limits::MAX_PENDING_ITEMS
            || self.customer_demand.contains_key(&customer)
        {
            self.customer_demand
                .insert(customer, (rate.0 * 10.0).round() as u32);
        }
    }

    /// Queues a prefix hint for publication to the other members of the domain.
    pub fn add_prefix_hint(&mut self, hint: prefix_hint::PrefixHint) {
        if self.pending_hints.len() >= limits::MAX_PENDING_ITEMS {
            self.pending_hints.pop_front();
        }
        self.pending_hints.push_back(hint);
    }

    /// Publishes the items that are due in this round and drops expired items.
    pub(super) fn publish(&mut self, now: clock::Millis) {
        self.refresh_health(now);
        self.publish_soft_state(now);
        if self.reads_log(now) {
            self.write_summary(now);
        }
        let expired = |held: &item_set::StoredItem| {
            matches!(held.item, item::Item::Prefix(_)) && now.since(held.set_at) > PREFIX_HINT_TTL
        };
        for member in self.members.values_mut() {
            member.items.drop_expired_tombstones(now);
            member.items.discard(expired);
        }
        for summary in self.summaries.values_mut() {
            summary.items.drop_expired_tombstones(now);
        }
    }

    fn refresh_health(&mut self, now: clock::Millis) {
        let due: Vec<item::Item> = self
            .own()
            .items
            .iter()
            .filter(|held| {
                matches!(held.item, item::Item::Health { .. })
                    && !held.item.is_tombstone()
                    && now.since(held.set_at) >= timing::HEALTH_REFRESH_INTERVAL
            })
            .map(|held| held.item.clone())
            .collect();
        for item in due {
            self.own_mut().items.set(now, item);
        }
    }

    /// Publishes demand, then prefix hints, within this daemon's share of the soft-state rate of
    /// the domain.
    fn publish_soft_state(&mut self, now: clock::Millis) {
        let live = self.live_count();
        let share = limits::DOMAIN_SOFT_STATE_BYTES_PER_S / live.max(1);
        self.soft_tokens = (self.soft_tokens + share).min(share.max(64) * 4);
        let mut items: Vec<item::Item> = self
            .customer_demand
            .iter()
            .map(|(customer, rate)| item::Item::Demand {
                customer: *customer,
                rate: *rate,
            })
            .filter(|item| is_due(now, &self.own().items, item))
            .collect();
        // The least recently published come first, so that an exhausted budget delays all customers
        // equally.
        items.sort_by_key(|item| self.own().items.get(item.key()).map(|held| held.set_at));
        for item in items {
            if !take_tokens(&mut self.soft_tokens, &item) {
                return;
            }
            self.own_mut().items.set(now, item);
        }
        self.customer_demand.retain(|_, rate| *rate > 0);
        while let Some(hint) = self.pending_hints.pop_back() {
            let item = item::Item::Prefix(hint);
            if !take_tokens(&mut self.soft_tokens, &item) {
                self.pending_hints.push_back(hint);
                break;
            }
            self.own_mut().items.set(now, item);
        }
        self.drop_excess_own_hints();
    }

    fn drop_excess_own_hints(&mut self) {
        let items = &mut self.own_mut().items;
        let is_hint = |held: &item_set::StoredItem| matches!(held.item, item::Item::Prefix(_));
        let count = items.iter().filter(|held| is_hint(held)).count();
        let mut excess = count.saturating_sub(limits::MAX_PREFIX_HINTS);
        if excess == 0 {
            return;
        }
        items.discard(|held| {
            let drop = excess > 0 && is_hint(held);
            excess -= usize::from(drop);
            drop
        });
    }

    pub(super) fn live_count(&self) -> usize {
        self.members
            .values()
            .filter(|member| member.status.is_live())
            .count()
    }

    /// Updates the summary of the own domain.
    fn write_summary(&mut self, now: clock::Millis) {
        let share = limits::FLEET_SOFT_STATE_BYTES_PER_S / self.summaries.len().max(1);
        self.fleet_tokens = (self.fleet_tokens + share).min(share.max(64) * 4);
        let desired = self.desired_summary(now);
        let own = self.tag;
        let domain = self.settings.record.domain.clone();
        let summary = self
            .summaries
            .entry(tag::Tag::of(domain.as_str()))
            .or_insert_with(|| summary::Summary::new(domain, now));
        if summary.term.writer != own {
            summary.term = term::Term {
                number: summary.term.number + 1,
                writer: own,
            };
            summary.items = item_set::ItemSet::default();
        }
        summary.last_update = now;
        let tombstones: Vec<item::Item> = summary
            .items
            .iter()
            .filter(|held| !desired.contains_key(&held.item.key()))
            .filter_map(|held| tombstone(&held.item))
            .collect();
        for item in desired.into_values().chain(tombstones) {
            let soft = matches!(item, item::Item::Load { .. } | item::Item::Demand { .. });
            if is_due(now, &summary.items, &item)
                && (!soft || take_tokens(&mut self.fleet_tokens, &item))
            {
                summary.items.set(now, item);
            }
        }
    }

    /// Computes the items that the summary of the own domain should contain.
    fn desired_summary(&self, now: clock::Millis) -> IndexMap<item_key::ItemKey, item::Item> {
        let mut progress = progress::Progress::default();
        let mut health: IndexMap<tag::Tag, health::Health> = IndexMap::new();
        let mut demand: IndexMap<tag::Tag, u32> = IndexMap::new();
        let mut items = Vec::new();
        for member in self.members.values() {
            // Most suspicions end within a second, so the summary reports suspect members as alive.
            let status = match member.status {
                status::Status::Suspect => status::Status::Alive,
                status => status,
            };
            items.push(item::Item::Member {
                record: member.record.clone(),
                status,
            });
            if member.status == status::Status::Dead {
                continue;
            }
            let own = member.progress();
            progress.revision = progress.revision.max(own.revision);
            progress.control_offset = progress.control_offset.max(own.control_offset);
            for held in member.items.iter() {
                match &held.item {
                    item::Item::Health {
                        upstream,
                        health: own,
                    } if now.since(held.set_at) < timing::HEALTH_TTL => {
                        let worst = health.entry(*upstream).or_default();
                        *worst = (*own).max(*worst);
                    }
                    item::Item::Demand { customer, rate } => {
                        let sum = demand.entry(*customer).or_default();
                        *sum = sum.saturating_add(*rate);
                    }
                    _ => {}
                }
            }
        }
        items.push(item::Item::Progress(progress));
        items.extend(
            health
                .into_iter()
                .map(|(upstream, health)| item::Item::Health { upstream, health }),
        );
        items.extend(
            self.pool_loads
                .iter()
                .map(|(pool, total)| item::Item::Load {
                    pool: *pool,
                    total: *total,
                }),
        );
        items.extend(
            demand
                .into_iter()
                .map(|(customer, rate)| item::Item::Demand { customer, rate }),
        );
        items.into_iter().map(|item| (item.key(), item)).collect()
    }
}

/// Deducts the encoded size of an item from the token bucket `tokens`, in bytes; returns false if
/// the bucket holds fewer bytes.
fn take_tokens(tokens: &mut usize, item: &item::Item) -> bool {
    let encoded_size = item.encoded_size();
    if encoded_size > *tokens {
        return false;
    }
    *tokens -= encoded_size;
    true
}

/// Whether an item has to be published: it differs sufficiently from the published value, and the
/// minimum interval since the last publication has passed. Progress and unhealthy upstreams are
/// also published unchanged at regular intervals.
fn is_due(now: clock::Millis, items: &item_set::ItemSet, item: &item::Item) -> bool {
    let Some(held) = items.get(item.key()) else {
        return !item.is_tombstone();
    };
    let age = now.since(held.set_at);
    match (&held.item, item) {
        (item::Item::Progress(_), item::Item::Progress(_)) => {
            held.item != *item || age >= timing::PROGRESS_REFRESH_INTERVAL
        }
        (item::Item::Health { .. }, item::Item::Health { .. }) => {
            held.item != *item || !item.is_tombstone() && age >= timing::HEALTH_REFRESH_INTERVAL
        }
        (item::Item::Demand { rate: old, .. }, item::Item::Demand { rate: new, .. }) => {
            age >= timing::SOFT_STATE_INTERVAL && differs_noticeably(*old, *new)
        }
        (item::Item::Load { total: old, .. }, item::Item::Load { total: new, .. }) => {
            age >= timing::SOFT_STATE_INTERVAL
                && (differs_noticeably(old.running, new.running)
                    || differs_noticeably(old.queued, new.queued)
                    || differs_noticeably(old.capacity, new.capacity))
        }
        (old, new) => old != new,
    }
}

/// Whether a value changed by more than a tenth, or to or from zero.
fn differs_noticeably(old: u32, new: u32) -> bool {
    (old == 0) != (new == 0) || u64::from(old.abs_diff(new)) * 10 > u64::from(old)
}

/// Returns the tombstone that revokes `item` in a summary, unless `item` cannot be revoked or is
/// itself a tombstone.
fn tombstone(item: &item::Item) -> Option<item::Item> {
    if item.is_tombstone() {
        return None;
    }
    match item {
        item::Item::Health { upstream, .. } => Some(item::Item::Health {
            upstream: *upstream,
            health: health::Health::Healthy,
        }),
        item::Item::Demand { customer, .. } => Some(item::Item::Demand {
            customer: *customer,
            rate: 0,
        }),
        item::Item::Load { pool, .. } => Some(item::Item::Load {
            pool: *pool,
            total: load_total::LoadTotal::default(),
        }),
        item::Item::Member { record, .. } => Some(item::Item::Member {
            record: record.clone(),
            status: status::Status::Dead,
        }),
        item::Item::NodeRecord(_) | item::Item::Progress(_) | item::Item::Prefix(_) => None,
    }
}
