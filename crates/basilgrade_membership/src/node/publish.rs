//! Publication of own items and of the domain's summary.

use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::rate;
use indexmap::IndexMap;

use crate::health;
use crate::item;
use crate::item_key;
use crate::ledger;
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

/// Age after which a prefix hint is dropped.
const PREFIX_TTL: clock::Millis = clock::Millis(120_000);

impl node::Node {
    /// Reports the health of an upstream as this daemon observes it.
    ///
    /// While it is not healthy it is repeated, because others forget it after
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
        let held = self.own().ledger.get(key).map(|held| &held.item);
        if held == Some(&item) || held.is_none() && item.is_withdrawal() {
            return;
        }
        self.own_mut().ledger.set(now, item);
        self.schedule_urgent(now);
    }

    /// Sets the load total of a pool in the own domain, from this daemon's polls. It is
    /// disseminated to other domains while this daemon writes the domain's summary.
    pub fn set_load(&mut self, pool: &id::PoolId, total: load_total::LoadTotal) {
        let pool = tag::Tag::of(pool.as_str());
        if self.loads.len() < limits::PENDING_LIMIT || self.loads.contains_key(&pool) {
            self.loads.insert(pool, total);
        }
    }

    /// Sets this daemon's demand of a customer. The caller reports customers above a tenth of
    /// their quota, and zero once when one falls below.
    pub fn set_demand(&mut self, customer: &id::CustomerId, rate: rate::RequestRate) {
        let customer = tag::Tag::of(customer.as_str());
        if self.demand.len() < limits::PENDING_LIMIT || self.demand.contains_key(&customer) {
            self.demand.insert(customer, (rate.0 * 10.0).round() as u32);
        }
    }

    /// Offers a prefix hint to the other members of the domain.
    pub fn add_prefix_hint(&mut self, hint: prefix_hint::PrefixHint) {
        if self.hints_pending.len() >= limits::PENDING_LIMIT {
            self.hints_pending.pop_front();
        }
        self.hints_pending.push_back(hint);
    }

    /// Publishes what is due in this round and drops what has expired.
    pub(super) fn publish(&mut self, now: clock::Millis) {
        self.repeat_health(now);
        self.publish_soft(now);
        if self.reads_log(now) {
            self.write_summary(now);
        }
        let expired = |held: &ledger::Held| {
            matches!(held.item, item::Item::Prefix(_)) && now.since(held.at) > PREFIX_TTL
        };
        for member in self.members.values_mut() {
            member.ledger.prune(now);
            member.ledger.discard(expired);
        }
        for summary in self.domains.values_mut() {
            summary.ledger.prune(now);
        }
    }

    fn repeat_health(&mut self, now: clock::Millis) {
        let due: Vec<item::Item> = self
            .own()
            .ledger
            .iter()
            .filter(|held| {
                matches!(held.item, item::Item::Health { .. })
                    && !held.item.is_withdrawal()
                    && now.since(held.at) >= timing::HEALTH_REPEAT
            })
            .map(|held| held.item.clone())
            .collect();
        for item in due {
            self.own_mut().ledger.set(now, item);
        }
    }

    /// Publishes demand, then prefix hints, within this daemon's part of the domain's soft rate.
    fn publish_soft(&mut self, now: clock::Millis) {
        let live = self.live_count();
        let share = limits::DOMAIN_SOFT_RATE / live.max(1);
        self.soft_tokens = (self.soft_tokens + share).min(share.max(64) * 4);
        let mut items: Vec<item::Item> = self
            .demand
            .iter()
            .map(|(customer, rate)| item::Item::Demand {
                customer: *customer,
                rate: *rate,
            })
            .filter(|item| is_due(now, &self.own().ledger, item))
            .collect();
        // The longest unpublished first, so that a full budget delays every customer alike.
        items.sort_by_key(|item| self.own().ledger.get(item.key()).map(|held| held.at));
        for item in items {
            if !spend(&mut self.soft_tokens, &item) {
                return;
            }
            self.own_mut().ledger.set(now, item);
        }
        self.demand.retain(|_, rate| *rate > 0);
        while let Some(hint) = self.hints_pending.pop_back() {
            let item = item::Item::Prefix(hint);
            if !spend(&mut self.soft_tokens, &item) {
                self.hints_pending.push_back(hint);
                break;
            }
            self.own_mut().ledger.set(now, item);
        }
        self.limit_own_hints();
    }

    fn limit_own_hints(&mut self) {
        let ledger = &mut self.own_mut().ledger;
        let is_hint = |held: &ledger::Held| matches!(held.item, item::Item::Prefix(_));
        let count = ledger.iter().filter(|held| is_hint(held)).count();
        let mut excess = count.saturating_sub(limits::PREFIX_LIMIT);
        if excess == 0 {
            return;
        }
        ledger.discard(|held| {
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

    /// Brings the summary of the own domain up to date.
    fn write_summary(&mut self, now: clock::Millis) {
        let share = limits::FLEET_SOFT_RATE / self.domains.len().max(1);
        self.fleet_tokens = (self.fleet_tokens + share).min(share.max(64) * 4);
        let desired = self.desired_summary(now);
        let own = self.tag;
        let domain = self.settings.record.domain.clone();
        let summary = self
            .domains
            .entry(tag::Tag::of(domain.as_str()))
            .or_insert_with(|| summary::Summary::new(domain, now));
        if summary.term.writer != own {
            summary.term = term::Term {
                number: summary.term.number + 1,
                writer: own,
            };
            summary.ledger = ledger::Ledger::default();
        }
        summary.heard = now;
        let withdrawn: Vec<item::Item> = summary
            .ledger
            .iter()
            .filter(|held| !desired.contains_key(&held.item.key()))
            .filter_map(|held| withdrawal(&held.item))
            .collect();
        for item in desired.into_values().chain(withdrawn) {
            let soft = matches!(item, item::Item::Load { .. } | item::Item::Demand { .. });
            if is_due(now, &summary.ledger, &item)
                && (!soft || spend(&mut self.fleet_tokens, &item))
            {
                summary.ledger.set(now, item);
            }
        }
    }

    /// What the summary of the own domain should say.
    fn desired_summary(&self, now: clock::Millis) -> IndexMap<item_key::ItemKey, item::Item> {
        let mut progress = progress::Progress::default();
        let mut health: IndexMap<tag::Tag, health::Health> = IndexMap::new();
        let mut demand: IndexMap<tag::Tag, u32> = IndexMap::new();
        let mut items = Vec::new();
        for member in self.members.values() {
            // A suspicion mostly ends within a second, so other domains learn only of deaths.
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
            progress.control = progress.control.max(own.control);
            for held in member.ledger.iter() {
                match &held.item {
                    item::Item::Health {
                        upstream,
                        health: own,
                    } if now.since(held.at) < timing::HEALTH_TTL => {
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
        items.extend(self.loads.iter().map(|(pool, total)| item::Item::Load {
            pool: *pool,
            total: *total,
        }));
        items.extend(
            demand
                .into_iter()
                .map(|(customer, rate)| item::Item::Demand { customer, rate }),
        );
        items.into_iter().map(|item| (item.key(), item)).collect()
    }
}

/// Takes the size of an item from a budget, if it suffices.
fn spend(tokens: &mut usize, item: &item::Item) -> bool {
    let weight = item.weight();
    if weight > *tokens {
        return false;
    }
    *tokens -= weight;
    true
}

/// Whether an item differs enough from what is published, and that is old enough.
fn is_due(now: clock::Millis, ledger: &ledger::Ledger, item: &item::Item) -> bool {
    let Some(held) = ledger.get(item.key()) else {
        return !item.is_withdrawal();
    };
    let age = now.since(held.at);
    match (&held.item, item) {
        (item::Item::Progress(_), item::Item::Progress(_)) => {
            held.item != *item || age >= timing::RESTATE_AFTER
        }
        (item::Item::Health { .. }, item::Item::Health { .. }) => {
            held.item != *item || !item.is_withdrawal() && age >= timing::HEALTH_REPEAT
        }
        (item::Item::Demand { rate: old, .. }, item::Item::Demand { rate: new, .. }) => {
            age >= timing::SOFT_INTERVAL && differs(*old, *new)
        }
        (item::Item::Load { total: old, .. }, item::Item::Load { total: new, .. }) => {
            age >= timing::SOFT_INTERVAL
                && (differs(old.running, new.running)
                    || differs(old.queued, new.queued)
                    || differs(old.capacity, new.capacity))
        }
        (old, new) => old != new,
    }
}

/// Whether a number changed by more than a tenth, or to or from zero.
fn differs(old: u32, new: u32) -> bool {
    (old == 0) != (new == 0) || u64::from(old.abs_diff(new)) * 10 > u64::from(old)
}

/// The item that withdraws `item` from a summary, if it can be withdrawn.
fn withdrawal(item: &item::Item) -> Option<item::Item> {
    if item.is_withdrawal() {
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
        item::Item::Record(_) | item::Item::Progress(_) | item::Item::Prefix(_) => None,
    }
}
