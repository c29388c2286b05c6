//! Reads typed values from a section and reports missing, invalid and unknown keys.

use std::collections::BTreeSet;

use crate::section;
use crate::source;
use crate::value;

/// Reads one section; problems are recorded in `source`.
///
/// Every key that a caller reads counts as known; [`SectionReader::finish`] reports the others.
#[derive(Debug)]
pub(crate) struct SectionReader<'a> {
    section: &'a section::Section,
    source: &'a mut source::Source,
    known: Vec<&'static str>,
}

impl<'a> SectionReader<'a> {
    pub(crate) fn new(section: &'a section::Section, source: &'a mut source::Source) -> Self {
        Self {
            section,
            source,
            known: Vec::new(),
        }
    }

    /// Reads an optional key; `None` if the key is missing or its value is invalid.
    ///
    /// An invalid value is reported.
    pub(crate) fn optional<T>(
        &mut self,
        key: &'static str,
        read: impl Fn(&str) -> Result<T, value::Expected>,
    ) -> Option<T> {
        self.known.push(key);
        let text = self.section.value(key)?;
        match read(text) {
            Ok(value) => Some(value),
            Err(expected) => {
                let found = format!("`{}` is not valid", source::excerpt(text));
                self.report(key, found, expected);
                None
            }
        }
    }

    /// Like [`SectionReader::optional`], but a missing key is reported too.
    pub(crate) fn required<T>(
        &mut self,
        key: &'static str,
        read: impl Fn(&str) -> Result<T, value::Expected>,
    ) -> Option<T> {
        if !self.has_key(key) {
            self.known.push(key);
            let expected = read("").err().unwrap_or_default();
            self.report(key, "the key is missing", expected);
            return None;
        }
        self.optional(key, read)
    }

    /// Like [`SectionReader::required`], but error messages do not contain the value.
    pub(crate) fn required_secret<T>(
        &mut self,
        key: &'static str,
        read: impl Fn(&str) -> Result<T, value::Expected>,
    ) -> Option<T> {
        self.known.push(key);
        let Some(text) = self.section.value(key) else {
            let expected = read("").err().unwrap_or_default();
            self.report(key, "the key is missing", expected);
            return None;
        };
        match read(text) {
            Ok(value) => Some(value),
            Err(expected) => {
                self.report(key, "the value is not valid", expected);
                None
            }
        }
    }

    pub(crate) fn has_key(&self, key: &str) -> bool {
        self.section.value(key).is_some()
    }

    /// Reports a problem with `key` at its line, or at the section header if the key is missing.
    pub(crate) fn report(
        &mut self,
        key: &str,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) {
        let line = self.section.line_of(key);
        self.source
            .report(line, &self.section.header, key, found, expected);
    }

    /// Reports that the value of `key` refers to an undeclared `name`.
    ///
    /// `what` is the kind of the name, such as `pool`; `known` are the declared names, of which
    /// the most similar one is suggested.
    pub(crate) fn report_undeclared<'n>(
        &mut self,
        key: &str,
        what: &str,
        name: &str,
        known: impl IntoIterator<Item = &'n str>,
    ) {
        let expected = self
            .source
            .suggest(name, known, &format!("a declared {what}"));
        let found = format!("{what} `{}` is not declared", source::excerpt(name));
        self.report(key, found, expected);
    }

    /// Reports `name`, the value of `key`, if it is not one of the declared names.
    ///
    /// The key is also the kind of the name, except that `substitute` refers to a pool.
    pub(crate) fn check_declared(
        &mut self,
        key: &str,
        name: Option<&str>,
        declared: &BTreeSet<&str>,
    ) {
        if let Some(name) = name
            && !declared.contains(name)
        {
            let what = if key == "substitute" { "pool" } else { key };
            self.report_undeclared(key, what, name, declared.iter().copied());
        }
    }

    /// Marks a key as known without reading its value.
    pub(crate) fn mark_known(&mut self, key: &'static str) {
        self.known.push(key);
    }

    /// Reports the unknown keys of the section: those that were neither read nor marked as known.
    pub(crate) fn finish(self) {
        for entry in &self.section.entries {
            if self.known.contains(&entry.key.as_str()) {
                continue;
            }
            let expected =
                self.source
                    .suggest(&entry.key, self.known.iter().copied(), "a known key");
            let header = &self.section.header;
            let found = "the key is not known";
            self.source
                .report(entry.line, header, &entry.key, found, expected);
        }
    }
}
