//! A section that differs between two configurations.

use std::fmt;

use compact_str::CompactString;
use indexmap::IndexMap;
use serde::Serialize;

/// How a section differs between the old and the new configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The section exists only in the new configuration.
    Added,
    /// The section exists in both configurations, with different keys or values.
    Changed,
    /// The section exists only in the old configuration.
    Removed,
}

/// A key whose value differs between the old and the new configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct KeyChange {
    pub name: CompactString,
    /// The value in the old configuration; `None` if the key is new.
    pub old: Option<CompactString>,
    /// The value in the new configuration; `None` if the key is removed.
    pub new: Option<CompactString>,
}

/// A section that differs between two configurations, with the differing keys.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The section header without brackets.
    pub section: CompactString,
    /// How the section differs.
    pub kind: Kind,
    /// The keys whose values differ.
    pub keys: Vec<KeyChange>,
}

impl Change {
    /// Compares the old and new keys of one section; `None` if they are equal.
    pub(crate) fn between(
        section: &CompactString,
        kind: Kind,
        old: &IndexMap<CompactString, CompactString>,
        new: &IndexMap<CompactString, CompactString>,
    ) -> Option<Self> {
        let added = new.keys().filter(|name| !old.contains_key(*name));
        let keys: Vec<KeyChange> = old
            .keys()
            .chain(added)
            .filter(|name| old.get(*name) != new.get(*name))
            .map(|name| KeyChange {
                name: name.clone(),
                old: old.get(name).cloned(),
                new: new.get(name).cloned(),
            })
            .collect();
        (!keys.is_empty()).then(|| Self {
            section: section.clone(),
            kind,
            keys,
        })
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.kind {
            Kind::Added => '+',
            Kind::Changed => ' ',
            Kind::Removed => '-',
        };
        writeln!(f, "{sign} [{}]", self.section)?;
        for key in &self.keys {
            if let Some(old) = &key.old {
                writeln!(f, "- {} = {old}", key.name)?;
            }
            if let Some(new) = &key.new {
                writeln!(f, "+ {} = {new}", key.name)?;
            }
        }
        Ok(())
    }
}
