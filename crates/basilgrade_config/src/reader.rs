//! Takes typed values out of a section and records what does not fit.

use std::collections::BTreeSet;

use crate::section;
use crate::source;
use crate::value;

/// A section being read.
///
/// Every key that is asked for counts as known; [`Reader::finish`] reports the others.
#[derive(Debug)]
pub(crate) struct Reader<'a> {
    section: &'a section::Section,
    source: &'a mut source::Source,
    known: Vec<&'static str>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(section: &'a section::Section, source: &'a mut source::Source) -> Self {
        Self {
            section,
            source,
            known: Vec::new(),
        }
    }

    /// The value of a key, if the key is there and the value fits.
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

    /// Like [`Reader::optional`], but a missing key is a problem.
    pub(crate) fn required<T>(
        &mut self,
        key: &'static str,
        read: impl Fn(&str) -> Result<T, value::Expected>,
    ) -> Option<T> {
        if !self.has(key) {
            self.known.push(key);
            let example = read("").err().unwrap_or_default();
            self.report(key, "the key is missing", example);
            return None;
        }
        self.optional(key, read)
    }

    /// Like [`Reader::required`], but the value is left out of error messages.
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

    /// Whether the section has the key.
    pub(crate) fn has(&self, key: &str) -> bool {
        self.section.value(key).is_some()
    }

    /// Records a problem with a key, on its line if it is there.
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

    /// Records a use of a name that is not declared.
    pub(crate) fn report_unknown<'n>(
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

    /// Reports a name that is not among the declared ones; the key is also what it names.
    pub(crate) fn check(&mut self, key: &str, name: Option<&str>, declared: &BTreeSet<&str>) {
        if let Some(name) = name
            && !declared.contains(name)
        {
            let what = if key == "substitute" { "pool" } else { key };
            self.report_unknown(key, what, name, declared.iter().copied());
        }
    }

    /// Counts a key as known without reading it.
    pub(crate) fn mark_known(&mut self, key: &'static str) {
        self.known.push(key);
    }

    /// Reports the keys that nothing asked for.
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
