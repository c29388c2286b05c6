//! Acquiring, renewing and using the placement lease of a failure domain.

use basilgrade_types::clock;
use basilgrade_types::fence;
use basilgrade_types::id;
use basilgrade_types::offset;
use bytes::Bytes;
use uuid::Uuid;

use crate::control_record;
use crate::control_state;
use crate::encode;
use crate::lease;
use crate::node;

/// How many unanswered proposals are remembered; older ones are void by the time to live.
const PROPOSAL_LIMIT: usize = 8;

/// Whether the engines of the domain refuse orders with an old fencing number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fencing {
    /// Engines refuse an order whose number is lower than one they have seen.
    Checked,
    /// Engines ignore the number.
    Ignored,
}

/// Times of the lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTimes {
    /// How long a holder sends orders without renewal.
    pub ttl: clock::Millis,
    /// What a new holder waits beyond the former holder's `ttl` for orders still under way, where
    /// engines ignore fencing numbers.
    pub margin: clock::Millis,
    /// How long after an append without visible effect another is tried.
    pub retry: clock::Millis,
}

#[derive(Clone, Copy, Debug)]
struct Proposal {
    id: Uuid,
    sent: clock::Millis,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    offset: offset::Offset,
    expiry: clock::Millis,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    offset: offset::Offset,
    until: clock::Millis,
    orders_from: clock::Millis,
}

/// One daemon's view of its domain's lease.
///
/// The holder counts its time to live from before it appended the record, every other daemon from
/// when it read the record, so the holder stops first whatever the clocks say.
#[derive(Clone, Debug)]
pub struct LeaseManager {
    node: node::Node,
    domain: id::DomainId,
    fencing: Fencing,
    times: LeaseTimes,
    seen: Option<Seen>,
    proposals: Vec<Proposal>,
    held: Option<Held>,
}

impl LeaseManager {
    /// A manager that holds nothing.
    pub const fn new(
        node: node::Node,
        domain: id::DomainId,
        fencing: Fencing,
        times: LeaseTimes,
    ) -> Self {
        Self {
            node,
            domain,
            fencing,
            times,
            seen: None,
            proposals: Vec::new(),
            held: None,
        }
    }

    /// Takes note of the lease in force; call after each read of stream `control`.
    pub fn observe(&mut self, now: clock::Millis, state: &control_state::ControlState) {
        let Some(lease) = state.lease(&self.domain) else {
            return;
        };
        if self.seen.is_some_and(|seen| seen.offset >= lease.offset) {
            return;
        }
        self.seen = Some(Seen {
            offset: lease.offset,
            expiry: now.plus(lease.ttl),
        });
        if lease.holder != self.node {
            self.held = None;
            self.proposals.clear();
            return;
        }
        self.take(now, lease);
    }

    fn take(&mut self, now: clock::Millis, lease: &lease::Lease) {
        let sent = self
            .proposals
            .iter()
            .find(|proposal| proposal.id == lease.id)
            .map(|proposal| proposal.sent);
        self.proposals.clear();
        // Without the time before its append, the age of a lease is unknown.
        let Some(sent) = sent.filter(|_| lease.ttl > clock::Millis::ZERO) else {
            self.held = None;
            return;
        };
        let orders_from = match (self.held, self.fencing) {
            // A renewal by the holder that was already sending orders.
            (Some(held), _) => held.orders_from,
            (None, Fencing::Checked) => now,
            (None, Fencing::Ignored) if lease.former == clock::Millis::ZERO => now,
            (None, Fencing::Ignored) => now.plus(lease.former).plus(self.times.margin),
        };
        self.held = Some(Held {
            offset: lease.offset,
            until: sent.plus(lease.ttl),
            orders_from,
        });
    }

    /// The record to append now, if any.
    ///
    /// `candidate` says whether this daemon should write the domain's placement if nobody does;
    /// one daemon per domain should answer yes, but several are safe.
    pub fn propose(&mut self, now: clock::Millis, id: Uuid, candidate: bool) -> Option<Bytes> {
        if self
            .proposals
            .last()
            .is_some_and(|proposal| now < proposal.sent.plus(self.times.retry))
        {
            return None;
        }
        let wanted = match (self.held, self.seen) {
            (Some(held), _) => now >= held.until - clock::Millis(self.times.ttl.0 * 2 / 3),
            (None, Some(seen)) => candidate && now >= seen.expiry,
            (None, None) => candidate,
        };
        if !wanted {
            return None;
        }
        if self.proposals.len() == PROPOSAL_LIMIT {
            self.proposals.remove(0);
        }
        self.proposals.push(Proposal { id, sent: now });
        Some(self.record(id, self.times.ttl))
    }

    /// A record that gives the lease up, if it is held; no order may be sent afterwards.
    pub fn release(&mut self, id: Uuid) -> Option<Bytes> {
        self.held.take()?;
        self.proposals.clear();
        Some(self.record(id, clock::Millis::ZERO))
    }

    fn record(&self, id: Uuid, ttl: clock::Millis) -> Bytes {
        encode::json_line(&control_record::ControlRecord::Lease {
            id,
            domain: self.domain.clone(),
            holder: self.node.clone(),
            prev: self.seen.map(|seen| seen.offset),
            ttl,
        })
    }

    /// The fencing number for an order sent now; `None` if no order may be sent.
    pub fn fence(&self, now: clock::Millis) -> Option<fence::Fence> {
        self.held
            .filter(|held| now < held.until && now >= held.orders_from)
            .map(|held| fence::Fence(held.offset.0))
    }
}
