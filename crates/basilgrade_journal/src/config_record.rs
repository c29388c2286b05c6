//! Records of stream `config`.

use basilgrade_types::clock;
use basilgrade_types::offset;
use basilgrade_types::revision;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

/// What a publication does to the text in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// A change in the format of [`crate::merge::Merge`].
    Delta(String),
    /// The whole new text.
    Text(String),
}

/// One entry of stream `config`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "type")]
pub enum ConfigRecord {
    /// Becomes revision `base + 1` if `base` is in force at this point of the stream.
    Publish {
        /// Identifies the publication when the answer to its append was lost.
        id: Uuid,
        /// The revision that the change was made against.
        base: revision::Revision,
        /// The change.
        change: Change,
    },
    /// Restates the state after the record at `through`.
    Snapshot {
        /// The revision in force.
        revision: revision::Revision,
        /// The last offset whose effect is included.
        through: offset::Offset,
        /// Wall time of the writer; a hint of the snapshot's age.
        #[serde(default)]
        at: clock::Millis,
        /// The text in force.
        text: String,
        /// The publications that made the newest revisions.
        #[serde(default)]
        recent: Vec<(revision::Revision, Uuid)>,
    },
}
