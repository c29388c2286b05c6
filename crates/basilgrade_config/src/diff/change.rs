//! A section that differs.

use std::fmt;

use compact_str::CompactString;
use indexmap::IndexMap;
use serde::Serialize;

/// How a section differs.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Only in the new configuration.
    Added,
    /// In both, with other keys or values.
    Changed,
    /// Only in the old configuration.
    Removed,
}

/// A key that differs.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct KeyChange {
    /// The key.
    pub name: CompactString,
    /// Its value in the old configuration.
    pub old: Option<CompactString>,
    /// Its value in the new configuration.
    pub new: Option<CompactString>,
}

/// A section that differs, with the keys that differ.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The header without brackets.
    pub section: CompactString,
    /// How it differs.
    pub kind: Kind,
    /// The keys that differ.
    pub keys: Vec<KeyChange>,
}

impl Change {
    /// The change of one section; `None` if it is the same.
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
