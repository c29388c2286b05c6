//! State of the log stream `config`: the configuration in force.

use std::collections::VecDeque;

use basilgrade_types::clock;
use basilgrade_types::offset;
use basilgrade_types::revision;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use crate::config_record;
use crate::merge;
use crate::replay;

/// The number of publication ids kept: more than the largest expected burst of concurrent
/// publications, and under 3 KiB in a snapshot.
const RECENT_LIMIT: usize = 64;

/// The reason why a publication had no effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Rejection {
    /// The base of the publication was not the revision in force.
    Conflict,
    /// The delta of the publication does not apply to the text in force.
    Merge(merge::MergeError),
}

/// The effect of one record of the log stream `config`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigEvent {
    /// The publication created `revision`.
    Accepted {
        /// The id of the publication.
        id: Uuid,
        /// The revision that the publication created.
        revision: revision::Revision,
    },
    /// The publication had no effect.
    Rejected {
        /// The id of the publication.
        id: Uuid,
        /// The revision that stays in force.
        revision: revision::Revision,
        /// Why the publication had no effect.
        reason: Rejection,
    },
}

/// The configuration revision in force, its text and the ids of the newest publications.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigState {
    revision: revision::Revision,
    text: String,
    recent: VecDeque<(revision::Revision, Uuid)>,
}

impl ConfigState {
    /// The configuration revision in force; 0 before the first publication.
    pub const fn revision(&self) -> revision::Revision {
        self.revision
    }

    /// The configuration text in force.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The id of the publication that created `revision`, if it is among the newest 64 revisions.
    pub fn publication(&self, revision: revision::Revision) -> Option<Uuid> {
        self.recent
            .iter()
            .find(|(created, _)| *created == revision)
            .map(|(_, id)| *id)
    }

    fn publish(
        &mut self,
        merger: &dyn merge::Merge,
        id: Uuid,
        base: revision::Revision,
        change: config_record::Change,
    ) -> Result<revision::Revision, Rejection> {
        if base != self.revision {
            return Err(Rejection::Conflict);
        }
        let text = match change {
            config_record::Change::Text(text) => text,
            config_record::Change::Delta(delta) => {
                merger.merge(&self.text, &delta).map_err(Rejection::Merge)?
            }
        };
        self.text = text;
        self.revision = base.next();
        self.recent.push_back((self.revision, id));
        while self.recent.len() > RECENT_LIMIT {
            self.recent.pop_front();
        }
        Ok(self.revision)
    }
}

impl replay::Replay for ConfigState {
    type Record = config_record::ConfigRecord;
    type Event = ConfigEvent;
    type Context = dyn merge::Merge;

    fn apply(
        &mut self,
        context: &Self::Context,
        _offset: offset::Offset,
        record: config_record::ConfigRecord,
        events: &mut Vec<ConfigEvent>,
    ) {
        let config_record::ConfigRecord::Publish { id, base, change } = record else {
            return;
        };
        events.push(match self.publish(context, id, base, change) {
            Ok(revision) => ConfigEvent::Accepted { id, revision },
            Err(reason) => ConfigEvent::Rejected {
                id,
                revision: self.revision,
                reason,
            },
        });
    }

    fn from_snapshot(
        record: config_record::ConfigRecord,
    ) -> Result<(offset::Offset, clock::Millis, Self), config_record::ConfigRecord> {
        match record {
            config_record::ConfigRecord::Snapshot {
                revision,
                through,
                at,
                text,
                recent,
            } => Ok((
                through,
                at,
                Self {
                    revision,
                    text,
                    recent: recent.into_iter().take(RECENT_LIMIT).collect(),
                },
            )),
            record @ config_record::ConfigRecord::Publish { .. } => Err(record),
        }
    }

    fn can_follow(&self, earlier: &Self) -> bool {
        self.revision >= earlier.revision
    }

    fn to_snapshot(
        &self,
        through: offset::Offset,
        at: clock::Millis,
    ) -> config_record::ConfigRecord {
        config_record::ConfigRecord::Snapshot {
            revision: self.revision,
            through,
            at,
            text: self.text.clone(),
            recent: self.recent.iter().copied().collect(),
        }
    }
}
