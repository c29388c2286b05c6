//! State that a daemon keeps for one slot.

use basilgrade_journal::grant;
use basilgrade_journal::history;
use basilgrade_journal::node;
use basilgrade_journal::ownership;
use basilgrade_types::clock;
use basilgrade_types::offset;
use indexmap::IndexMap;

use crate::claim_key;
use crate::claim_table;
use crate::pending_change;
use crate::sync;

/// State that a daemon keeps for one slot, whether or not it owns the slot.
///
/// A slot is a part of the key space that a grant assigns to a pair of members, a primary and a
/// backup. Each ownership record of a slot begins a new epoch; a pair can last several epochs.
#[derive(Debug, Default)]
pub(crate) struct SlotState {
    /// The newest ownership known.
    pub(crate) ownership: Option<ownership::Ownership>,
    /// The claims on keys of the slot; empty if this daemon is neither primary nor backup.
    pub(crate) table: claim_table::ClaimTable,
    /// Keys created before this instant that are not in the table are never granted.
    pub(crate) floor: clock::Millis,
    /// The newest creation time of a key in the table so far.
    pub(crate) newest_created: clock::Millis,
    /// The pair under which this daemon has all claims.
    pub(crate) synced_pair: Option<offset::Offset>,
    /// As new backup: the index of the next expected part of the transferred table.
    pub(crate) expected_part: u32,
    /// As new backup: when this daemon last told the primary that it lacks claims.
    pub(crate) sync_requested: clock::Millis,
    /// As primary: the progress of the transfer of the table to the backup.
    pub(crate) backup_sync: sync::BackupSync,
    /// As primary: the changes of claims that the backup has not acknowledged.
    pub(crate) pending_changes: IndexMap<claim_key::TableKey, pending_change::PendingChange>,
    /// As primary: the ceiling of a release that was appended to the log and may still take effect.
    ///
    /// While it is set, no claim is granted. The next epoch clears it, because the release then has
    /// taken effect or can no longer do so.
    pub(crate) release_ceiling: Option<clock::Millis>,
    /// When this daemon first found the slot without a live owner.
    pub(crate) unowned_since: Option<clock::Millis>,
}

impl SlotState {
    /// The current grant; `None` if no ownership is known or the slot was released.
    pub(crate) fn grant(&self) -> Option<&grant::Grant> {
        self.ownership
            .as_ref()
            .and_then(|ownership| ownership.grant.as_ref())
    }

    /// The newest known epoch; 0 if none is known.
    pub(crate) fn epoch(&self) -> offset::Offset {
        self.ownership
            .as_ref()
            .map_or(offset::Offset(0), |ownership| ownership.epoch)
    }

    /// The log offset since which the current pair owns the slot.
    pub(crate) fn pair(&self) -> Option<offset::Offset> {
        self.ownership.as_ref().map(|ownership| ownership.pair)
    }

    pub(crate) fn is_primary(&self, node: &node::Node) -> bool {
        self.grant().is_some_and(|grant| grant.primary == *node)
    }

    pub(crate) fn is_backup(&self, node: &node::Node) -> bool {
        self.grant()
            .is_some_and(|grant| grant.backup.as_ref() == Some(node))
    }

    /// Whether this daemon has all claims of the current pair.
    pub(crate) fn is_synced(&self) -> bool {
        self.synced_pair.is_some() && self.synced_pair == self.pair()
    }

    /// Applies a newer ownership and returns which state of the slot was retained.
    pub(crate) fn apply_ownership(
        &mut self,
        me: &node::Node,
        ownership: ownership::Ownership,
    ) -> Retained {
        let member = ownership
            .grant
            .as_ref()
            .is_some_and(|grant| grant.has_member(me));
        let retained = if member {
            self.join_pair(me, &ownership)
        } else {
            Retained::Nothing
        };
        if matches!(retained, Retained::Nothing) {
            self.reset_claims();
        }
        if let Some(grant) = &ownership.grant {
            self.floor = self.floor.max(grant.floor);
            if member && matches!(retained, Retained::Nothing) && begins_empty(&ownership, grant) {
                self.synced_pair = Some(ownership.pair);
            }
        }
        self.release_ceiling = None;
        self.unowned_since = None;
        self.ownership = Some(ownership);
        retained
    }

    /// Decides whether the claims in the table are valid for the pair of `ownership`, of which this
    /// daemon is a member.
    fn join_pair(&mut self, me: &node::Node, ownership: &ownership::Ownership) -> Retained {
        if !self.is_synced() {
            // A renewal keeps the pair, so a transfer of the table continues.
            return if self.pair() == Some(ownership.pair) {
                Retained::Everything
            } else {
                Retained::Nothing
            };
        }
        if self.synced_pair == Some(ownership.pair) {
            return Retained::Everything;
        }
        let grant = ownership.grant.as_ref();
        let primary = grant.is_some_and(|grant| grant.primary == *me);
        if !primary || ownership.former.is_none() || self.synced_pair != ownership.former {
            return Retained::Nothing;
        }
        self.synced_pair = Some(ownership.pair);
        self.backup_sync = if grant.is_some_and(|grant| grant.backup.is_some()) {
            sync::BackupSync::NOT_STARTED
        } else {
            sync::BackupSync::Complete
        };
        Retained::Claims
    }

    fn reset_claims(&mut self) {
        self.table.clear();
        self.pending_changes.clear();
        self.floor = clock::Millis::ZERO;
        self.newest_created = clock::Millis::ZERO;
        self.synced_pair = None;
        self.expected_part = 0;
        self.sync_requested = clock::Millis::ZERO;
        self.backup_sync = sync::BackupSync::Complete;
    }
}

/// Which state of a slot was retained when a newer ownership was applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Retained {
    /// All state, because the pair is unchanged.
    Everything,
    /// The claims, because this daemon has them and is the primary of the new pair.
    Claims,
    /// No state, because this daemon is no member of the pair or begins without claims.
    Nothing,
}

/// Whether the pair begins with this ownership record and without claims. Its members then have
/// all claims of the pair, because there are none.
fn begins_empty(ownership: &ownership::Ownership, grant: &grant::Grant) -> bool {
    grant.history == history::History::Lost && ownership.pair == ownership.epoch
}
