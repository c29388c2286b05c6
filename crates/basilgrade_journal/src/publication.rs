//! A publication of a new configuration revision, and its outcome.

use basilgrade_types::offset;
use basilgrade_types::revision;
use bytes::Bytes;
use uuid::Uuid;

use crate::config_record;
use crate::config_state;
use crate::encode;

/// The result of appending a record to the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendResult {
    /// The log stored the record at this offset.
    Stored(offset::Offset),
    /// The log refused the record and will never store it.
    Refused,
    /// The response was lost: the record may be stored already, or later, or never.
    Unknown,
}

/// The outcome of a publication, as far as it is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The publication created this revision.
    Accepted(revision::Revision),
    /// Another publication against the same base came first, so this one never takes effect;
    /// contains the revision in force.
    Conflict(revision::Revision),
    /// The delta does not apply to the text of the base; contains the revision of the base, which
    /// is in force.
    Rejected(revision::Revision),
    /// The log refused the record; the change can be published again.
    NotAppended,
    /// The outcome is not known yet; reading the stream further will show it.
    Pending,
    /// The outcome can no longer be determined: the state does not keep the id of the publication
    /// that created revision `base + 1` any more.
    Undetermined,
}

/// A publication whose record is about to be appended or has been appended.
///
/// The record is appended only once. If the response to the append is lost, the stream shows the
/// outcome: if the publication that created revision `base + 1` has another id, this one can never
/// take effect.
#[derive(Clone, Debug)]
pub struct Publication {
    id: Uuid,
    base: revision::Revision,
    append_result: Option<AppendResult>,
}

impl Publication {
    /// Creates a publication, and the entry body to append to the log exactly once.
    pub fn new(id: Uuid, base: revision::Revision, change: config_record::Change) -> (Self, Bytes) {
        let record = config_record::ConfigRecord::Publish { id, base, change };
        let publication = Self {
            id,
            base,
            append_result: None,
        };
        (publication, encode::json_line(&record))
    }

    /// Stores the result of the append.
    pub const fn appended(&mut self, append_result: AppendResult) {
        self.append_result = Some(append_result);
    }

    /// The outcome, given the state of stream `config` after all records before offset `next`.
    pub fn outcome(&self, state: &config_state::ConfigState, next: offset::Offset) -> Outcome {
        if self.append_result == Some(AppendResult::Refused) {
            return Outcome::NotAppended;
        }
        let revision = state.revision();
        if revision > self.base {
            return match state.publication(self.base.next()) {
                Some(id) if id == self.id => Outcome::Accepted(self.base.next()),
                Some(_) => Outcome::Conflict(revision),
                None => Outcome::Undetermined,
            };
        }
        match self.append_result {
            Some(AppendResult::Stored(offset)) if next > offset && revision == self.base => {
                Outcome::Rejected(revision)
            }
            Some(AppendResult::Stored(offset)) if next > offset => Outcome::Conflict(revision),
            _ => Outcome::Pending,
        }
    }
}
