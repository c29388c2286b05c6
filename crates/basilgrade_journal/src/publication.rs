//! The outcome of one publication of the configuration.

use basilgrade_types::offset;
use basilgrade_types::revision;
use bytes::Bytes;
use uuid::Uuid;

use crate::config_record;
use crate::config_state;
use crate::encode;

/// What the append of a publication's record returned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendResult {
    /// The log stored the record at this offset.
    Stored(offset::Offset),
    /// The log did not store the record and never will.
    Refused,
    /// The record may be stored now or later.
    Unknown,
}

/// What is known of a publication.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It became this revision.
    Accepted(revision::Revision),
    /// It had no effect and never will; this revision is in force.
    Conflict(revision::Revision),
    /// Its base is in force but its delta does not merge into it.
    Rejected(revision::Revision),
    /// The log did not take the record; it can be published again.
    NotAppended,
    /// Not known yet: keep reading the stream.
    Pending,
    /// It can no longer be told: the stream has moved on by more revisions than are remembered.
    Undetermined,
}

/// A publication from the moment before its append.
///
/// The record is appended once. If the answer is lost, the outcome is read from the stream: the
/// publication that became `base + 1` either has this id or excludes this one for good.
#[derive(Clone, Debug)]
pub struct Publication {
    id: Uuid,
    base: revision::Revision,
    append_result: Option<AppendResult>,
}

impl Publication {
    /// A publication and the body to append once.
    pub fn new(id: Uuid, base: revision::Revision, change: config_record::Change) -> (Self, Bytes) {
        let record = config_record::ConfigRecord::Publish { id, base, change };
        let publication = Self {
            id,
            base,
            append_result: None,
        };
        (publication, encode::json_line(&record))
    }

    /// Notes the answer to the append.
    pub const fn appended(&mut self, append_result: AppendResult) {
        self.append_result = Some(append_result);
    }

    /// The outcome, given the state before offset `next`.
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
