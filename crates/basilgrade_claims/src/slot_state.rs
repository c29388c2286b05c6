//! What a daemon knows of one slot.

use basilgrade_journal::grant;
use basilgrade_journal::history;
use basilgrade_journal::node;
use basilgrade_journal::ownership;
use basilgrade_types::clock;
use basilgrade_types::offset;
use indexmap::IndexMap;

use crate::claim_key;
use crate::claim_table;
use crate::pending;
use crate::sync;

/// What a daemon knows of one slot, in whatever role.
#[derive(Debug, Default)]
pub(crate) struct SlotState {
    /// The newest ownership known.
    pub(crate) ownership: Option<ownership::Ownership>,
    /// The claims, if this daemon is a member.
    pub(crate) table: claim_table::ClaimTable,
    /// Keys created before this instant and not in the table never run.
    pub(crate) floor: clock::Millis,
    /// The newest key creation time seen.
    pub(crate) newest: clock::Millis,
    /// The pair under which this daemon has all claims.
    pub(crate) synced: Option<offset::Offset>,
    /// As a new backup: the next part of the table expected.
    pub(crate) expected: u32,
    /// As a new backup: when the primary was last told that claims are missing.
    pub(crate) asked: clock::Millis,
    /// As primary: how much the backup has.
    pub(crate) backup: sync::Sync,
    /// As primary: changes that the backup has not acknowledged.
    pub(crate) pending: IndexMap<claim_key::TableKey, pending::Pending>,
    /// As primary: the ceiling of a release that was appended and may still take effect.
    ///
    /// No claim is granted until another epoch makes that release void.
    pub(crate) releasing: Option<clock::Millis>,
    /// Since when the slot has had no owner, as far as this daemon knows.
    pub(crate) unowned: Option<clock::Millis>,
}

impl SlotState {
    /// The grant in force.
    pub(crate) fn grant(&self) -> Option<&grant::Grant> {
        self.ownership
            .as_ref()
            .and_then(|ownership| ownership.grant.as_ref())
    }

    /// The epoch in force; 0 if none is known.
    pub(crate) fn epoch(&self) -> offset::Offset {
        self.ownership
            .as_ref()
            .map_or(offset::Offset(0), |ownership| ownership.epoch)
    }

    /// The pair in force.
    pub(crate) fn pair(&self) -> Option<offset::Offset> {
        self.ownership.as_ref().map(|ownership| ownership.pair)
    }

    /// Whether `node` is the primary.
    pub(crate) fn is_primary(&self, node: &node::Node) -> bool {
        self.grant().is_some_and(|grant| grant.primary == *node)
    }

    /// Whether `node` is the backup.
    pub(crate) fn is_backup(&self, node: &node::Node) -> bool {
        self.grant()
            .is_some_and(|grant| grant.backup.as_ref() == Some(node))
    }

    /// Whether this daemon has all claims of the pair in force.
    pub(crate) fn is_synced(&self) -> bool {
        self.synced.is_some() && self.synced == self.pair()
    }

    /// Takes a newer ownership into force and says whether the claims were kept.
    pub(crate) fn adopt(&mut self, me: &node::Node, ownership: ownership::Ownership) -> Kept {
        let member = ownership
            .grant
            .as_ref()
            .is_some_and(|grant| grant.has_member(me));
        let kept = if member {
            self.join(me, &ownership)
        } else {
            Kept::No
        };
        if matches!(kept, Kept::No) {
            self.reset();
        }
        if let Some(grant) = &ownership.grant {
            self.floor = self.floor.max(grant.floor);
            if member && matches!(kept, Kept::No) && begins_empty(&ownership, grant) {
                self.synced = Some(ownership.pair);
            }
        }
        self.releasing = None;
        self.unowned = None;
        self.ownership = Some(ownership);
        kept
    }

    /// Decides whether the claims at hand are those of the new pair.
    fn join(&mut self, me: &node::Node, ownership: &ownership::Ownership) -> Kept {
        if !self.is_synced() {
            // A transfer under way goes on across a renewal.
            return if self.pair() == Some(ownership.pair) {
                Kept::Pair
            } else {
                Kept::No
            };
        }
        if self.synced == Some(ownership.pair) {
            return Kept::Pair;
        }
        let grant = ownership.grant.as_ref();
        let primary = grant.is_some_and(|grant| grant.primary == *me);
        if !primary || ownership.former.is_none() || self.synced != ownership.former {
            return Kept::No;
        }
        self.synced = Some(ownership.pair);
        self.backup = if grant.is_some_and(|grant| grant.backup.is_some()) {
            sync::Sync::START
        } else {
            sync::Sync::Complete
        };
        Kept::Claims
    }

    fn reset(&mut self) {
        self.table.clear();
        self.pending.clear();
        self.floor = clock::Millis::ZERO;
        self.newest = clock::Millis::ZERO;
        self.synced = None;
        self.expected = 0;
        self.asked = clock::Millis::ZERO;
        self.backup = sync::Sync::Complete;
    }
}

/// What remained of a slot's claims when an ownership was adopted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kept {
    /// Everything: the pair is unchanged.
    Pair,
    /// The claims: the pair is new and this daemon is its primary.
    Claims,
    /// Nothing: this daemon is no member, or begins without claims.
    No,
}

/// Whether the pair began with this very ownership and without claims, so that its members have all.
fn begins_empty(ownership: &ownership::Ownership, grant: &grant::Grant) -> bool {
    grant.history == history::History::Lost && ownership.pair == ownership.epoch
}
