//! Splits an INI text into sections with line numbers.
//!
//! `rust-ini` records no line numbers and stops at the first syntax error. The text is therefore
//! passed to it line by line, so that each entry has its line number and every syntax error is
//! reported.

use std::collections::HashMap;

use compact_str::CompactString;

use crate::limits;
use crate::nearest;
use crate::problem;
use crate::section;

const LINE_FORMS: &str = "`[section]`, `key = value` or a comment after `#` or `;`";

/// The sections of one INI file and the problems found in it so far.
#[derive(Debug)]
pub(crate) struct Source {
    pub(crate) file: CompactString,
    pub(crate) sections: Vec<section::Section>,
    pub(crate) problems: problem::Problems,
}

impl Source {
    /// Splits `text` into sections; lines with syntax errors are reported and left out.
    pub(crate) fn scan(text: &str, file: &str) -> Self {
        let mut source = Self {
            file: CompactString::new(file),
            sections: Vec::new(),
            problems: problem::Problems::default(),
        };
        if text.len() > limits::TEXT_BYTES {
            let found = format!("the text has {} bytes", text.len());
            source.report(1, "", "", found, format!("at most {}", limits::TEXT_BYTES));
            return source;
        }
        // Some editors start a file with a byte-order mark, which is not part of the first line.
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        let lines = text.lines().count();
        if lines > limits::LINES {
            let found = format!("the text has {lines} lines");
            source.report(1, "", "", found, format!("at most {}", limits::LINES));
            return source;
        }
        for (index, line) in text.lines().enumerate() {
            source.scan_line(line.trim(), index + 1);
        }
        source.report_duplicates();
        source
    }

    /// Records a problem; the section header and key are truncated to 80 characters each.
    pub(crate) fn report(
        &mut self,
        line: usize,
        section: &str,
        key: &str,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) {
        self.problems.push(problem::Problem {
            file: self.file.clone(),
            line,
            section: excerpt(section),
            key: excerpt(key),
            found: found.into(),
            expected: expected.into(),
        });
    }

    /// Returns the text `expected`, extended by the known name that is most similar to `name`.
    ///
    /// Once the report is full, `expected` is returned unchanged without comparing names: with
    /// comparisons, a text of 5 MB with 300,000 unknown names took 5 minutes.
    pub(crate) fn suggest<'a>(
        &self,
        name: &str,
        known: impl IntoIterator<Item = &'a str>,
        expected: &str,
    ) -> String {
        if self.problems.is_full() {
            return expected.to_owned();
        }
        match nearest::nearest(name, known) {
            Some(found) => format!("{expected}, the nearest being `{found}`"),
            None => expected.to_owned(),
        }
    }

    /// Adds one trimmed line to the sections; `number` is its line number, from 1.
    fn scan_line(&mut self, line: &str, number: usize) {
        if line.is_empty() || line.starts_with(['#', ';']) {
            return;
        }
        let section = self
            .sections
            .last()
            .map(|last| last.header.clone())
            .unwrap_or_default();
        if line.len() > limits::LINE_BYTES {
            let found = format!("the line has {} bytes", line.len());
            self.report(
                number,
                &section,
                "",
                found,
                format!("at most {}", limits::LINE_BYTES),
            );
            return;
        }
        // `rust-ini` treats a carriage return inside the line as the end of the line.
        if line.chars().any(|c| c.is_control() && c != '\t') {
            self.report(
                number,
                &section,
                "",
                "a control character",
                "printable text",
            );
            return;
        }
        match parse_line(line) {
            Some(Line::Header(header)) => self.sections.push(section::Section {
                header,
                line: number,
                entries: Vec::new(),
            }),
            Some(Line::Entry(key, value)) => match self.sections.last_mut() {
                Some(last) => last.entries.push(section::Entry {
                    key,
                    value,
                    line: number,
                }),
                None => self.report(number, "", &key, "a key before any section", "`[section]`"),
            },
            // The message does not quote the line, because it may contain a secret.
            None => self.report(
                number,
                &section,
                "",
                "the line has no known form",
                LINE_FORMS,
            ),
        }
    }

    /// Reports duplicate sections and duplicate keys, and keeps the first of each.
    fn report_duplicates(&mut self) {
        let mut sections: HashMap<CompactString, usize> = HashMap::new();
        let mut kept = Vec::with_capacity(self.sections.len());
        for mut section in std::mem::take(&mut self.sections) {
            if let Some(first) = sections.get(&section.header) {
                let found = format!("the section is already on line {first}");
                self.report(
                    section.line,
                    &section.header,
                    "",
                    found,
                    "each section once",
                );
                continue;
            }
            sections.insert(section.header.clone(), section.line);
            let mut keys: HashMap<CompactString, usize> = HashMap::new();
            for entry in std::mem::take(&mut section.entries) {
                if let Some(first) = keys.get(&entry.key) {
                    let found = format!("the key is already on line {first}");
                    self.report(
                        entry.line,
                        &section.header,
                        &entry.key,
                        found,
                        "each key once",
                    );
                    continue;
                }
                keys.insert(entry.key.clone(), entry.line);
                section.entries.push(entry);
            }
            kept.push(section);
        }
        self.sections = kept;
    }
}

enum Line {
    Entry(CompactString, CompactString),
    Header(CompactString),
}

/// Parses one line that is neither empty nor a comment; `None` means a syntax error.
fn parse_line(line: &str) -> Option<Line> {
    let option = ini::ParseOption {
        enabled_escape: false,
        enabled_quote: false,
        ..ini::ParseOption::default()
    };
    let parsed = ini::Ini::load_from_str_opt(line, option).ok()?;
    let mut parts = parsed
        .iter()
        .filter(|(name, properties)| name.is_some() || !properties.is_empty());
    let (name, properties) = parts.next()?;
    if parts.next().is_some() {
        return None;
    }
    let Some(name) = name else {
        let (key, value) = properties.iter().next()?;
        return Some(Line::Entry(
            CompactString::new(key),
            CompactString::new(value),
        ));
    };
    let words: Vec<&str> = name.split_whitespace().collect();
    if words.is_empty() || !properties.is_empty() || !line.ends_with(']') {
        return None;
    }
    Some(Line::Header(CompactString::new(words.join(" "))))
}

/// Truncates a text to 80 characters, so that error messages stay short.
pub(crate) fn excerpt(text: &str) -> String {
    text.chars().take(80).collect()
}
