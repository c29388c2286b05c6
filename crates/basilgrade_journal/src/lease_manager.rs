//! Acquisition, renewal and use of the placement lease of a failure domain.
//!
//! The holder of the lease is the placement writer of the failure domain: it sends orders to load
//! or unload weights to the engines, each with the fencing number of the lease.

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

/// The number of proposals kept whose record was not seen in the stream yet; by the time that
/// older ones appear, their time to live has passed.
const PROPOSAL_LIMIT: usize = 8;

/// Whether the engines of a failure domain check the fencing numbers of orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fencing {
    /// Engines refuse an order whose fencing number is lower than one that they have seen.
    Checked,
    /// Engines ignore the fencing number.
    Ignored,
}

/// Durations that govern the placement lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTimes {
    /// The time to live of a lease: how long its holder may send orders without renewing it.
    pub ttl: clock::Millis,
    /// If engines ignore fencing numbers: how much longer than the previous holder's `ttl` a new
    /// holder waits before its first order, so that orders in transit arrive earlier.
    pub margin: clock::Millis,
    /// The delay before another lease record is appended if the last one is not seen in the stream.
    pub retry: clock::Millis,
}

/// A lease record that was handed out for appending and has not been seen in the stream yet.
#[derive(Clone, Copy, Debug)]
struct Proposal {
    id: Uuid,
    sent: clock::Millis,
}

/// The newest lease read from the stream, of any holder.
#[derive(Clone, Copy, Debug)]
struct ObservedLease {
    offset: offset::Offset,
    expiry: clock::Millis,
}

/// The lease that this daemon holds.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    offset: offset::Offset,
    expiry: clock::Millis,
    orders_from: clock::Millis,
}

/// Manages the placement lease of one failure domain for one daemon.
///
/// The holder measures the time to live from just before it appended the record, every other daemon
/// from when it read the record. The holder therefore stops first, whatever the difference between
/// the clocks.
#[derive(Clone, Debug)]
pub struct LeaseManager {
    node: node::Node,
    domain: id::DomainId,
    fencing: Fencing,
    times: LeaseTimes,
    observed: Option<ObservedLease>,
    proposals: Vec<Proposal>,
    held: Option<HeldLease>,
}

impl LeaseManager {
    /// Creates a manager for a daemon that does not hold the lease.
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
            observed: None,
            proposals: Vec::new(),
            held: None,
        }
    }

    /// Updates the manager from the lease in force; call after each read of stream `control`.
    pub fn observe(&mut self, now: clock::Millis, state: &control_state::ControlState) {
        let Some(lease) = state.lease(&self.domain) else {
            return;
        };
        if self
            .observed
            .is_some_and(|observed| observed.offset >= lease.offset)
        {
            return;
        }
        self.observed = Some(ObservedLease {
            offset: lease.offset,
            expiry: now.plus(lease.ttl),
        });
        if lease.holder != self.node {
            self.held = None;
            self.proposals.clear();
            return;
        }
        self.update_held(now, lease);
    }

    fn update_held(&mut self, now: clock::Millis, lease: &lease::Lease) {
        let sent = self
            .proposals
            .iter()
            .find(|proposal| proposal.id == lease.id)
            .map(|proposal| proposal.sent);
        self.proposals.clear();
        // A lease is not used if the time before its append is unknown: its age is unknown then.
        let Some(sent) = sent.filter(|_| lease.ttl > clock::Millis::ZERO) else {
            self.held = None;
            return;
        };
        let orders_from = match (self.held, self.fencing) {
            // A renewal: this daemon already held the lease.
            (Some(held), _) => held.orders_from,
            (None, Fencing::Checked) => now,
            (None, Fencing::Ignored) if lease.former == clock::Millis::ZERO => now,
            (None, Fencing::Ignored) => now.plus(lease.former).plus(self.times.margin),
        };
        self.held = Some(HeldLease {
            offset: lease.offset,
            expiry: sent.plus(lease.ttl),
            orders_from,
        });
    }

    /// Returns the lease record to append now, if one is due.
    ///
    /// `candidate` tells whether this daemon should become the placement writer if there is none.
    /// It should be true for one daemon per failure domain; several are safe.
    pub fn propose(&mut self, now: clock::Millis, id: Uuid, candidate: bool) -> Option<Bytes> {
        if self
            .proposals
            .last()
            .is_some_and(|proposal| now < proposal.sent.plus(self.times.retry))
        {
            return None;
        }
        let due = match (self.held, self.observed) {
            (Some(held), _) => now >= held.expiry - clock::Millis(self.times.ttl.0 * 2 / 3),
            (None, Some(observed)) => candidate && now >= observed.expiry,
            (None, None) => candidate,
        };
        if !due {
            return None;
        }
        if self.proposals.len() == PROPOSAL_LIMIT {
            self.proposals.remove(0);
        }
        self.proposals.push(Proposal { id, sent: now });
        Some(self.encode_lease(id, self.times.ttl))
    }

    /// Returns a record that releases the lease, if this daemon holds it; no order may be sent
    /// afterwards.
    pub fn release(&mut self, id: Uuid) -> Option<Bytes> {
        self.held.take()?;
        self.proposals.clear();
        Some(self.encode_lease(id, clock::Millis::ZERO))
    }

    fn encode_lease(&self, id: Uuid, ttl: clock::Millis) -> Bytes {
        encode::json_line(&control_record::ControlRecord::Lease {
            id,
            domain: self.domain.clone(),
            holder: self.node.clone(),
            prev: self.observed.map(|observed| observed.offset),
            ttl,
        })
    }

    /// The fencing number for an order sent at `now`; `None` if no order may be sent.
    pub fn fence(&self, now: clock::Millis) -> Option<fence::Fence> {
        self.held
            .filter(|held| now < held.expiry && now >= held.orders_from)
            .map(|held| fence::Fence(held.offset.0))
    }
}
