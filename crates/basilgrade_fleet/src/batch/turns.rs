//! Work that a queue has done for each customer, by which customers take turns.

use std::collections::BTreeMap;

use indexmap::IndexMap;

/// Pieces that a customer may be served ahead of the others after it was served less than these.
///
/// Arrivals are irregular: a customer whose share is a few jobs a second often has none waiting for a
/// while. Without credit it would lose the share of that time, and get 0.7 to 0.9 of a fair one. The
/// credit also bounds the time for which returning customers displace one that was served alone.
const CREDIT: f64 = 32.0;

/// Maximum number of customers of a priority that are remembered.
const MAX_CUSTOMERS: usize = 1024;

/// Start-time fair queueing with limited credit, for each priority separately.
///
/// The tag of a customer counts the pieces that were sent for it. A customer that was served less
/// than the others lags by `CREDIT` at most, so one that was served alone before owes nothing to
/// those that return. Tags that lag further need not be kept.
#[derive(Debug, Default)]
pub struct Turns {
    levels: BTreeMap<u8, Level>,
}

#[derive(Debug, Default)]
struct Level {
    /// Greatest tag at which a piece was sent.
    clock: f64,
    /// Tag of the next piece of each customer.
    tags: IndexMap<u64, f64>,
}

impl Level {
    fn floor(&self) -> f64 {
        self.clock - CREDIT
    }

    fn tag(&self, customer: u64) -> f64 {
        let known = self.tags.get(&customer).copied();
        known.map_or(self.floor(), |tag| tag.max(self.floor()))
    }
}

impl Turns {
    /// Tag of the next piece of `customer` at the priority `level`; the least is served first.
    pub fn tag(&self, level: u8, customer: u64) -> f64 {
        self.levels
            .get(&level)
            .map_or(-CREDIT, |level| level.tag(customer))
    }

    /// Records that `pieces` of `customer` are sent at the priority `level`.
    pub fn charge(&mut self, level: u8, customer: u64, pieces: usize) {
        let level = self.levels.entry(level).or_default();
        let tag = level.tag(customer);
        level.clock = level.clock.max(tag);
        level.tags.insert(customer, tag + pieces as f64);
        if level.tags.len() <= MAX_CUSTOMERS {
            return;
        }
        let floor = level.floor();
        level.tags.retain(|_, tag| *tag > floor);
        if level.tags.len() > MAX_CUSTOMERS {
            // Customers with the lowest tags lose them and get the full credit.
            level.tags.sort_by(|_, one, _, other| other.total_cmp(one));
            level.tags.truncate(MAX_CUSTOMERS / 2);
        }
    }

    /// Number of customers that are remembered.
    pub fn len(&self) -> usize {
        self.levels.values().map(|level| level.tags.len()).sum()
    }

    /// Whether no customer is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
