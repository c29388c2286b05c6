//! Records of the log stream `config`.

use basilgrade_types::clock;
use basilgrade_types::offset;
use basilgrade_types::revision;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

/// The change that a publication makes to the configuration text in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// A delta that [`crate::merge::Merge`] applies to the text in force.
    Delta(String),
    /// The complete new configuration text.
    Text(String),
}

/// A record of the log stream `config`, stored as JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "type")]
pub enum ConfigRecord {
    /// A publication: creates revision `base + 1` if `base` is in force at this offset.
    Publish {
        /// Identifies the publication in the stream if the response to its append was lost.
        id: Uuid,
        /// The revision to which the change applies.
        base: revision::Revision,
        /// The delta or the complete new text.
        change: Change,
    },
    /// The complete configuration state after the record at `through`.
    Snapshot {
        /// The revision in force after `through`.
        revision: revision::Revision,
        /// The offset of the last record whose effect the snapshot includes.
        through: offset::Offset,
        /// Wall-clock time of the writer, from which readers estimate the snapshot's age; clocks of
        /// daemons can differ.
        #[serde(default)]
        at: clock::Millis,
        /// The configuration text of `revision`.
        text: String,
        /// The newest revisions, each with the id of the publication that created it.
        #[serde(default)]
        recent: Vec<(revision::Revision, Uuid)>,
    },
}
